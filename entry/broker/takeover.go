package broker

import (
	"time"
)

// unreportedEntries are the entries that haven't yet reported their holds to a
// new broker.
type unreportedEntries struct {
	entries map[Entry]struct{}
	// until is when the runs of these entries must have ended.
	until time.Time
}

func (m *unreportedEntries) any() bool {
	return len(m.entries) > 0
}

// reported removes an entry that has reported its holds.
func (m *unreportedEntries) reported(e Entry) {
	delete(m.entries, e)
	if !m.any() {
		m.until = time.Time{}
	}
}

// expire stops waiting for entries whose holds must have ended by now.
func (m *unreportedEntries) expire(now time.Time) {
	if m.any() && !now.Before(m.until) {
		*m = unreportedEntries{}
	}
}

// Takeover makes this process the pool's broker under a new term. Every slot
// counts as taken until each expected entry has reported, or until the
// requests of the other entries must have ended, since any slot may be theirs.
// Until Staleness has passed, a former broker may not know of this takeover and
// may still grant slots to entries that don't know of it. The time limit for the
// end of their requests therefore starts only after Staleness.
func (b *Broker) Takeover(now time.Time, t Takeover) []Op {
	b.start(now)
	b.term, b.owner = t.Term, t.Owner
	b.unreported = unreportedEntries{entries: make(map[Entry]struct{}, len(t.Expected))}
	for _, e := range t.Expected {
		b.unreported.entries[e] = struct{}{}
	}
	if b.unreported.any() {
		b.unreported.until = now.Add(t.Staleness + b.longestRun() + _holdMargin)
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

// UnreportedEntries returns the number of expected entries that haven't
// reported yet.
func (b *Broker) UnreportedEntries() int {
	return len(b.unreported.entries)
}

// Report records the holds of an entry. The report comes from the entry
// itself or, if the entry was the former broker, from its witness, a second
// entry that keeps a copy of these holds. The report includes holds whose
// runs the entry has already reported to a former broker as Lost, because they
// may still be running. With the report, the sender promises to drop grants of
// older terms. A report by the entry itself replaces what others reported about
// it under older terms.
func (b *Broker) Report(now time.Time, of Entry, hs []Hold) []Op {
	b.start(now)
	b.dropStale(of, hs)
	for _, h := range hs {
		b.addReported(h)
	}
	b.unreported.reported(of)
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

// dropStale releases holds of an entry from older terms that are missing from
// its report.
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

// addReported adds a reported hold, unless it is known already.
func (b *Broker) addReported(r Hold) {
	if b.holds.bySlot[r.Slot] != nil {
		return
	}
	h := &hold{Hold: r, class: b.classes.byName[r.Class], team: b.team(r.Team)}
	h.Lost = false
	b.acquire(h)
	if r.Lost {
		b.markLost(h)
	}
}

// EntryLost ends the queued requests of an entry process that has ended or is
// unreachable, without a reply. Its holds stay until the entry reports or the
// runs must have ended.
func (b *Broker) EntryLost(now time.Time, e Entry) []Op {
	b.start(now)
	for _, r := range b.requests {
		if r.Entry != e {
			continue
		}
		switch r.stage {
		case _queued:
			b.dequeue(now, r)
		case _following:
			b.removeRequest(r)
		case _journaling:
			r.cancelled = true
		case _held:
		}
	}
	b.dispatch(now)
	return b.flush()
}
