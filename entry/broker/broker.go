package broker

import (
	"time"

	"fescuelanding/entry/keys"

	"github.com/cespare/xxhash/v2"
)

const (
	// _maxQueue bounds the queued requests of one urgency in one pool.
	_maxQueue = 10_000
	// _holdMargin is added to the end of a hold, for the time that the grant
	// and the report of the end spend on the network.
	_holdMargin    = time.Second
	_defaultMaxRun = time.Hour
	_defaultWait   = time.Minute
)

// Broker assigns the slots of one pool and keeps its queue. The zero value
// has no hosts and no classes, and refuses everything. It isn't safe for
// concurrent use.
type Broker struct {
	term      uint64
	owner     Entry
	serial    uint64
	startedAt time.Time
	keys      *keys.Journal
	hosts     hosts
	classes   classes
	teams     map[string]*team
	// anyTeam is true if no teams are configured. Requests of any team are then
	// accepted and count as one team.
	anyTeam    bool
	requests   map[uint64]*request
	inProgress map[keys.Key]*request // queued, being journaled, or granted
	holds      holds
	unreported unreportedEntries
	demand     demand
	overload   overload
	retries    retries
	faults     faults
	recheckAt  time.Time
	ops        []Op
}

// SetKeyJournal sets the journal of started keys. Without a journal,
// non-idempotent requests with a key are refused.
func (b *Broker) SetKeyJournal(j *keys.Journal) {
	b.keys = j
}

// Term returns the term of the last takeover.
func (b *Broker) Term() uint64 {
	return b.term
}

// Ask handles the ask for one attempt of a request: it grants a slot, queues
// the request, refuses it, or repeats the outcome of an earlier run of its
// key.
func (b *Broker) Ask(now time.Time, a Ask) []Op {
	b.start(now)
	if r := b.requests[a.Request]; r != nil {
		return b.repeatGrant(r)
	}
	r, reason := b.accept(now, a)
	if reason != ReasonNone {
		b.refuse(now, r, reason)
		return b.flush()
	}
	if b.handleRepeat(now, r) {
		return b.flush()
	}
	b.demand.addArrival(now, r, b.hosts.slots())
	if reason := b.admit(now, r); reason != ReasonNone {
		b.refuse(now, r, reason)
		return b.flush()
	}
	b.enqueue(r)
	b.dispatch(now)
	return b.flush()
}

// repeatGrant handles a repeated ask. It emits the grant again if the request
// holds a slot.
func (b *Broker) repeatGrant(r *request) []Op {
	if r.hold != nil && r.stage == _held {
		b.emit(r.hold.grant())
	}
	return b.flush()
}

// Cancel removes a request from the queue. A request that was granted keeps
// its slot until Done.
func (b *Broker) Cancel(now time.Time, id uint64) []Op {
	b.start(now)
	r := b.requests[id]
	if r == nil {
		return nil
	}
	switch r.stage {
	case _queued:
		b.dequeue(now, r)
		b.dispatch(now)
	case _following:
		b.removeRequest(r)
	case _journaling:
		r.cancelled = true
	case _held:
	}
	return b.flush()
}

// Done ends the hold of a slot. After outcome Lost the slot stays taken until
// the hold expires. A slot number without a hold is ignored.
func (b *Broker) Done(now time.Time, slot uint64, res Result) []Op {
	b.start(now)
	h := b.holds.bySlot[slot]
	if h == nil {
		return nil
	}
	b.recordOutcome(now, h, res)
	b.handleLeaving(now, h, res)
	if res.Outcome == Lost {
		b.markLost(h)
	} else {
		b.release(h)
	}
	b.finishRequest(now, h, res)
	b.dispatch(now)
	return b.flush()
}

// handleLeaving ejects a host whose upstream asked for no further requests.
func (b *Broker) handleLeaving(now time.Time, h *hold, res Result) {
	if k := b.hosts.byName[h.Host]; k != nil && res.Leaving {
		b.hosts.ejectLeaving(now, k)
		b.refuseUnplaceable(now)
	}
}

// finishRequest removes the request of a hold that has ended, and readmits its
// followers, which are the requests that wait for the same key.
func (b *Broker) finishRequest(now time.Time, h *hold, res Result) {
	b.recordKeyOutcome(now, h, res)
	if r := h.request; r != nil {
		h.request = nil
		b.removeRequest(r)
	}
}

// SetHosts sets the pool's hosts. Holds on a host that is no longer listed
// still count until they end.
func (b *Broker) SetHosts(now time.Time, hs []Host) []Op {
	b.start(now)
	b.hosts.set(now, hs, b.holds.onHost)
	b.refuseUnplaceable(now)
	b.dispatch(now)
	return b.flush()
}

// SetLimits sets the configuration of classes, teams and services. Queued
// requests of a class that was removed are refused.
func (b *Broker) SetLimits(now time.Time, l Limits) []Op {
	b.start(now)
	b.hosts.minAvailable = l.MinAvailable
	b.hosts.restoreMinAvailable(now)
	b.setTeams(l.Teams)
	b.setClasses(now, l.Classes)
	b.demand.assumedBurst = b.assumedBurst(l.Services)
	b.dispatch(now)
	return b.flush()
}

// Tick expires holds, queued requests, failure records and ejections, and
// grants the slots that became free. Call it no later than the time that Next
// returns.
func (b *Broker) Tick(now time.Time) []Op {
	b.start(now)
	for _, h := range b.holds.expired(now) {
		b.release(h)
		b.finishRequest(now, h, Result{})
	}
	b.unreported.expire(now)
	b.expire(now)
	b.faults.expire(now)
	b.hosts.endEjections(now)
	b.dispatch(now)
	return b.flush()
}

// Next returns when Tick is due, or the zero time if nothing is scheduled.
func (b *Broker) Next() time.Time {
	var t time.Time
	for _, c := range b.classes.all {
		t = earliest(t, c.waiting.nextExpiry())
	}
	t = earliest(t, b.recheckAt)
	t = earliest(t, b.holds.next())
	t = earliest(t, b.hosts.next())
	return earliest(t, b.unreported.until)
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// start initialises the broker on its first call and records the time, from
// which the assumed burst decays.
func (b *Broker) start(now time.Time) {
	if !b.startedAt.IsZero() {
		return
	}
	b.startedAt = now
	b.requests = make(map[uint64]*request)
	b.inProgress = make(map[keys.Key]*request)
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

// newSlotID returns a new slot number. It differs from the numbers of other
// terms and processes, whose holds may not have been reported yet.
func (b *Broker) newSlotID() uint64 {
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
