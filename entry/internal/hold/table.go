package hold

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/internal/view"
)

// Errors that Table.Admit returns. With each of them, nothing was sent
// upstream.
var (
	// ErrStale means that the entry's view is older than the staleness bound.
	ErrStale = errors.New("view is stale")
	// ErrUnregistered means that this process of the entry is not registered.
	ErrUnregistered = errors.New("entry is not registered")
	// ErrHostUnavailable means that, in the entry's view, the host is not in
	// the pool or must not receive requests.
	ErrHostUnavailable = errors.New("host does not serve the pool")
	// ErrOldBroker means that the grant comes from a former broker of the pool.
	ErrOldBroker = errors.New("grant comes from a former broker")
)

// Broker identifies a broker of a pool by its entry and term.
type Broker struct {
	Entry string
	Term  uint64
}

// Table contains the holds of one entry. New returns one. It is safe for
// concurrent use.
type Table struct {
	self       broker.Entry
	start      time.Time
	freshUntil atomic.Int64 // nanoseconds since start, by the monotonic clock

	mu       sync.Mutex
	view     *view.View
	holds    map[uint64]poolHold
	inFlight map[string]int // number of holds by host
	// brokers maps a pool to the last broker that received a report.
	brokers map[string]Broker
	// witnessed contains the holds of other entries that this entry recorded as
	// a witness.
	witnessed map[uint64]poolHold
	// lost contains the holds of lost attempts. The upstream may still be
	// running them until the hold expires.
	lost map[uint64]poolHold
}

// poolHold is a hold with its pool.
type poolHold struct {
	broker.Hold
	pool string
}

// New returns an empty table for an entry process that starts at now.
func New(self broker.Entry, now time.Time) *Table {
	return &Table{
		self: self, start: now, view: &view.View{},
		holds: map[uint64]poolHold{}, inFlight: map[string]int{},
		brokers: map[string]Broker{}, witnessed: map[uint64]poolHold{}, lost: map[uint64]poolHold{},
	}
}

// SetFreshUntil extends the time until which the entry may rely on its view. A
// time earlier than the current one has no effect.
func (t *Table) SetFreshUntil(until time.Time) {
	n := int64(until.Sub(t.start))
	for {
		o := t.freshUntil.Load()
		if o >= n || t.freshUntil.CompareAndSwap(o, n) {
			return
		}
	}
}

// IsFresh reports whether the entry may rely on its view at now.
func (t *Table) IsFresh(now time.Time) bool { return int64(now.Sub(t.start)) < t.freshUntil.Load() }

// SetView replaces the view unless it is older than the current one. After it
// returns, Admit checks every request against the new view.
func (t *Table) SetView(v *view.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v.Offset() >= t.view.Offset() {
		t.view = v
	}
}

// View returns the view that Admit checks requests against.
func (t *Table) View() *view.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// Admit adds a hold. It returns an error if the grant must not be used.
func (t *Table) Admit(now time.Time, pool string, h broker.Hold) error {
	if !t.IsFresh(now) {
		return ErrStale
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.view.Entry(t.self.Name); !ok || e.Incarnation() != t.self.Incarnation {
		return ErrUnregistered
	}
	v, ok := t.view.Host(h.Host)
	if !ok || v.Pool() != pool || !v.Available() {
		return ErrHostUnavailable
	}
	if h.Term < t.newestTerm(pool) {
		return ErrOldBroker
	}
	t.holds[h.Slot] = poolHold{Hold: h, pool: pool}
	t.inFlight[h.Host]++
	return nil
}

// newestTerm returns the newest known term of a pool's broker.
func (t *Table) newestTerm(pool string) uint64 {
	n := t.brokers[pool].Term
	if o, ok := t.view.Broker(pool); ok {
		n = max(n, o.Term())
	}
	return n
}

// Release removes a hold. It returns the pool's newest known broker, to which
// the caller must return the slot. The hold of a lost attempt is still reported
// to new brokers until it expires.
func (t *Table) Release(pool string, slot uint64, o broker.Outcome) Broker {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h, ok := t.holds[slot]; ok {
		delete(t.holds, slot)
		if o == broker.Lost {
			h.Lost = true
			t.lost[slot] = h
		}
		if t.inFlight[h.Host]--; t.inFlight[h.Host] == 0 {
			delete(t.inFlight, h.Host)
		}
	}
	return t.newestBroker(pool)
}

// newestBroker returns the newest known broker of a pool.
func (t *Table) newestBroker(pool string) Broker {
	b := t.brokers[pool]
	if o, ok := t.view.Broker(pool); ok && o.Term() > b.Term {
		return Broker{Entry: o.Entry(), Term: o.Term()}
	}
	return b
}

// Broker returns the newest known broker of a pool. Its entry is empty if none
// is known.
func (t *Table) Broker(pool string) Broker {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newestBroker(pool)
}

// Idle reports whether the entry has no request in flight on a host.
func (t *Table) Idle(host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight[host] == 0
}

// Len returns the number of requests in flight.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.holds)
}

// Report returns the holds in a pool for a new broker: the entry's own holds,
// those of its lost attempts, and those that it recorded as a witness. From
// then on, Admit refuses grants of older terms. Report returns false if a newer
// broker is known.
func (t *Table) Report(now time.Time, pool string, b Broker) ([]broker.Hold, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b.Term < t.newestTerm(pool) {
		return nil, false
	}
	t.brokers[pool] = b
	expire(now, t.lost)
	expire(now, t.witnessed)
	var l []broker.Hold
	for _, m := range []map[uint64]poolHold{t.holds, t.lost, t.witnessed} {
		for _, h := range m {
			if h.pool == pool {
				l = append(l, h.Hold)
			}
		}
	}
	slices.SortFunc(l, func(a, b broker.Hold) int {
		if a.Slot < b.Slot {
			return -1
		}
		return 1
	})
	return l, true
}

// AddWitnessed records a hold of the entry that runs the broker, so that Report
// returns it to the next broker. The term is that of the current broker, which
// may have taken the hold over from a broker with an older term. AddWitnessed
// returns false if a newer broker is known.
func (t *Table) AddWitnessed(now time.Time, pool string, term uint64, h broker.Hold) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term < t.newestTerm(pool) {
		return false
	}
	expire(now, t.lost)
	expire(now, t.witnessed)
	t.witnessed[h.Slot] = poolHold{Hold: h, pool: pool}
	return true
}

// expire removes the expired holds.
func expire(now time.Time, m map[uint64]poolHold) {
	for s, h := range m {
		if h.Until.Before(now) {
			delete(m, s)
		}
	}
}

// RemoveWitnessed removes a witnessed hold that has ended.
func (t *Table) RemoveWitnessed(slot uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.witnessed, slot)
}

// OwnHolds returns the entry's own holds in a pool, including those of lost
// attempts, for a new witness.
func (t *Table) OwnHolds(pool string) []broker.Hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []broker.Hold
	for _, m := range []map[uint64]poolHold{t.holds, t.lost} {
		for _, h := range m {
			if h.pool == pool {
				l = append(l, h.Hold)
			}
		}
	}
	return l
}
