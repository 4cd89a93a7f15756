package node

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"fescuelanding/entry/internal/owner"
	"fescuelanding/entry/link"
	"fescuelanding/entry/member"
	"fescuelanding/entry/scheduler"
	"fescuelanding/fleet/permit"
	"fescuelanding/fleet/wait"
	"fescuelanding/platform"
)

// _plannerPartition is the partition whose holder plans moves and maintenance of hosts.
const _plannerPartition = 0

// assignPartitions assigns the pools to the group's partitions in the order of their
// names, beginning after _plannerPartition. Two pools share a partition only if there
// are more pools than partitions. Standby pools have no partition and no owner: their
// hosts are off.
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

// pools manages the pools that this entry owns.
type pools struct {
	node *Node

	mu sync.Mutex
	// owners contains the owner of each pool that this entry owns, by pool name.
	owners map[string]*owner.Owner
	// held contains the partitions that the group assigns to this entry.
	held member.Partitions
}

// applyAssignment applies the group's assignment of partitions to this entry.
func (p *pools) applyAssignment(c member.Assignment) {
	p.mu.Lock()
	if p.held.Assign(c) {
		p.node.log.Info("Assigned partitions changed.", "generation", c.Generation, "partitions", c.Partitions)
	}
	p.mu.Unlock()
	p.reconcile()
	for _, o := range p.all() {
		o.Post(scheduler.OwnershipConfirmed{At: c.ConfirmedAt, Generation: c.Generation})
	}
}

// applyConfig applies a new configuration.
func (p *pools) applyConfig() {
	p.reconcile()
	c := p.node.config.Load()
	for name, o := range p.all() {
		o.Post(configured(c, name))
	}
}

// configured returns the event that passes a configuration to the owner of a pool.
func configured(c *activeConfig, pool string) scheduler.Configured {
	e := scheduler.Configured{Version: c.Version, Workspaces: c.Workspaces, Pools: slices.Sorted(maps.Keys(c.partition))}
	for _, q := range c.Queues {
		if q.Pool == pool {
			e.Queues = append(e.Queues, q)
		} else {
			e.OtherQueues = append(e.OtherQueues, q)
		}
	}
	return e
}

// reconcile starts and stops owners so that they match the partitions held.
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
		if o.Ended() {
			// The partition may still be held, then with a new token. In that case the
			// pool is released and started again below.
			p.held.NoteLaterOwner(k)
		}
		if p.held.Token(k) == 0 || p.held.Token(k) != o.Token() {
			p.node.log.Info("Pool released.", "pool", name, "lost", o.Ended())
			o.Stop()
			delete(p.owners, name)
		}
	}
	for name, k := range c.partition {
		if token := p.held.Token(k); p.owners[name] == nil && token > 0 {
			p.startOwner(c, name, token)
		}
	}
}

// startOwner starts the owner of a pool under a fencing token.
func (p *pools) startOwner(c *activeConfig, name string, token int64) {
	b := p.node.bounds.Load()
	set := scheduler.Settings{
		Pool: name, Token: token, MaxLease: b.MaxLease, StatusRetention: b.StatusRetention, StopTimeout: b.StopTimeout,
		RemoteFactor: b.RemoteFactor, AcceptLate: p.node.AcceptLate, TrackHomes: true,
		RecordBytes: p.node.boot.Store.RecordBytes, CallBytes: p.node.boot.Store.CallBytes,
	}
	o, err := owner.Start(p.node.system, set, p.node.boot.Store.Partitions, p.node.clients, p.node.log)
	if err != nil {
		p.node.log.Warn("Owner of a pool was not started; retrying after the next join.", "pool", name, "err", err)
		return
	}
	p.node.log.Info("Pool gained.", "pool", name, "token", token)
	o.Post(scheduler.OwnershipConfirmed{At: p.held.ConfirmedAt(), Generation: p.held.Generation()})
	o.Post(configured(c, name))
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

// plannerToken returns the fencing token for orders about hosts, and zero while this
// entry does not hold _plannerPartition.
func (p *pools) plannerToken() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held.Token(_plannerPartition)
}

// recentlyConfirmed reports whether the store confirmed the held partitions within
// member.MaxConfirmationAge. A time in which the process was suspended counts.
func (p *pools) recentlyConfirmed(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return permit.Elapsed(p.held.ConfirmedAt(), now) < member.MaxConfirmationAge
}

// losePlanner gives up _plannerPartition if it is held under token. It is called when
// an order with this token was rejected because a later planner has given orders.
func (p *pools) losePlanner(token int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held.Token(_plannerPartition) == token {
		p.held.NoteLaterOwner(_plannerPartition)
	}
}

// holdsAny reports whether this entry owns a pool or holds a partition.
func (p *pools) holdsAny() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.owners) > 0 || p.held.Any()
}

