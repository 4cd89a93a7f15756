package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"fescuelanding/entry/internal/owner"
	"fescuelanding/entry/link"
	"fescuelanding/entry/member"
	"fescuelanding/entry/scheduler"
	"fescuelanding/fleet/wait"
	"fescuelanding/platform"
)

// _plannerPartition is dealt to the entry that moves and maintains hosts.
const _plannerPartition = 0

// assignPartitions deals the pools over the group's assignPartitions in the order of their
// names, so that none collide while there are enough.
func (n *Node) assignPartitions(c platform.Config) map[string]int {
	var names []string
	for _, p := range c.Pools {
		if !p.Standby {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	m := make(map[string]int, len(names))
	for i, p := range names {
		m[p] = (i + 1) % max(1, n.boot.Store.Partitions)
	}
	return m
}

// pools are those that this entry owns.
type pools struct {
	node *Node

	mu     sync.Mutex
	owners map[string]*owner.Owner
	shares member.Shares
}

// applyChange takes in what the group deals to this entry.
func (p *pools) applyChange(c member.Change) {
	p.mu.Lock()
	if p.shares.Deal(c) {
		p.node.log.Info("Partitions changed.", "generation", c.Generation, "partitions", c.Partitions)
	}
	p.mu.Unlock()
	p.reconcile()
	for _, o := range p.all() {
		o.Post(scheduler.StoreSeen{At: c.Confirmed})
	}
}

// applyConfig takes in a new configuration.
func (p *pools) applyConfig() {
	p.reconcile()
	c := p.node.config.Load()
	for name, o := range p.all() {
		o.Post(scheduler.Configured{Queues: queues(c, name)})
	}
}

func queues(c *activeConfig, pool string) []platform.Queue {
	var l []platform.Queue
	for _, q := range c.Queues {
		if q.Pool == pool {
			l = append(l, q)
		}
	}
	return l
}

// reconcile starts and stops owners so that they are those of the partitions held.
func (p *pools) reconcile() {
	c := p.node.config.Load()
	if c == nil || p.node.closing.Load() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.owners == nil {
		p.owners = make(map[string]*owner.Owner)
	}
	for name, o := range p.owners {
		k := c.partition[name]
		if o.Lost() {
			p.shares.Lose(k)
		}
		if p.shares.Token(k) == 0 || p.shares.Token(k) != o.Token() {
			p.node.log.Info("Pool given up.", "pool", name, "lost", o.Lost())
			o.Stop()
			delete(p.owners, name)
		}
	}
	for name, k := range c.partition {
		if token := p.shares.Token(k); p.owners[name] == nil && token > 0 {
			p.startOwner(c, name, token)
		}
	}
}

// startOwner starts the owner of a pool.
func (p *pools) startOwner(c *activeConfig, name string, token int64) {
	b := p.node.bounds.Load()
	set := scheduler.Settings{
		Pool: name, Token: token, HoldMax: b.HoldMax, Status: b.Status, StopTimeout: b.StopTimeout,
		RemoteFactor: b.RemoteFactor,
	}
	o, err := owner.Start(p.node.system, set, p.node.boot.Store.Partitions, p.node.clients, p.node.log)
	if err != nil {
		p.node.log.Warn("Owner was not started.", "pool", name, "err", err)
		return
	}
	p.node.log.Info("Pool gained.", "pool", name, "token", token)
	o.Post(scheduler.StoreSeen{At: p.shares.Confirmed()})
	o.Post(scheduler.Configured{Queues: queues(c, name)})
	if l := p.node.upstreams.inPool(name); l != nil {
		o.Post(scheduler.Listed{Upstreams: l})
	}
	p.owners[name] = o
}

// all returns the owners by pool.
func (p *pools) all() map[string]*owner.Owner {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := make(map[string]*owner.Owner, len(p.owners))
	for k, o := range p.owners {
		m[k] = o
	}
	return m
}

func (p *pools) owner(pool string) *owner.Owner {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owners[pool]
}

// plannerToken returns the token for orders about hosts, and zero while another
// entry gives them.
func (p *pools) plannerToken() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shares.Token(_plannerPartition)
}

// recentlyConfirmed reports whether the store has confirmed lately what is held here. It goes by
// the time of day, as the steady clock stands while the process is suspended.
func (p *pools) recentlyConfirmed(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Round(0).Sub(p.shares.Confirmed().Round(0)) < member.Fresh
}

// losePlanner notes that a host has heard of a later planner than the one with a token.
func (p *pools) losePlanner(token int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shares.Token(_plannerPartition) == token {
		p.shares.Lose(_plannerPartition)
	}
}

// holdsAny reports whether holdsAny partition is held.
func (p *pools) holdsAny() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.owners) > 0 || p.shares.Any()
}

