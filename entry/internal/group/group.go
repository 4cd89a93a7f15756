// Package group maintains an entry's membership in the group of entries that own the
// pools. The platform's store assigns the partitions, and with them the pools, to the
// members; entries don't coordinate among themselves.
//
//	g := group.New(store, address, incarnation, milliCPU)
//	g.OnJoined, g.OnOthersMustRejoin, g.OnStoreStatus = apply, notify, report
//	go g.Run(ctx)
//	address, ok := g.Owner(partition)
//
// An entry that is too small to own a busy pool joins only while there are not enough
// larger members.
package group

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"fescuelanding/entry/internal/hedge"
	"fescuelanding/entry/member"
	"fescuelanding/fleet/wait"
	"fescuelanding/platform"
)

const (
	_group = "entries"
	_topic = "pools"
	// _timeout limits a call to the store, unless the last one took longer than half of it. A
	// join that takes longer than member.TTL doesn't keep the partitions.
	_timeout = 600 * time.Millisecond
	// _refreshInterval is the minimum time between two queries of the owners.
	_refreshInterval = 120 * time.Millisecond
)

const (
	// _largeMilliCPU is the size, in thousandths of a core, from which an entry joins
	// immediately: it can run a pool during a demand peak of a few hundred starts per
	// second.
	_largeMilliCPU = 350
	// _joinDelay is how long a smaller entry lets larger ones join first.
	_joinDelay = 1500 * time.Millisecond
	// _standbyInterval is the time between a smaller entry's checks whether it is needed.
	_standbyInterval = time.Second
	// _enoughLarger is the number of larger members that makes a smaller entry
	// unnecessary, so that it does not join.
	_enoughLarger = 2
	// _checksToJoin is the number of consecutive checks that must find fewer larger
	// members before a smaller entry joins. After an outage of the store all members
	// rejoin, the larger ones within a second, so one check may find too few.
	_checksToJoin = 2
)

// Group is this entry's membership. Set the callbacks before Run. The store
// distributes pools evenly over members regardless of their size. Entries that are too
// small to schedule a busy pool therefore don't join while enough larger ones are
// members.
type Group struct {
	store  *platform.Store
	member string
	// milliCPU is the size of the entry, in thousandths of a core.
	milliCPU int
	// OnJoined is called after each successful join, on the goroutine of Run.
	OnJoined func(member.Assignment)
	// OnOthersMustRejoin is called after this entry has released partitions, or has
	// changed the group by joining. It must make the other members call Rejoin, since a
	// member learns of its new partitions only from its next join.
	OnOthersMustRejoin func()
	// OnStoreStatus is called with an error when joins begin to fail, and with nil when
	// they succeed again.
	OnStoreStatus func(error)
	// OnDelayed is called if a join is due for longer than _maxDelay before it is sent: the process
	// stood still, which its clocks don't show, or had no processor time. It may be nil.
	OnDelayed func(time.Duration)

	mu          sync.Mutex
	owners      map[int]string
	generation  int64
	refreshedAt time.Time
	refreshing  chan struct{}
	// storeAnswered is true if the last query of the owners succeeded.
	storeAnswered bool
	failing       bool
	// took is how long the last call to the store took that was answered or timed out.
	took time.Duration
	// caller decides when a call that changes the group is repeated.
	caller hedge.Caller
	// handover determines, after each join, which members must join again at once.
	handover member.Handover
	rejoin   chan struct{}
}

// New returns the membership of an entry. address is where it listens for other
// entries, and milliCPU its size in thousandths of a core. Each incarnation is a
// separate member, so that a restarted entry does not inherit the partitions of its
// predecessor.
func New(s *platform.Store, address, incarnation string, milliCPU int) *Group {
	return &Group{store: s, milliCPU: milliCPU, member: fmt.Sprintf("%s/%s/%d", address, incarnation, milliCPU), rejoin: make(chan struct{}, 1)}
}

// Run renews the membership until ctx ends. A small entry joins only when there are
// not enough larger members.
func (g *Group) Run(ctx context.Context) {
	if g.milliCPU < _largeMilliCPU {
		wait.For(ctx, _joinDelay)
		for checks := 0; ctx.Err() == nil; {
			if checks++; !g.Refresh(ctx) || g.larger() >= _enoughLarger {
				checks = 0
			}
			if checks == _checksToJoin {
				break
			}
			wait.For(ctx, _standbyInterval)
		}
	}
	t, due := time.NewTimer(0), time.Now()
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if d := time.Since(due); d > _maxDelay && g.OnDelayed != nil {
				g.OnDelayed(d)
			}
		case <-g.rejoin:
			// Several changes often follow each other closely.
			wait.For(ctx, member.RejoinDelay)
		}
		pause, err := g.join(ctx)
		g.reportStatus(err)
		t.Reset(pause)
		due = time.Now().Add(pause)
	}
}

