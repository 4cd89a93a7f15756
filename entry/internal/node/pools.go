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

// _wavePartition is dealt to the entry that moves and maintains hosts.
const _wavePartition = 0

// partitions deals the pools over the group's partitions in the order of their
// names, so that none collide while there are enough.
func (n *Node) partitions(c platform.Config) map[string]int {
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
	shares member.Partitions
}

// change takes in what the group deals to this entry.
func (p *pools) change(c member.Assignment) {
	p.mu.Lock()
	if p.shares.Assign(c) {
		p.node.log.Info("Partitions changed.", "generation", c.Generation, "partitions", c.Partitions)
	}
	p.mu.Unlock()
	p.settle()
	for _, o := range p.all() {
		o.Post(scheduler.OwnershipConfirmed{At: c.ConfirmedAt})
	}
}

// configure takes in a new configuration.
func (p *pools) configure() {
	p.settle()
	c := p.node.config.Load()
	for name, o := range p.all() {
		o.Post(scheduler.Configured{Queues: queues(c, name)})
	}
}

func queues(c *configured, pool string) []platform.Queue {
	var l []platform.Queue
	for _, q := range c.Queues {
		if q.Pool == pool {
			l = append(l, q)
		}
	}
	return l
}

// settle starts and stops owners so that they are those of the partitions held.
func (p *pools) settle() {
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
		if o.Ended() {
			p.shares.NoteLaterOwner(k)
		}
		if p.shares.Token(k) == 0 || p.shares.Token(k) != o.Token() {
			p.node.log.Info("Pool given up.", "pool", name, "lost", o.Ended())
			o.Stop()
			delete(p.owners, name)
		}
	}
	for name, k := range c.partition {
		if token := p.shares.Token(k); p.owners[name] == nil && token > 0 {
			p.gain(c, name, token)
		}
	}
}

// gain starts the owner of a pool.
func (p *pools) gain(c *configured, name string, token int64) {
	b := p.node.bounds.Load()
	set := scheduler.Settings{
		Pool: name, Token: token, MaxLease: b.HoldMax, StatusRetention: b.Status, StopTimeout: b.StopTimeout,
		RemoteFactor: b.RemoteFactor,
	}
	o, err := owner.Start(p.node.system, set, p.node.boot.Store.Partitions, p.node.peers, p.node.log)
	if err != nil {
		p.node.log.Warn("Owner was not started.", "pool", name, "err", err)
		return
	}
	p.node.log.Info("Pool gained.", "pool", name, "token", token)
	o.Post(scheduler.OwnershipConfirmed{At: p.shares.ConfirmedAt()})
	o.Post(scheduler.Configured{Queues: queues(c, name)})
	if l := p.node.list.of(name); l != nil {
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

// waveToken returns the token for orders about hosts, and zero while another
// entry gives them.
func (p *pools) waveToken() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shares.Token(_wavePartition)
}

// fresh reports whether the store has confirmed lately what is held here. It goes by
// the time of day, as the steady clock stands while the process is suspended.
func (p *pools) fresh(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Round(0).Sub(p.shares.ConfirmedAt().Round(0)) < member.MaxConfirmationAge
}

// loseWaves notes that a host has heard of a later planner than the one with a token.
func (p *pools) loseWaves(token int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shares.Token(_wavePartition) == token {
		p.shares.NoteLaterOwner(_wavePartition)
	}
}

// any reports whether any partition is held.
func (p *pools) any() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.owners) > 0 || p.shares.Any()
}

// handOver gives up all pools.
func (p *pools) handOver() {
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
	// _elsewhere is when a caller may come back, to another entry, whose request was
	// refused as this one has lost the store: the least that Retry-After can say.
	_elsewhere = time.Second
	// _strandedFor is how long the balancer is told to send callers elsewhere after
	// that: it asks each second, and gives an entry up after two answers.
	_strandedFor = 3 * time.Second
	// _retryOwner is the pause before an owner is looked for again.
	_retryOwner = 60 * time.Millisecond
)

// ask has the owner of a pool answer, wherever it is. While a pool changes hands
// it is looked for again until ctx ends.
func (n *Node) ask(ctx context.Context, q *link.Call) *link.Answer {
	// sent is set once the call may have been carried out somewhere.
	sent := false
	for {
		a := n.askOnce(ctx, q)
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
		if !wait.For(ctx, _retryOwner) {
			if sent {
				return &link.Answer{Outcome: link.Outcome_OUTCOME_UNKNOWN}
			}
			return &link.Answer{Outcome: link.Outcome_OUTCOME_UNAVAILABLE, RetryAfterMs: 1000}
		}
		if !n.group.Refresh(ctx) && !sent {
			// Who owns the pool now can't be learned here, but at other entries.
			n.stranded.Store(time.Now().UnixMilli())
			return &link.Answer{Outcome: link.Outcome_OUTCOME_UNAVAILABLE, RetryAfterMs: _elsewhere.Milliseconds()}
		}
	}
}

func (n *Node) askOnce(ctx context.Context, q *link.Call) *link.Answer {
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
		return &link.Answer{Outcome: lost(err)}
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
		a := n.ask(ctx, &link.Call{Pool: pool, Body: q.GetBody()})
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

// lost tells whether a call that failed may have been carried out.
func lost(err error) link.Outcome {
	if errors.Is(err, link.ErrNotSent) {
		return link.Outcome_OUTCOME_NOT_OWNER
	}
	return link.Outcome_OUTCOME_UNKNOWN
}
