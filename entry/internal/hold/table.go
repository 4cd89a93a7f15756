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

// Reasons for which the gate stays shut. Nothing was sent.
var (
	// ErrStale means that the entry's view is older than its bound.
	ErrStale = errors.New("view is stale")
	// ErrUnregistered means that the entry's process isn't registered.
	ErrUnregistered = errors.New("entry is not registered")
	// ErrHost means that the host doesn't serve the pool in this entry's view.
	ErrHostUnavailable = errors.New("host does not serve the pool")
	// ErrBroker means that the pool has a newer broker.
	ErrOldBroker = errors.New("grant of an old broker")
)

// Broker names the broker that a pool's holds were last reported to.
type Broker struct {
	Entry string
	Term  uint64
}

// Table is the holds of one entry. New makes it; it is safe for concurrent use.
type Table struct {
	self  broker.Entry
	start time.Time
	fresh atomic.Int64 // nanoseconds from start, by the monotonic clock

	mu        sync.Mutex
	view      *view.View
	holds     map[uint64]held
	hosts     map[string]int
	brokers   map[string]Broker
	witnessed map[uint64]held
	// lost are holds whose run may go on upstream, until their end.
	lost map[uint64]held
}

// held is a hold with its pool.
type held struct {
	broker.Hold
	pool string
}

// New returns the empty table of an entry's process that started now.
func New(self broker.Entry, now time.Time) *Table {
	return &Table{
		self: self, start: now, view: &view.View{},
		holds: map[uint64]held{}, hosts: map[string]int{},
		brokers: map[string]Broker{}, witnessed: map[uint64]held{}, lost: map[uint64]held{},
	}
}

// Fresh says until when the entry may rely on its view. An earlier time than
// the one known changes nothing.
func (t *Table) SetFreshUntil(until time.Time) {
	n := int64(until.Sub(t.start))
	for {
		o := t.fresh.Load()
		if o >= n || t.fresh.CompareAndSwap(o, n) {
			return
		}
	}
}

// IsFresh reports whether the view may be relied on.
func (t *Table) IsFresh(now time.Time) bool { return int64(now.Sub(t.start)) < t.fresh.Load() }

// Show gives the table a newer view. After it returns, no request passes the
// gate by an older one.
func (t *Table) SetView(v *view.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v.Offset() >= t.view.Offset() {
		t.view = v
	}
}

// View returns the view that the gate goes by.
func (t *Table) View() *view.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// Enter counts a hold in, or says why its grant must not be used.
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
	if h.Term < t.term(pool) {
		return ErrOldBroker
	}
	t.holds[h.Slot] = held{Hold: h, pool: pool}
	t.hosts[h.Host]++
	return nil
}

// term returns the newest term known of a pool's broker.
func (t *Table) term(pool string) uint64 {
	n := t.brokers[pool].Term
	if o, ok := t.view.Broker(pool); ok {
		n = max(n, o.Term())
	}
	return n
}

// Leave counts a hold out, and returns the broker that its end is for. The slot
// of a lost run is reported as taken until its hold ends.
func (t *Table) Release(pool string, slot uint64, o broker.Outcome) Broker {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h, ok := t.holds[slot]; ok {
		delete(t.holds, slot)
		if o == broker.Lost {
			h.Lost = true
			t.lost[slot] = h
		}
		if t.hosts[h.Host]--; t.hosts[h.Host] == 0 {
			delete(t.hosts, h.Host)
		}
	}
	return t.newest(pool)
}

// newest returns the newest broker known of a pool.
func (t *Table) newest(pool string) Broker {
	b := t.brokers[pool]
	if o, ok := t.view.Broker(pool); ok && o.Term() > b.Term {
		return Broker{Entry: o.Entry(), Term: o.Term()}
	}
	return b
}

// Broker returns the newest broker known of a pool; its entry is empty where
// there is none.
func (t *Table) Broker(pool string) Broker {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest(pool)
}

// Idle reports whether the entry has nothing in flight on a host.
func (t *Table) Idle(host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts[host] == 0
}

// Len returns the number of holds.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.holds)
}

// Report returns the holds in a pool, the entry's own, its lost runs and those it
// witnessed, for a new broker. Grants of an older term don't pass the gate any more. It
// returns false to a broker that is itself older than one reported to.
func (t *Table) Report(now time.Time, pool string, b Broker) ([]broker.Hold, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b.Term < t.term(pool) {
		return nil, false
	}
	t.brokers[pool] = b
	expire(now, t.lost)
	expire(now, t.witnessed)
	var l []broker.Hold
	for _, m := range []map[uint64]held{t.holds, t.lost, t.witnessed} {
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

// Witness remembers a hold of the broker's own entry, for the next broker. The
// term is that of the broker, which may have taken the hold over; it returns
// false for a broker older than one reported to.
func (t *Table) AddWitnessed(now time.Time, pool string, term uint64, h broker.Hold) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term < t.term(pool) {
		return false
	}
	expire(now, t.lost)
	expire(now, t.witnessed)
	t.witnessed[h.Slot] = held{Hold: h, pool: pool}
	return true
}

// expire forgets the holds that have ended.
func expire(now time.Time, m map[uint64]held) {
	for s, h := range m {
		if h.Until.Before(now) {
			delete(m, s)
		}
	}
}

// Unwitness forgets a hold that has ended.
func (t *Table) RemoveWitnessed(slot uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.witnessed, slot)
}

// Own returns the entry's own holds in a pool and its lost runs, for a new
// witness.
func (t *Table) OwnHolds(pool string) []broker.Hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []broker.Hold
	for _, m := range []map[uint64]held{t.holds, t.lost} {
		for _, h := range m {
			if h.pool == pool {
				l = append(l, h.Hold)
			}
		}
	}
	return l
}
