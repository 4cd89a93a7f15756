package owner

import (
	"context"
	"time"

	"fescuelanding/entry/internal/journal"
	"fescuelanding/entry/link"
	"fescuelanding/entry/scheduler"
	"fescuelanding/platform"
)

// findHomes runs once at a time for an owner: the scheduler asks again only after the answer. While the store is
// away, it repeats the read for as long as the owner runs. What it writes may be older than the
// configuration by then, but a record of a later version stays.
func (o *Owner) findHomes(f scheduler.FindHomes) {
	h := journal.Homes{Store: o.clients.Store}
	m, err := h.Find(o.ctx, o.pool, f)
	if err != nil {
		return // The owner has ended.
	}
	o.deliver(scheduler.HomesFound{Homes: m})
}

// _releaseTimeout limits a request for a release. The owner of the other pool may have to be found first.
const _releaseTimeout = 2 * time.Second

// requestRelease runs once at a time for each former pool. The request is at most _releaseTimeout old when it is
// sent. One that arrives later still holds: it says what a version of the configuration has, and an owner with a
// later one that has the route refuses it.
func (o *Owner) requestRelease(r scheduler.RequestRelease) {
	ctx, cancel := context.WithTimeout(o.ctx, _releaseTimeout)
	defer cancel()
	a := o.clients.CallOwner(ctx, &link.Call{Pool: r.Pool, Body: &link.Call_Release{Release: &link.Release{
		Routes: r.Routes, Queues: r.Queues, Version: r.Version, After: r.After,
	}}})
	o.deliver(scheduler.PoolReleased{Pool: r.Pool, Answer: a})
}

// pollHost extends the leases on an upstream and reads its state, with a long poll of up
// to l.Hold.Wait.
func (o *Owner) pollHost(l scheduler.Poll, sent time.Time) {
	v := platform.Sending{Permit: l.Permit, Timeout: l.Timeout}
	a, err := o.clients.Upstreams.Hold(o.ctx, v, l.Target, l.Hold)
	o.deliver(scheduler.Polled{Host: l.Host, Concurrent: l.Concurrent, Wait: l.Hold.Wait, Sent: sent, Result: a, Err: err})
}

func (o *Owner) start(s scheduler.Start) {
	ms, err := o.clients.Upstreams.Start(o.ctx, platform.Sending{Permit: s.Permit, Timeout: s.Timeout}, s.Target, s.Order)
	o.deliver(scheduler.Ordered{Op: s, ClockMs: ms, Err: err})
}

func (o *Owner) stop(s scheduler.Stop) {
	v := platform.Sending{Permit: s.Permit, Timeout: s.Timeout}
	err := o.clients.Upstreams.Stop(o.ctx, v, s.Target, s.Task, s.Run, s.Token)
	o.deliver(scheduler.Ordered{Op: s, Err: err})
}

func (o *Owner) pace(p scheduler.Pace) {
	v := platform.Sending{Permit: p.Permit, Timeout: p.Timeout}
	err := o.clients.Upstreams.Pace(o.ctx, v, p.Target, p.Task, p.Run, p.Token, p.Percent)
	o.deliver(scheduler.Ordered{Op: p, Err: err})
}

// advise runs at most twice at a time for an owner. A call that waits for its turn may name upstreams that have gone
// since; it orders nothing, and a verdict on a former incarnation isn't used.
func (o *Owner) advise(a scheduler.Advise) {
	t, err := o.clients.Adviser.Advise(o.ctx, a)
	o.deliver(scheduler.Advised{Step: a.Step, Tickets: t, Hosts: a.Hosts, Err: err})
}
