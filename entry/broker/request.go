package broker

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// stage is the state of a request between its ask and its end.
type stage int

const (
	// _queued requests wait for a slot.
	_queued stage = iota
	// _journaling requests have a reserved slot while their key is journaled.
	_journaling
	// _following requests wait for the end of another request with their key.
	_following
	// _held requests were granted a slot.
	_held
)

// request is an ask that hasn't ended.
type request struct {
	Ask
	class   *class
	team    *team
	askedAt time.Time
	// startBy is the start deadline: a request that hasn't started by then is
	// refused.
	startBy time.Time
	// cost is the expected run time.
	cost  time.Duration
	stage stage
	hold  *hold
	// followers are requests with the same key that wait for the end of this
	// one.
	followers  []*request
	lane       *lane
	laneIndex  int
	classIndex int
	cancelled  bool
}

func (r *request) retry() bool {
	return r.Attempt > 1
}

// needsJournal reports whether the key must be journaled before the request
// may run.
func (r *request) needsJournal() bool {
	return !r.Key.IsZero() && !r.Idempotent
}

// spread returns a pseudo-random value from 0 to 1 that depends only on the
// request.
func (r *request) spread() float64 {
	var p [8]byte
	binary.LittleEndian.PutUint64(p[:], r.Request)
	const bits = 53
	return float64(xxhash.Sum64(p[:])>>(64-bits)) / (1 << bits)
}

func writeUint64(d *xxhash.Digest, v uint64) {
	var p [8]byte
	binary.LittleEndian.PutUint64(p[:], v)
	_, _ = d.Write(p[:])
}

// accept creates a request from an ask, or returns the reason why it can't
// run at all.
func (b *Broker) accept(now time.Time, a Ask) (*request, Reason) {
	r := &request{Ask: a, askedAt: now}
	r.class = b.classes.byName[a.Class]
	r.team = b.team(a.Team)
	switch {
	case r.class == nil:
		return r, UnknownClass
	case r.team == nil:
		return r, UnknownTeam
	case b.faults.failedEverywhere(a.Request):
		return r, FailsEverywhere
	case b.hosts.serving() == 0:
		return r, NoHost
	case b.hosts.allTried(a.Exclude):
		return r, TriedAll
	}
	r.cost = r.class.runTimes.expect(a.Service)
	r.startBy = r.startDeadline()
	return r, ReasonNone
}

// startDeadline returns the latest time to start the request: it must still
// finish in time, and the class may limit the wait for a slot.
func (r *request) startDeadline() time.Time {
	d := r.class.Deadline
	if d == 0 {
		d = _defaultWait
	}
	if r.Deadline.IsZero() {
		r.Deadline = r.askedAt.Add(d)
	}
	t := r.Deadline.Add(-r.cost)
	if w := r.class.StartWithin; w > 0 {
		t = earliest(t, r.askedAt.Add(w))
	}
	return t
}

// enqueue adds an admitted request to the queue of its class.
func (b *Broker) enqueue(r *request) {
	b.requests[r.Request] = r
	if r.needsJournal() {
		b.inProgress[r.Key] = r
	}
	r.stage = _queued
	r.class.push(r)
}

// dequeue removes a queued request that will not run, and readmits its
// followers.
func (b *Broker) dequeue(now time.Time, r *request) {
	r.class.remove(r)
	b.removeRequest(r)
	b.readmitFollowers(now, r)
}

// removeRequest removes a request that has ended.
func (b *Broker) removeRequest(r *request) {
	delete(b.requests, r.Request)
	if b.inProgress[r.Key] == r {
		delete(b.inProgress, r.Key)
	}
	r.cancelled = true
}

// refuse emits the refusal of a request.
func (b *Broker) refuse(now time.Time, r *request, reason Reason) {
	o := Refuse{Request: r.Request, Entry: r.Entry, Reason: reason}
	switch reason {
	case UnknownClass, UnknownTeam, FailsEverywhere:
		o.Permanent = true
	case NoHost:
		o.Permanent = b.hosts.empty()
		o.RetryAfter = b.retryAfter(now, r)
	case TriedAll:
	case Overload, QueueFull, Displaced, Expired:
		b.overload.refused(now, r.cost)
		o.RetryAfter = b.retryAfter(now, r)
	default:
		o.RetryAfter = b.retryAfter(now, r)
	}
	if o.Permanent {
		o.RetryAfter = 0
	}
	b.emit(o)
}

// expire refuses the queued requests whose start deadline has passed.
func (b *Broker) expire(now time.Time) {
	for _, c := range b.classes.all {
		for len(c.waiting) > 0 && c.waiting[0].startBy.Before(now) {
			r := c.waiting[0]
			b.dequeue(now, r)
			b.refuse(now, r, Expired)
		}
	}
}

// refuseUnplaceable refuses all queued requests if no host serves.
func (b *Broker) refuseUnplaceable(now time.Time) {
	if b.hosts.serving() > 0 {
		return
	}
	for _, c := range b.classes.all {
		b.refuseAll(now, c, NoHost)
	}
}

func (b *Broker) refuseAll(now time.Time, c *class, reason Reason) {
	for len(c.waiting) > 0 {
		r := c.waiting[0]
		b.dequeue(now, r)
		b.refuse(now, r, reason)
	}
}