// releaseAll gives up all pools.
func (p *pools) releaseAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, o := range p.owners {
		o.Stop()
		delete(p.owners, name)
	}
	p.shares.Drop()
}

// handle answers another entry's call.
func (n *Node) handle(ctx context.Context, q *link.Call) *link.Answer {
	if q.GetRejoin() != nil {
		n.group.Rejoin()
		return &link.Answer{Outcome: link.Outcome_OUTCOME_OK}
	}
	o := n.pools.owner(q.GetPool())
	if o == nil {
		return &link.Answer{Outcome: link.Outcome_OUTCOME_NOT_OWNER}
	}
	c, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	return o.Call(c, q)
}

const (
	// _callTimeout is when a call between entries is taken to be unanswered.
	_callTimeout = 1200 * time.Millisecond
	// _storeLostRetryAfter is when a caller may come back, to another entry, whose request was
	// refused as this one has lost the store: the least that Retry-After can say.
	_storeLostRetryAfter = time.Second
	// _unreadyFor is how long the balancer is told to send callers elsewhere after
	// that: it asks each second, and gives an entry up after two answers.
	_unreadyFor = 3 * time.Second
	// _ownerRetryPause is the pause before an owner is looked for again.
	_ownerRetryPause = 60 * time.Millisecond
)

// callOwner has the owner of a pool answer, wherever it is. While a pool changes hands
// it is looked for again until ctx ends.
func (n *Node) callOwner(ctx context.Context, q *link.Call) *link.Answer {
	// sent is set once the call may have been carried out somewhere.
	sent := false
	for {
		a := n.callOwnerOnce(ctx, q)
		switch a.GetOutcome() {
		case link.Outcome_OUTCOME_UNKNOWN:
			sent = true
		case link.Outcome_OUTCOME_NOT_OWNER:
		case link.Outcome_OUTCOME_OVERLOADED, link.Outcome_OUTCOME_UNAVAILABLE:
			if !sent {
				return a
			}
			// An earlier attempt may have been accepted: no refusal is true
			// before its outcome is known.
		default:
			return a
		}
		if !wait.For(ctx, _ownerRetryPause) {
			if sent {
				return &link.Answer{Outcome: link.Outcome_OUTCOME_UNKNOWN}
			}
			return &link.Answer{Outcome: link.Outcome_OUTCOME_UNAVAILABLE, RetryAfterMs: 1000}
		}
		if !n.group.Refresh(ctx) && !sent {
			// Who owns the pool now can't be learned here, but at other entries.
			n.ownerUnknownAt.Store(time.Now().UnixMilli())
			return &link.Answer{Outcome: link.Outcome_OUTCOME_UNAVAILABLE, RetryAfterMs: _storeLostRetryAfter.Milliseconds()}
		}
	}
}

func (n *Node) callOwnerOnce(ctx context.Context, q *link.Call) *link.Answer {
	if o := n.pools.owner(q.GetPool()); o != nil {
		return o.Call(ctx, q)
	}
	c := n.config.Load()
	k, ok := c.partition[q.GetPool()]
	if !ok {
		return &link.Answer{Outcome: link.Outcome_OUTCOME_NOT_OWNER}
	}
	address, ok := n.group.Owner(k)
	if !ok || address == n.self {
		return &link.Answer{Outcome: link.Outcome_OUTCOME_NOT_OWNER}
	}
	t, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	a, err := n.link.Call(t, address, q)
	if err != nil {
		n.log.Info("Owner didn't answer.", "pool", q.GetPool(), "owner", address, "err", err)
		return &link.Answer{Outcome: failedOutcome(err)}
	}
	return a
}

// locate asks the owners of all other pools after a job, as its queue may have
// changed its pool.
func (n *Node) locate(ctx context.Context, q *link.Call) *link.Answer {
	out := &link.Answer{Outcome: link.Outcome_OUTCOME_GONE}
	for pool := range n.config.Load().partition {
		if pool == q.GetPool() {
			continue
		}
		a := n.callOwner(ctx, &link.Call{Pool: pool, Body: q.GetBody()})
		switch a.GetOutcome() {
		case link.Outcome_OUTCOME_OK:
			return a
		case link.Outcome_OUTCOME_GONE:
		default:
			out = a
		}
	}
	return out
}

// failedOutcome tells whether a call that failed may have been carried out.
func failedOutcome(err error) link.Outcome {
	if errors.Is(err, link.ErrNotSent) {
		return link.Outcome_OUTCOME_NOT_OWNER
	}
	return link.Outcome_OUTCOME_UNKNOWN
}
