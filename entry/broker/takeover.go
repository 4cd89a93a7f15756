package broker

import (
	"time"
)

// missing are the entries whose holds a new broker doesn't know yet.
type missing struct {
	entries map[Entry]struct{}
	until   time.Time
}

func (m *missing) any() bool {
	return len(m.entries) > 0
}

// reported notes that an entry's holds are known.
func (m *missing) reported(e Entry) {
	delete(m.entries, e)
	if !m.any() {
		m.until = time.Time{}
	}
}

// expire gives up on entries whose holds must have ended by now.
func (m *missing) expire(now time.Time) {
	if m.any() && !now.Before(m.until) {
		*m = missing{}
	}
}

// Takeover makes this process the pool's broker under a new term. Until every
// expected entry has reported, or as long as a request of theirs may run, every
// slot counts as taken: any of them may be theirs. A former broker that hasn't
// heard of this one may grant to an entry that hasn't either, so that time
// begins only once no such broker grants any more.
func (b *Broker) Takeover(now time.Time, t Takeover) []Op {
	b.start(now)
	b.term, b.owner = t.Term, t.Owner
	b.missing = missing{entries: make(map[Entry]struct{}, len(t.Expected))}
	for _, e := range t.Expected {
		b.missing.entries[e] = struct{}{}
	}
	if b.missing.any() {
		b.missing.until = now.Add(t.Staleness + b.longestRun() + _holdGrace)
	}
	b.dispatch(now)
	return b.flush()
}

func (b *Broker) longestRun() time.Duration {
	d := time.Duration(0)
	for _, c := range b.classes.all {
		d = max(d, c.maxRun())
	}
	return d
}

// Missing returns the number of entries that haven't reported yet.
func (b *Broker) UnreportedEntries() int {
	return len(b.missing.entries)
}

// Report takes in the holds of an entry, as told by itself or, where it was
// the former broker, by its witness. The holds include those that it told a
// former broker to be lost. With it the teller promises to drop grants of older
// terms. What the entry itself reports replaces what others
// said about it under older terms.
func (b *Broker) Report(now time.Time, of Entry, hs []Hold) []Op {
	b.start(now)
	b.dropStale(of, hs)
	for _, h := range hs {
		b.learn(h)
	}
	b.missing.reported(of)
	b.dispatch(now)
	return b.flush()
}

// Holds returns every hold that the broker counts, for the report of an entry
// that was the broker until now.
func (b *Broker) Holds() []Hold {
	hs := make([]Hold, 0, len(b.holds.heap))
	for _, h := range b.holds.heap {
		hs = append(hs, h.Hold)
	}
	return hs
}

// dropStale frees holds of an entry from older terms that its report lacks.
func (b *Broker) dropStale(of Entry, hs []Hold) {
	reported := make(map[uint64]struct{}, len(hs))
	for _, h := range hs {
		reported[h.Slot] = struct{}{}
	}
	for _, h := range b.holds.bySlot {
		if _, ok := reported[h.Slot]; !ok && h.Entry == of && h.Term < b.term {
			b.release(h)
		}
	}
}

// learn counts a reported hold as taken, once.
func (b *Broker) learn(r Hold) {
	if b.holds.bySlot[r.Slot] != nil {
		return
	}
	h := &hold{Hold: r, class: b.classes.byName[r.Class], team: b.team(r.Team)}
	h.Lost = false
	b.acquire(h)
	if r.Lost {
		b.lose(h)
	}
}

// EntryLost says that a process of an entry is gone or out of reach. Its
// queued requests end without a word; what it holds stays taken until the
// entry reports or the run has ended.
func (b *Broker) EntryLost(now time.Time, e Entry) []Op {
	b.start(now)
	for _, r := range b.requests {
		if r.Entry != e {
			continue
		}
		switch r.stage {
		case _queued:
			b.leave(now, r)
		case _joined:
			b.forget(r)
		case _journaling:
			r.cancelled = true
		case _held:
		}
	}
	b.dispatch(now)
	return b.flush()
}
