// Package group keeps an entry in the group of entries that share the pools.
// The platform's store deals the pools out; nothing is agreed between entries.
package group

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"fescuelanding/entry/member"
	"fescuelanding/fleet/wait"
	"fescuelanding/platform"
)

const (
	_group = "entries"
	_topic = "pools"
	// _timeout of a call. A slow store answers within a quarter second.
	_timeout = 600 * time.Millisecond
	// _refresh is the least time between two questions after the owners.
	_refresh = 120 * time.Millisecond
)

const (
	// _large is the size, in thousandths of a core, from which an entry joins at
	// once: it carries a pool's turn of some hundred starts a second.
	_large = 350
	// _patience is how long a smaller one waits for larger ones to join first.
	_patience = 1500 * time.Millisecond
	// _observe is how often an entry that stays out looks whether it is needed.
	_observe = time.Second
	// _enough larger members are enough for a smaller one to stay out.
	_enough = 2
	// _lacking looks in a row must find fewer: after an outage of the store all
	// members join anew, the larger ones within a second.
	_lacking = 2
)

// Group is this entry's membership. Pools are dealt evenly to members, so that
// entries that are small for an owner's work stay out while larger ones are in.
type Group struct {
	store  *platform.Store
	member string
	// size of the entry, in thousandths of a core.
	size int
	// OnChange is called after each answer, on the goroutine of Run.
	OnChange func(member.Assignment)
	// OnMoved is called when the store has been told that partitions were given up,
	// or the group has changed by this entry's joining: others have to join to learn
	// of it.
	OnRejoinNeeded func()
	// OnTrouble is called when the store stops answering, and with nil when it
	// answers again.
	OnStoreStatus func(error)

	mu         sync.Mutex
	owners     map[int]string
	generation int64
	asked      time.Time
	asking     chan struct{}
	// heard is set where the store answered the last question after the owners.
	heard    bool
	failing  bool
	handover member.Handover
	nudge    chan struct{}
}

// New returns the membership of an entry of some size, in thousandths of a core,
// that listens for others at an address. Each incarnation is a member of its own,
// so that none is taken for the one before.
func New(s *platform.Store, address, incarnation string, size int) *Group {
	return &Group{store: s, size: size, member: fmt.Sprintf("%s/%s/%d", address, incarnation, size), nudge: make(chan struct{}, 1)}
}

// Run joins again and again until ctx ends. A small entry first stays out for as
// long as there are larger ones.
func (g *Group) Run(ctx context.Context) {
	if g.size < _large {
		wait.For(ctx, _patience)
		for lacking := 0; ctx.Err() == nil; {
			if lacking++; !g.Refresh(ctx) || g.larger() >= _enough {
				lacking = 0
			}
			if lacking == _lacking {
				break
			}
			wait.For(ctx, _observe)
		}
	}
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-g.nudge:
			// Several changes often come together.
			wait.For(ctx, member.RejoinDelay)
		}
		pause, err := g.join(ctx)
		g.trouble(err)
		t.Reset(pause)
	}
}

// Nudge has the entry join again at once.
func (g *Group) Rejoin() {
	select {
	case g.nudge <- struct{}{}:
	default:
	}
}

func (g *Group) trouble(err error) {
	if (err != nil) == g.failing {
		return
	}
	g.failing = err != nil
	g.OnStoreStatus(err)
}

// join enters the group, or stays in it, and returns when to join again.
func (g *Group) join(ctx context.Context) (time.Duration, error) {
	c, cancel := context.WithTimeout(ctx, _timeout)
	defer cancel()
	g.mu.Lock()
	n := g.generation
	g.mu.Unlock()
	sent := time.Now()
	m, err := g.store.Join(c, _group, g.member, _topic, member.TTL, n)
	if err != nil {
		return member.RetryInterval, fmt.Errorf("join: %w", err)
	}
	g.mu.Lock()
	changed := m.Generation != g.generation
	g.generation = m.Generation
	g.mu.Unlock()
	if changed {
		g.Refresh(ctx)
	}
	slices.Sort(m.Partitions)
	g.OnChange(member.Assignment{Generation: m.Generation, Partitions: m.Partitions, ConfirmedAt: sent})
	again, nudge := g.handover.Joined(m.Partitions)
	if nudge {
		g.OnRejoinNeeded()
	}
	if again {
		return 0, nil
	}
	return member.JoinInterval, nil
}

// Leave gives the partitions back at once.
func (g *Group) Leave(ctx context.Context) error {
	c, cancel := context.WithTimeout(ctx, _timeout)
	defer cancel()
	if err := g.store.Leave(c, _group, g.member); err != nil {
		return fmt.Errorf("leave: %w", err)
	}
	return nil
}

// Owner returns the address of the entry that holds a partition, as far as is
// known.
func (g *Group) Owner(partition int) (address string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.owners[partition]
	address, _, _ = strings.Cut(m, "/")
	return address, ok
}

// Owners returns all that is known of the owners.
func (g *Group) Owners() map[int]string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.owners)
}

// larger counts the members that are larger than this entry.
func (g *Group) larger() int {
	seen := make(map[string]bool)
	for _, m := range g.Owners() {
		f := strings.Split(m, "/")
		if n, err := strconv.Atoi(f[len(f)-1]); err == nil && n > g.size {
			seen[m] = true
		}
	}
	return len(seen)
}

// Refresh asks the store for the owners, unless that was done just now, and reports
// whether it answered when it was asked last. Those who ask at the same time share one
// question.
func (g *Group) Refresh(ctx context.Context) bool {
	g.mu.Lock()
	if w := g.asking; w != nil {
		g.mu.Unlock()
		select {
		case <-w:
		case <-ctx.Done():
		}
		return g.heardStore()
	}
	if time.Since(g.asked) < _refresh {
		defer g.mu.Unlock()
		return g.heard
	}
	w := make(chan struct{})
	g.asking, g.asked = w, time.Now()
	g.mu.Unlock()
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), _timeout)
	defer cancel()
	o, err := g.store.Owners(c, _group)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asking = nil
	g.heard = err == nil
	close(w)
	if err == nil {
		g.owners = o
	}
	return g.heard
}

func (g *Group) heardStore() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heard
}
