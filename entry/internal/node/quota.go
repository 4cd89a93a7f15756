package node

import (
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"fescuelanding/entry/internal/logging"
	"fescuelanding/entry/link"
	"fescuelanding/entry/quota"
	"fescuelanding/platform"
)

// _maxExchanges is how many further exchanges a planning round makes while tasks wait for
// shares that other pools give back: one in which the others give back, one in which the
// share rises.
const _maxExchanges = 2

// hasLimits reports whether a workspace has a limit.
func (c *activeConfig) hasLimits() bool {
	return slices.ContainsFunc(c.Workspaces, func(w platform.Workspace) bool { return w.Limit != (platform.Capacity{}) })
}

// divider divides the limits of workspaces among the pools in one term of a planner. Its
// zero value is ready for use.
type divider struct {
	giver quota.Giver
	gauges
	// loggedAt is when it was last logged that a workspace waits for its limit.
	loggedAt map[string]time.Time
}

// _waitingLogInterval is the time between two log lines about the use of a workspace's
// limit over all pools.
const _waitingLogInterval = 2 * time.Second

// publish updates the metrics, and logs the workspaces whose tasks wait for their limit.
func (d *divider) publish(now time.Time, g *logging.Log) {
	l := d.giver.Statuses()
	d.update(l)
	if d.loggedAt == nil {
		d.loggedAt = make(map[string]time.Time)
	}
	for _, s := range l {
		if s.Hungry && now.Sub(d.loggedAt[s.Workspace]) >= _waitingLogInterval {
			d.loggedAt[s.Workspace] = now
			g.Info("Tasks of a workspace wait for its limit.", "workspace", s.Workspace,
				"running", s.Running, "shares", s.Shares, "limit", s.Limit, "waiting", s.Waiting)
		}
	}
}

// divide prepares the grants of an exchange with the owners of the pools.
func (d *divider) divide(now time.Time, c *activeConfig) {
	var names []string
	for _, p := range c.Pools {
		if !p.Standby {
			names = append(names, p.Name)
		}
	}
	d.giver.Configure(now, c.Workspaces, names)
	d.giver.Divide()
}

// addShares adds a pool's shares to a request to its owner.
func (d *divider) addShares(w *link.Load, pool string) { d.giver.Grant(pool).Encode(w) }

// reported passes the answer of a pool's owner to the giver. The answer is nil if there was
// none.
func (d *divider) reported(now time.Time, pool string, l *link.PoolLoad) {
	if l == nil {
		d.giver.Unanswered(pool)
		return
	}
	d.giver.Reported(now, pool, quota.DecodeReport(l))
}

// pressing reports whether tasks wait for shares that another exchange would bring nearer.
func (d *divider) pressing() bool {
	d.giver.Divide()
	return d.giver.Pressing()
}

// gauges are the metrics of a planner's term. Another entry has them once it plans.
type gauges struct{ set *metrics.Set }

// close removes the metrics.
func (g *gauges) close() {
	if g.set != nil {
		metrics.UnregisterSet(g.set, true)
	}
}

// update sets the metrics of the workspaces with a limit.
func (g *gauges) update(l []quota.Status) {
	if g.set == nil && len(l) == 0 {
		return
	}
	if g.set == nil {
		g.set = metrics.NewSet()
		metrics.RegisterSet(g.set)
	}
	for _, s := range l {
		g.record("limit", s.Workspace, s.Limit)
		g.record("running", s.Workspace, s.Running)
		g.record("waiting", s.Workspace, s.Waiting)
		g.record("shares", s.Workspace, s.Shares)
	}
}

// record sets the gauges of one kind of a workspace. What has no limit is left out.
func (g *gauges) record(kind, workspace string, a quota.Amount) {
	for resource, x := range map[string]int64{"millicpu": a.MilliCPU, "memory_mb": a.MemoryMB, "gpus": a.GPUs} {
		name := fmt.Sprintf("entry_workspace_%s{workspace=%q,resource=%q}", kind, workspace, resource)
		if x >= quota.Unlimited {
			g.set.UnregisterMetric(name)
			continue
		}
		g.set.GetOrCreateGauge(name, nil).Set(float64(x))
	}
}
