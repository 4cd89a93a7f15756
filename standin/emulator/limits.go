package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fescuelanding/entry/member"
	"fescuelanding/entry/quota"
	"fescuelanding/entry/scheduler"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

const (
	// _limitedPool is the second pool of a history with limits.
	_limitedPool = "pool2"
	// _minLimit and _maxLimit bound the limits of workspaces, in milli-CPU. The least has
	// room for the largest gang.
	_minLimit, _maxLimit = 6000, 14000
	_maxGang             = 2
	// _unlimited is the workspace without a limit.
	_unlimited = "w2"
	// _configDelay is the longest time until an entry has a new configuration.
	_configDelay = 500 * time.Millisecond
	// _limitInForce is how long a former limit may be used: until the planner has the new
	// one, or another entry is the planner, and the shares that it gave have lapsed.
	_limitInForce = _configDelay + member.MaxConfirmationAge + quota.Validity
	// _limitChanges is the largest number of changes of the limits.
	_limitChanges = 3
)

// limits are the limits of workspaces in a history that has some. They are drawn apart from
// the rest, so that a seed gives the same faults with and without them.
type limits struct {
	rand *rand.Rand
	// versions are the limits of the configurations so far.
	versions []limitsVersion
}

type limitsVersion struct {
	at         time.Duration
	workspaces []platform.Workspace
}

// planLimits adds a second pool with a part of the hosts, and workspaces with limits that
// change.
func (w *World) planLimits() {
	l := &limits{rand: rand.New(rand.NewPCG(w.settings.Seed, 3))}
	w.limits = l
	w.pools = append(w.pools, _limitedPool)
	q := w.queues[_pool]
	q.Name, q.Pool = "sizes2", _limitedPool
	w.queues[_limitedPool] = q
	for i, u := range w.upstreams {
		if u.host.pool == _pool && i%2 == 1 {
			u.host, u.report.Pool = hostIn(_limitedPool), _limitedPool
		}
	}
	w.drawLimits()
	for range l.rand.IntN(_limitChanges + 1) {
		w.after(time.Duration(l.rand.Int64N(int64(w.settings.SubmitPeriod))), func() {
			w.drawLimits()
			for _, e := range w.entries {
				e.awaitLimits(len(l.versions) - 1)
			}
		})
	}
}

// drawLimits draws a new version of the limits. The last workspace has none.
func (w *World) drawLimits() {
	l := w.limits
	v := limitsVersion{at: w.now}
	for i := range 3 {
		x := platform.Workspace{Name: fmt.Sprintf("w%d", i)}
		if i < 2 {
			x.Limit.MilliCPU = int64(_minLimit + l.rand.IntN(_maxLimit-_minLimit))
		}
		v.workspaces = append(v.workspaces, x)
	}
	l.versions = append(l.versions, v)
	w.tracef("limits: %v", v.workspaces)
}

// awaitLimits gives an entry a version of the limits after some delay.
func (e *entry) awaitLimits(version int) {
	w := e.world
	incarnation := e.incarnation
	w.after(time.Duration(w.limits.rand.Int64N(int64(_configDelay))), func() {
		e.do(incarnation, func() {
			if version <= e.limitsVersion {
				return
			}
			e.limitsVersion = version
			for _, p := range sortedKeys(e.owners) {
				e.owners[p].configure()
			}
		})
	})
}

// workspaces returns the workspaces of the entry's configuration.
func (e *entry) workspaces() []platform.Workspace {
	if l := e.world.limits; l != nil {
		return l.versions[e.limitsVersion].workspaces
	}
	return nil
}

// configure passes the entry's configuration to the scheduler.
func (o *owner) configure() {
	e := scheduler.Configured{Version: int64(o.entry.version), Workspaces: o.entry.workspaces(), Pools: o.entry.world.pools}
	if p, ok := o.entry.fedPool(o.pool); ok && p == o.pool {
		e.Queues = []platform.Queue{o.entry.world.queueOf(o.pool)}
	} else if ok {
		e.OtherQueues = []platform.Queue{o.entry.world.queueOf(p)}
	}
	o.post(e)
}

// limitJob assigns a job to a pool and a workspace.
func (w *World) limitJob(d *work.Job) {
	if w.limits == nil {
		return
	}
	r := w.limits.rand
	d.Workspace = fmt.Sprintf("w%d", r.IntN(3))
	if r.IntN(2) == 0 {
		d.Pool = _limitedPool
		d.Queue = w.queueOf(_limitedPool).Name
	}
	for _, s := range d.GetSteps() {
		switch {
		case s.GetGang():
			s.Count = min(s.GetCount(), _maxGang)
		case s.GetLongRunning():
			// Long-running tasks must leave room in the limits.
			d.Workspace = _unlimited
		}
	}
}

// divide prepares the shares of an exchange with the owners of the pools.
func (p *planner) divide() {
	if p.entry.world.limits != nil {
		p.giver.Configure(p.entry.time(), p.entry.workspaces(), p.entry.world.pools)
		p.giver.Divide()
	}
}

// grant returns the shares for a pool. It is zero while the entry's membership isn't
// confirmed.
func (p *planner) grant(pool string) quota.Grant {
	if p.entry.world.limits == nil || p.entry.world.now-p.entry.confirmed >= member.MaxConfirmationAge {
		return quota.Grant{}
	}
	return p.giver.Grant(pool)
}

// limitOf returns the highest limit of a workspace that may be in force, and false if it may
// have none.
func (l *limits) limitOf(now time.Duration, workspace string) (int64, bool) {
	most := int64(0)
	for i, v := range l.versions {
		if i+1 < len(l.versions) && now > l.versions[i+1].at+_limitInForce {
			continue
		}
		for _, x := range v.workspaces {
			if x.Name == workspace {
				most = max(most, x.Limit.MilliCPU)
			}
		}
	}
	return most, most > 0
}

// running returns what the running tasks of a workspace request.
func (l *ledger) running(workspace string) int64 {
	sum := int64(0)
	for _, u := range l.world.upstreams {
		for _, r := range u.runs {
			if r.record.task.job.def.GetWorkspace() == workspace {
				sum += r.record.task.cpu
			}
		}
	}
	return sum
}

// checkLimit checks that a start leaves what its workspace has running within its limit.
func (l *ledger) checkLimit(s *runRecord) {
	if l.world.limits == nil {
		return
	}
	w := s.task.job.def.GetWorkspace()
	most, limited := l.world.limits.limitOf(l.world.now, w)
	if n := l.running(w) + s.task.cpu; limited && n > most {
		l.addViolation("QUOTA", "%s: %v brings what %s has running to %d milli-CPU, above its limit of %d", s.task.name, s, w, n, most)
	}
}

// underHalfOfLimit reports whether a workspace has under half of its limit running.
func (w *World) underHalfOfLimit(workspace string) bool {
	if w.limits == nil {
		return true
	}
	for _, x := range w.limits.versions[len(w.limits.versions)-1].workspaces {
		if x.Name == workspace && x.Limit.MilliCPU > 0 {
			return 2*w.ledger.running(workspace) < x.Limit.MilliCPU
		}
	}
	return true
}