// _maxDelay is how late a join may be without a notice. Busy entries are late by tens of milliseconds.
const _maxDelay = 250 * time.Millisecond

// Rejoin makes Run join again without waiting for the interval. It does not block.
func (g *Group) Rejoin() {
	select {
	case g.rejoin <- struct{}{}:
	default:
	}
}

func (g *Group) reportStatus(err error) {
	if (err != nil) == g.failing {
		return
	}
	g.failing = err != nil
	g.OnStoreStatus(err)
}

// join joins the group or renews the membership, and returns the time until the next
// join.
func (g *Group) join(ctx context.Context) (time.Duration, error) {
	g.mu.Lock()
	n := g.generation
	g.mu.Unlock()
	c, cancel := context.WithTimeout(ctx, g.callTimeout())
	defer cancel()
	sent := time.Now()
	m, err := hedge.Do(c, &g.caller, func(c context.Context) (platform.Membership, error) {
		return g.store.Join(c, _group, g.member, _topic, member.TTL, n)
	})
	g.noteTime(time.Since(sent), err)
	if err != nil {
		return member.RetryInterval, fmt.Errorf("join: %w", err)
	}
	g.mu.Lock()
	changed := m.Generation != g.generation
	g.generation = m.Generation
	g.mu.Unlock()
	if changed {
		// A slow answer to this mustn't delay the next join.
		go g.Refresh(ctx)
	}
	slices.Sort(m.Partitions)
	g.OnJoined(member.Assignment{Generation: m.Generation, Partitions: m.Partitions, ConfirmedAt: sent})
	again, notify := g.handover.Joined(m.Partitions)
	if notify {
		g.OnOthersMustRejoin()
	}
	if again {
		// Partitions were released. The store assigns them to other members only when
		// this member joins with the new generation.
		return 0, nil
	}
	// Confirmations stay JoinInterval apart while the store is slow.
	return max(0, member.JoinInterval-time.Since(sent)), nil
}

func (g *Group) callTimeout() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return min(max(_timeout, 2*g.took), member.TTL)
}

// StoreTime returns how long the last call to the store took that was answered or timed out.
func (g *Group) StoreTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.took
}

// noteTime notes the time and the outcome of a call to the store.
func (g *Group) noteTime(took time.Duration, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil || errors.Is(err, context.DeadlineExceeded) {
		g.took = took
	}
}

// Leave leaves the group, so that the store reassigns its partitions immediately.
func (g *Group) Leave(ctx context.Context) error {
	c, cancel := context.WithTimeout(ctx, _timeout)
	defer cancel()
	_, err := hedge.Do(c, &g.caller, func(c context.Context) (struct{}, error) {
		return struct{}{}, g.store.Leave(c, _group, g.member)
	})
	if err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	return nil
}

// Owner returns the address of the entry that owns a partition, as of the last
// Refresh. ok is false if no owner is known.
func (g *Group) Owner(partition int) (address string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.owners[partition]
	address, _, _ = strings.Cut(m, "/")
	return address, ok
}

// Owners returns the owning member of each partition, as of the last Refresh. A
// member is written as address/incarnation/milliCPU.
func (g *Group) Owners() map[int]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.owners)
}

// larger returns the number of partition owners that are larger than this entry.
func (g *Group) larger() int {
	seen := make(map[string]bool)
	for _, m := range g.Owners() {
		f := strings.Split(m, "/")
		if n, err := strconv.Atoi(f[len(f)-1]); err == nil && n > g.milliCPU {
			seen[m] = true
		}
	}
	return len(seen)
}

// Refresh queries the store for the owners, at most once per _refreshInterval, and
// reports whether the last query succeeded. Concurrent callers share one query, and none waits
// for it longer than until its ctx ends.
func (g *Group) Refresh(ctx context.Context) bool {
	g.mu.Lock()
	w := g.refreshing
	if w == nil {
		if time.Since(g.refreshedAt) < _refreshInterval {
			defer g.mu.Unlock()
			return g.storeAnswered
		}
		w = make(chan struct{})
		g.refreshing, g.refreshedAt = w, time.Now()
		go g.query(context.WithoutCancel(ctx), w)
	}
	g.mu.Unlock()
	select {
	case <-w:
	case <-ctx.Done():
	}
	return g.lastRefreshOK()
}

// query queries the store for the owners, and then closes done.
func (g *Group) query(ctx context.Context, done chan struct{}) {
	c, cancel := context.WithTimeout(ctx, g.callTimeout())
	defer cancel()
	sent := time.Now()
	o, err := g.store.Owners(c, _group)
	g.noteTime(time.Since(sent), err)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refreshing = nil
	g.storeAnswered = err == nil
	if err == nil {
		g.owners = o
	}
	close(done)
}

func (g *Group) lastRefreshOK() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.storeAnswered
}
