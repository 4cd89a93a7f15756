package broker

import (
	"time"

	"fescuelanding/entry/keys"

	"github.com/cespare/xxhash/v2"
)

const (
	// _maxQueue bounds the requests of one urgency that wait in one pool.
	_maxQueue = 10_000
	// _holdGrace is how much longer than its run a hold counts as taken, for
	// the time that the grant and the end of the run travel.
	_holdGrace     = time.Second
	_defaultMaxRun = time.Hour
	_defaultWait   = time.Minute
)

// Broker decides the slots and the queue of one pool. The zero value has no
// hosts and no classes, and refuses everything. It isn't safe for concurrent
// use.
type Broker struct {
	term     uint64
	owner    Entry
	serial   uint64
	since    time.Time
	keys     *keys.Journal
	hosts    hosts
	classes  classes
	teams    map[string]*team
	anyTeam  bool
	requests map[uint64]*request
	running  map[keys.Key]*request
	holds    holds
	missing  missing
	demand   demand
	overload overload
	retries  retries
	faults   faults
	wake     time.Time
	ops      []Op
}

// SetKeys gives the journal of started keys. Without one, requests that need
// their key journaled are refused.
func (b *Broker) SetKeyJournal(j *keys.Journal) {
	b.keys = j
}

// Term returns the term of the last takeover.
func (b *Broker) Term() uint64 {
	return b.term
}

// Ask decides about one attempt of a request.
func (b *Broker) Ask(now time.Time, a Ask) []Op {
	b.start(now)
	if r := b.requests[a.Request]; r != nil {
		return b.again(r)
	}
	r, reason := b.accept(now, a)
	if reason != ReasonNone {
		b.refuse(now, r, reason)
		return b.flush()
	}
	if b.repeated(now, r) {
		return b.flush()
	}
	b.demand.asked(now, r, b.hosts.slots())
	if reason := b.admit(now, r); reason != ReasonNone {
		b.refuse(now, r, reason)
		return b.flush()
	}
	b.enqueue(r)
	b.dispatch(now)
	return b.flush()
}

// again answers an ask for a request that is known already.
func (b *Broker) again(r *request) []Op {
	if r.hold != nil && r.stage == _held {
		b.emit(r.hold.grant())
	}
	return b.flush()
}

// Cancel takes a request out of the queue. A request that was granted keeps
// its slot until Done.
func (b *Broker) Cancel(now time.Time, id uint64) []Op {
	b.start(now)
	r := b.requests[id]
	if r == nil {
		return nil
	}
	switch r.stage {
	case _queued:
		b.leave(now, r)
		b.dispatch(now)
	case _joined:
		b.forget(r)
	case _journaling:
		r.cancelled = true
	case _held:
	}
	return b.flush()
}

// Done gives a slot back. A slot that isn't known, or no longer, is passed
// over.
func (b *Broker) Done(now time.Time, slot uint64, res Result) []Op {
	b.start(now)
	h := b.holds.bySlot[slot]
	if h == nil {
		return nil
	}
	b.judge(now, h, res)
	b.heedLeaving(now, h, res)
	if res.Outcome == Lost {
		b.lose(h)
	} else {
		b.release(h)
	}
	b.ended(now, h, res)
	b.dispatch(now)
	return b.flush()
}

// heedLeaving takes out a host whose upstream asked for no further requests.
func (b *Broker) heedLeaving(now time.Time, h *hold, res Result) {
	if k := b.hosts.byName[h.Host]; k != nil && res.Leaving {
		b.hosts.leave(now, k)
		b.refuseUnplaceable(now)
	}
}

// ended closes the request of a hold and answers those that wait for its key.
func (b *Broker) ended(now time.Time, h *hold, res Result) {
	b.settleKey(now, h, res)
	if r := h.request; r != nil {
		h.request = nil
		b.forget(r)
	}
}

// SetHosts gives the pool's hosts. Holds on a host that isn't named any more
// are remembered until they end.
func (b *Broker) SetHosts(now time.Time, hs []Host) []Op {
	b.start(now)
	b.hosts.set(now, hs, b.holds.onHost)
	b.refuseUnplaceable(now)
	b.dispatch(now)
	return b.flush()
}

// SetLimits gives the configuration of classes and teams. Requests that
// wait in a class that has gone are refused.
func (b *Broker) SetLimits(now time.Time, l Limits) []Op {
	b.start(now)
	b.hosts.minAvailable = l.MinAvailable
	b.hosts.restore(now)
	b.setTeams(l.Teams)
	b.setClasses(now, l.Classes)
	b.demand.unseen = b.expectsBurst(l.Services)
	b.dispatch(now)
	return b.flush()
}

// Tick does what time has made due.
func (b *Broker) Tick(now time.Time) []Op {
	b.start(now)
	for _, h := range b.holds.expired(now) {
		b.release(h)
		b.ended(now, h, Result{})
	}
	b.missing.expire(now)
	b.expire(now)
	b.faults.expire(now)
	b.hosts.tick(now)
	b.dispatch(now)
	return b.flush()
}

// Next returns when Tick is due, or the zero time where nothing waits for one.
func (b *Broker) Next() time.Time {
	var t time.Time
	for _, c := range b.classes.all {
		t = earliest(t, c.line.first())
	}
	t = earliest(t, b.wake)
	t = earliest(t, b.holds.next())
	t = earliest(t, b.hosts.next())
	return earliest(t, b.missing.until)
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// start notes when the broker's view of the demand begins.
func (b *Broker) start(now time.Time) {
	if !b.since.IsZero() {
		return
	}
	b.since = now
	b.requests = make(map[uint64]*request)
	b.running = make(map[keys.Key]*request)
	b.retries.tokens = _retryBurst
}

func (b *Broker) emit(o Op) {
	b.ops = append(b.ops, o)
}

func (b *Broker) flush() []Op {
	o := b.ops
	b.ops = nil
	return o
}

// slot returns a new slot number. It differs from those of other terms and
// processes, whose holds may not have been reported yet.
func (b *Broker) slot() uint64 {
	for {
		b.serial++
		d := xxhash.New()
		writeUint64(d, b.term)
		writeUint64(d, b.owner.Incarnation)
		writeUint64(d, b.serial)
		if s := d.Sum64(); b.holds.bySlot[s] == nil {
			return s
		}
	}
}