// releaseAll stops all owners and gives up all partitions.
func (p *pools) releaseAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, o := range p.owners {
		o.Stop()
		delete(p.owners, name)
	}
	p.held.Drop()
}

// handle handles a call of another entry.
func (n *Node) handle(ctx context.Context, q *link.Call) *link.Answer {
	if q.GetRejoin() != nil {
		n.group.Rejoin()
		return &link.Answer{Outcome: link.Outcome_OUTCOME_OK}
	}
	o := n.pools.owner(q.GetPool())
	if o == nil {
		return &link.Answer{Outcome: link.Outcome_OUTCOME_NOT_OWNER}
	}
	if a := n.recheck(q); a != nil {
		return a
	}
	c, cancel := context.WithTimeout(ctx, callLimit(q))
	defer cancel()
	return o.Call(c, q)
}

const (
	// _callTimeout limits a call between entries.
	_callTimeout = 1200 * time.Millisecond
	// _storeLostRetryAfter is sent with refusals while this entry can't reach the store.
	// The caller's retry should reach another entry, so this is the minimum that
	// Retry-After can express.
	_storeLostRetryAfter = time.Second
	// _unreadyFor is how long the health check fails after a request was refused because
	// its owner is unknown. The load balancer checks every second and removes an entry
	// after two failures.
	_unreadyFor = 3 * time.Second
	// _ownerRetryPause is the pause before another attempt to reach an owner.
	_ownerRetryPause = 60 * time.Millisecond
)

// callOwner sends a call to the owner of its pool, on this or another entry. While
// the pool changes owners, it retries until ctx ends.
func (n *Node) callOwner(ctx context.Context, q *link.Call) *link.Answer {
	// sent is true once an attempt may have been executed, and unread if the owner didn't know
	// yet which jobs the pool has.
	sent, unread := false, false
	for {
		a := n.callOwnerOnce(ctx, withBudget(ctx, time.Now(), q, n.group.StoreTime(), n.version()))
		switch a.GetOutcome() {
		case link.Outcome_OUTCOME_UNKNOWN:
			sent = true
		case link.Outcome_OUTCOME_NOT_OWNER:
			unread = unread || a.GetRetryAfterMs() > 0
		case link.Outcome_OUTCOME_OVERLOADED, link.Outcome_OUTCOME_UNAVAILABLE, link.Outcome_OUTCOME_DENIED:
			if !sent {
				return a
			}
			// An earlier attempt may have been accepted, so the call must not be
			// reported as refused until that attempt's outcome is known.
		default:
			return a
		}
		answered := wait.For(ctx, _ownerRetryPause) && n.group.Refresh(ctx)
		switch {
		case ctx.Err() != nil && (sent || unread):
			return &link.Answer{Outcome: link.Outcome_OUTCOME_UNKNOWN}
		case ctx.Err() != nil:
			return &link.Answer{Outcome: link.Outcome_OUTCOME_UNAVAILABLE, RetryAfterMs: 1000}
		case !answered && !sent && !unread:
			// The current owner can't be determined here; other entries may know it.
			n.ownerUnknownAt.Store(time.Now().UnixMilli())
			return &link.Answer{Outcome: link.Outcome_OUTCOME_UNAVAILABLE, RetryAfterMs: _storeLostRetryAfter.Milliseconds()}
		}
	}
}

func (n *Node) callOwnerOnce(ctx context.Context, q *link.Call) *link.Answer {
	if a := n.recheck(q); a != nil {
		return a
	}
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
	t, cancel := context.WithTimeout(ctx, callLimit(q))
	defer cancel()
	a, err := n.link.Call(t, address, q)
	if err != nil {
		n.log.Info("Call to the owner of a pool failed.", "pool", q.GetPool(), "owner", address, "err", err)
		return &link.Answer{Outcome: failedOutcome(err)}
	}
	return a
}

// locate sends a call about a job to the owners of all other pools, since its queue
// may have been moved to another pool, which this entry may not know yet. It returns GONE only if
// all of them responded that they have no such job. Each of them has recorded a cancellation by then.
func (n *Node) locate(ctx context.Context, q *link.Call) *link.Answer {
	out := &link.Answer{Outcome: link.Outcome_OUTCOME_GONE}
	for pool := range n.config.Load().partition {
		if pool == q.GetPool() {
			continue
		}
		a := n.callOwner(ctx, &link.Call{Pool: pool, Credential: q.GetCredential(), Body: q.GetBody()})
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

// failedOutcome returns the outcome of a failed call: NOT_OWNER if it was not sent, so
// that it can be retried, and UNKNOWN if it may have been executed.
func failedOutcome(err error) link.Outcome {
	if errors.Is(err, link.ErrNotSent) {
		return link.Outcome_OUTCOME_NOT_OWNER
	}
	return link.Outcome_OUTCOME_UNKNOWN
}
