package broker

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// stage is where a request is between its ask and its end.
type stage int

const (
	_queued stage = iota
	_journaling
	_joined
	_held
)

// request is an ask that hasn't ended.
type request struct {
	Ask
	class   *class
	team    *team
	asked   time.Time
	startBy time.Time
	cost    time.Duration
	stage   stage
	hold    *hold
	// followers are asks with the same key that wait for this one's end.
	followers []*request
	lane      *lane
	laneIndex int
	lineIndex int
	cancelled bool
}

func (r *request) retry() bool {
	return r.Attempt > 1
}

// journaled reports whether the request's key must be journaled.
func (r *request) journaled() bool {
	return !r.Key.IsZero() && !r.Idempotent
}

// spread returns a share between 0 and 1 that depends on the request only.
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

// accept turns an ask into a request, or says why it can't run at all.
func (b *Broker) accept(now time.Time, a Ask) (*request, Reason) {
	r := &request{Ask: a, asked: now}
	r.class = b.classes.byName[a.Class]
	r.team = b.team(a.Team)
	switch {
	case r.class == nil:
		return r, UnknownClass
	case r.team == nil:
		return r, UnknownTeam
	case b.faults.fatal(a.Request):
		return r, FailsEverywhere
	case b.hosts.serving() == 0:
		return r, NoHost
	case b.hosts.allTried(a.Exclude):
		return r, TriedAll
	}
	r.cost = r.class.runs.expect(a.Service)
	r.startBy = r.latestStart()
	return r, ReasonNone
}

// latestStart returns when a request must have its slot to be answered in
// time.
func (r *request) latestStart() time.Time {
	d := r.class.Deadline
	if d == 0 {
		d = _defaultWait
	}
	if r.Deadline.IsZero() {
		r.Deadline = r.asked.Add(d)
	}
	t := r.Deadline.Add(-r.cost)
	if w := r.class.StartWithin; w > 0 {
		t = earliest(t, r.asked.Add(w))
	}
	return t
}

// enqueue puts an admitted request into its class's queue.
func (b *Broker) enqueue(r *request) {
	b.requests[r.Request] = r
	if r.journaled() {
		b.running[r.Key] = r
	}
	r.stage = _queued
	r.class.push(r)
}

// leave takes a queued request out for good. The next request with its key
// takes its place.
func (b *Broker) leave(now time.Time, r *request) {
	r.class.remove(r)
	b.forget(r)
	b.promote(now, r)
}

// forget drops a request that has ended.
func (b *Broker) forget(r *request) {
	delete(b.requests, r.Request)
	if b.running[r.Key] == r {
		delete(b.running, r.Key)
	}
	r.cancelled = true
}

// refuse ends a request that doesn't run.
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

// expire refuses the queued requests whose time to start has passed.
func (b *Broker) expire(now time.Time) {
	for _, c := range b.classes.all {
		for len(c.line) > 0 && c.line[0].startBy.Before(now) {
			r := c.line[0]
			b.leave(now, r)
			b.refuse(now, r, Expired)
		}
	}
}

// refuseUnplaceable refuses what waits once no host serves any more.
func (b *Broker) refuseUnplaceable(now time.Time) {
	if b.hosts.serving() > 0 {
		return
	}
	for _, c := range b.classes.all {
		b.refuseAll(now, c, NoHost)
	}
}

func (b *Broker) refuseAll(now time.Time, c *class, reason Reason) {
	for len(c.line) > 0 {
		r := c.line[0]
		b.leave(now, r)
		b.refuse(now, r, reason)
	}
}
