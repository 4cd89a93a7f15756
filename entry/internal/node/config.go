package node

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"fescuelanding/entry/access"
	"fescuelanding/entry/internal/feed"
	"fescuelanding/entry/internal/front"
	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

// activeConfig is the newest configuration with data derived from it.
type activeConfig struct {
	platform.Config
	table *front.Table
	keys  *access.Table
	// partition maps each pool to its partition.
	partition map[string]int
}

// _operatorWait is the longest wait of a read of the operator's topic.
const _operatorWait = 1500 * time.Millisecond

// operatorFeed returns the follower of the operator's topic, with the configuration and the
// waves.
func (n *Node) operatorFeed() *feed.Follower {
	metrics.GetOrCreateGauge("entry_configuration_version", func() float64 {
		if c := n.config.Load(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
	metrics.GetOrCreateGauge("entry_configuration_age_seconds", func() float64 {
		return n.guard().Age(time.Now()).Seconds()
	})
	return &feed.Follower{
		Store: n.store, Name: platform.TopicOperator,
		OnRecords: func(l []platform.Record, _ bool) {
			for _, r := range l {
				n.applyRecord(r)
			}
		},
		Wait:          func() time.Duration { return access.ReadWait(n.revocationTime(), _operatorWait) },
		OnConfirmed:   n.confirmConfig,
		OnStoreStatus: func(err error) { n.logStoreStatus("configuration", err) },
	}
}

// applyRecord applies a record of the operator's topic.
func (n *Node) applyRecord(r platform.Record) {
	if len(r.Value) == 0 {
		return
	}
	if r.Key != platform.KeyConfig {
		n.planner.addWave(r)
		return
	}
	c, err := platform.DecodeConfig(r.Value)
	n.unreadable = err != nil
	if err != nil {
		n.log.Warn("Configuration record is invalid; ignored.", "offset", r.Offset, "err", err)
		return
	}
	if old := n.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	n.config.Store(&activeConfig{
		Config: c, table: front.NewTable(c.Queues), keys: access.NewTable(c), partition: n.assignPartitions(c),
	})
	n.log.Info("Configuration applied.", "version", c.Version, "queues", len(c.Queues), "pools", len(c.Pools),
		"workspaces", len(c.Workspaces))
	n.pools.applyConfig()
}

// confirmConfig notes that the store had no newer configuration at a time.
func (n *Node) confirmConfig(at time.Time) {
	if !n.unreadable {
		n.confirmedAt.Store(&at)
	}
}

// version returns the version of the configuration, and zero if there is none.
func (n *Node) version() int64 {
	if c := n.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// revocationTime returns the time within which a withdrawn key has to stop working also
// without contact to the store, and zero if there is no such bound or calls need no keys.
func (n *Node) revocationTime() time.Duration {
	if c, b := n.config.Load(), n.bounds.Load(); c != nil && c.KeysRequired && b.StrictRevocation {
		return b.RevocationTime
	}
	return 0
}

// guard returns what decides about callers at present.
func (n *Node) guard() access.Guard {
	g := access.Guard{Bound: n.revocationTime()}
	if c := n.config.Load(); c != nil {
		g.Table = c.keys
	}
	if t := n.confirmedAt.Load(); t != nil {
		g.ConfirmedAt = *t
	}
	return g
}

// authorize decides about a call to a queue. It returns the credential to be passed to the
// pool's owner, which is nil if the queue needs no key.
func (n *Node) authorize(now time.Time, q platform.Queue, key platform.KeyHash, given bool) (access.Decision, *link.Credential) {
	d := n.guard().Decide(now, q, key, given)
	if d.Verdict != access.Admitted || d.Workspace == "" {
		return d, nil
	}
	return d, &link.Credential{Key: key[:], Version: n.config.Load().Version, Workspace: d.Workspace}
}

// recheck checks the credential of a call under a newer configuration than that under which
// the call was admitted. It returns nil if the call may be made.
func (n *Node) recheck(q *link.Call) *link.Answer {
	v, c := q.GetCredential(), n.config.Load()
	if v == nil || c == nil || c.Version <= v.GetVersion() {
		return nil
	}
	var k platform.KeyHash
	copy(k[:], v.GetKey())
	w, ok := c.keys.Workspace(k)
	if ok && w == v.GetWorkspace() {
		return nil
	}
	n.log.Info("Call was refused by a newer configuration.", "pool", q.GetPool(), "workspace", v.GetWorkspace(),
		"key", fmt.Sprintf("%x", k[:_loggedKeyBytes]), "admittedUnder", v.GetVersion(), "version", c.Version)
	if ok {
		// The key belongs to another workspace now.
		return &link.Answer{Outcome: link.Outcome_OUTCOME_UNAVAILABLE}
	}
	return &link.Answer{Outcome: link.Outcome_OUTCOME_DENIED}
}

// _loggedKeyBytes is how many bytes of a key's hash log lines show: enough to compare, not to
// be used.
const _loggedKeyBytes = 4
