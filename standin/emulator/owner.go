package emulator

import (
	"fmt"
	"net/http"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/entry/scheduler"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

const (
	_pool = "pool"
	// _appendTimeout bounds an owner's appends.
	_appendTimeout    = 900 * time.Millisecond
	_appendRetryDelay = 100 * time.Millisecond
	_topic            = "keyed.jobs"
)

// owner runs the scheduler of a pool for an entry and executes its operations.
type owner struct {
	entry *entry
	pool  string
	token int64
	sched *scheduler.Scheduler
	// ended is set if a later owner fenced this one off before it could load the records.
	ended bool
	// missed is how long the entry's steady clock had stood still at the last event.
	missed time.Duration
	// nextWake is when the scheduler is woken next; zero for never.
	nextWake time.Time
	// pastWakes counts consecutive wakes that the scheduler requested for a time in the
	// past.
	pastWakes int
	sequence  scheduler.AppendSequence
	// advising sets the time limits of calls for advice.
	advising scheduler.AdvicePacing
	// lastRef numbers the requests, waiting holds the callbacks of those without an answer.
	// batch are the events that the scheduler handles together with the next one.
	batch []scheduler.Event
	// deliverAt is when the last event of an upstream that waits is handled; later ones aren't before it.
	deliverAt time.Duration
	lastRef   scheduler.Ref
	waiting   map[scheduler.Ref]func(*link.Answer)
}

// _maxPastWakes is how many consecutive requests for a wake in the past are tolerated.
const _maxPastWakes = 20

// takeOwnership makes the entry the owner of a pool.
func takeOwnership(e *entry, pool string, token int64) {
	o := &owner{entry: e, pool: pool, token: token, missed: e.missed, waiting: make(map[scheduler.Ref]func(*link.Answer))}
	v := scheduler.Settings{
		Pool: pool, Token: token, MaxLease: _maxLease, StatusRetention: _statusRetention, RemoteFactor: 1, StopTimeout: _stopTime,
	}
	v.TrackHomes = e.world.rerouting != nil
	if e.world.settings.SmallRecords {
		v.RecordBytes, v.CallBytes = _smallRecord, _smallCall
	}
	o.sched = scheduler.New(v)
	e.owners[pool] = o
	o.confirm()
	o.configure()
	o.claim()
}

// _statusRetention is how long the state of ended jobs is kept.
const _statusRetention = 2 * time.Minute

func (o *owner) confirm() {
	p := &o.entry.partitions
	o.post(scheduler.OwnershipConfirmed{At: p.ConfirmedAt(), Generation: p.Generation()})
}

// isCurrent reports whether the entry still runs this owner.
func (o *owner) isCurrent() bool { return o.entry.owners[o.pool] == o }

// updateUpstreams passes the upstreams of the pool to the scheduler.
func (o *owner) updateUpstreams(all []platform.Upstream) {
	var l []platform.Upstream
	for _, u := range all {
		if u.Pool == o.pool {
			l = append(l, u)
		}
	}
	o.post(scheduler.Listed{Upstreams: l})
}

// post passes an event to the scheduler, after those that it waits for.
func (o *owner) post(ev scheduler.Event) {
	w := o.entry.world
	switch ev.(type) {
	case scheduler.Polled, scheduler.Ordered, scheduler.Listed, scheduler.Woken:
		if w.pressed() {
			o.deliverAt = max(o.deliverAt, w.now+w.settings.AnswerWait)
		}
		if o.deliverAt > w.now {
			o.entry.after(o.deliverAt-w.now, func() { o.handle(ev) })
			return
		}
	}
	o.handle(ev)
}

// Callers press on the owners for _pressTime, from _calmDrain after the last submission on.
const (
	_pressTime = 10 * time.Second
	_calmDrain = 25 * time.Second
)

// pressed reports whether callers ask for more than owners can answer.
func (w *World) pressed() bool {
	from := w.settings.SubmitPeriod + _calmDrain
	return w.settings.AnswerWait > 0 && w.now >= from && w.now < from+_pressTime
}

// handle passes an event to the scheduler, at once or in a batch.
func (o *owner) handle(ev scheduler.Event) {
	if !o.isCurrent() || o.ended {
		return
	}
	o.batch = append(o.batch, ev)
	if o.entry.world.settings.Batches && len(o.batch) < _maxBatch && o.entry.world.batches.IntN(2) == 0 {
		// The entry is busy, and gets to the event when others have come.
		if len(o.batch) == 1 {
			o.entry.after(time.Duration(o.entry.world.batches.IntN(_busyMs))*time.Millisecond, o.flush)
		}
		return
	}
	o.flush()
}

// In histories with batches, an event waits up to _busyMs milliseconds for others, of which up to
// _maxBatch are handled at once.
const (
	_maxBatch = 16
	_busyMs   = 20
)

// flush passes the batch to the scheduler, executes the operations that it returns and schedules its
// next wake.
func (o *owner) flush() {
	if !o.isCurrent() || o.ended || len(o.batch) == 0 {
		return
	}
	batch := o.batch
	o.batch = nil
	now := o.entry.time()
	if d := o.entry.missed - o.missed; d > 0 {
		o.missed = o.entry.missed
		o.step(now, scheduler.Suspended{For: d})
	}
	o.step(now, batch...)
	next := o.sched.Next(now)
	if next.IsZero() || next.Equal(o.nextWake) && o.nextWake.After(now) {
		return
	}
	if o.pastWakes++; !next.Before(now) {
		o.pastWakes = 0
	}
	if o.pastWakes > _maxPastWakes {
		o.entry.world.ledger.addViolation("WAKE", "scheduler of %s repeatedly requests a wake-up at %v, which is in the past", o.entry.name, next.Sub(_epoch))
	}
	o.nextWake = next
	o.entry.after(max(next.Sub(now), time.Millisecond), func() {
		if o.nextWake.Equal(next) && o.isCurrent() {
			o.nextWake = time.Time{}
			o.post(scheduler.Woken{})
		}
	})
}

func (o *owner) step(now time.Time, events ...scheduler.Event) {
	for _, op := range o.sched.Step(now, events...) {
		o.do(op)
	}
}

func (o *owner) do(op scheduler.Op) {
	switch op := op.(type) {
	case scheduler.Reply:
		if f := o.waiting[op.Ref]; f != nil {
			delete(o.waiting, op.Ref)
			f(op.Answer)
		}
	case scheduler.Append:
		o.append(op)
	case scheduler.Poll:
		o.poll(op)
	case scheduler.Start:
		o.sendOrder(op, op.Target, op.Timeout, func(u *upstream) error { return u.start(op.Target, op.Order, o.entry.name) })
	case scheduler.Stop:
		o.sendOrder(op, op.Target, op.Timeout, func(u *upstream) error { return u.stop(op.Target, op.Task, op.Run, op.Token) })
	case scheduler.Advise:
		o.advise(op)
	case scheduler.FindHomes:
		o.findHomes(op)
	case scheduler.RequestRelease:
		o.requestRelease(op)
	case scheduler.Note:
		if o.entry.world.trace != nil {
			o.entry.world.tracef("%s: %s %s %v", o.entry.name, op.What, op.Job, fmt.Sprint(op.Pairs...))
		}
	}
}

func (o *owner) poll(l scheduler.Poll) {
	sent := o.entry.time()
	call(o.entry, l.Target.Address, l.Timeout, func(answer func(platform.UpstreamStatus, error)) {
		u := o.entry.world.at(l.Target.Address)
		u.serve(false, func(answered bool) {
			u.hold(l.Target, l.Hold, func(a platform.UpstreamStatus, err error) {
				if answered {
					answer(a, err)
				}
			})
		})
	}, func(a platform.UpstreamStatus, err error) {
		o.post(scheduler.Polled{Host: l.Host, Concurrent: l.Concurrent, Wait: l.Hold.Wait, Sent: sent, Result: a, Err: err})
	})
}

// sendOrder sends an order to an upstream, which executes f, and posts the result.
func (o *owner) sendOrder(op scheduler.Op, t platform.Target, timeout time.Duration, f func(*upstream) error) {
	call(o.entry, t.Address, timeout, func(answer func(int64, error)) {
		u := o.entry.world.at(t.Address)
		u.serve(true, func(answered bool) {
			err := f(u)
			if answered {
				answer(u.clockMs(), err)
			}
		})
	}, func(ms int64, err error) {
		o.post(scheduler.Ordered{Op: op, ClockMs: ms, Err: err})
	})
}

// sendAppend sends an append to the store. If its answer gets lost, the store executes the
// append at once or up to _maxLate later, as after a delay in the network.
func (o *owner) sendAppend(records []platform.Record, done func(error)) {
	w, e := o.entry.world, o.entry
	a := serve.Append{
		Topic: _topic, Records: records,
		Producer: platform.Producer{Name: o.pool, Epoch: o.token, Sequence: o.sequence.Next()},
	}
	call(e, _store, _appendTimeout, func(answer func(serve.Refusal, error)) {
		if err := w.storeError(e.name); err != nil {
			answer(serve.Refusal{}, err)
			return
		}
		late := time.Duration(0)
		arrives := w.answerArrives()
		if !arrives && w.rand.IntN(2) == 0 {
			late = w.between(0, _maxLate)
		}
		w.after(late, func() {
			_, _, r := w.store.Append(a)
			if arrives {
				answer(r, nil)
			}
		})
	}, func(r serve.Refusal, err error) {
		if r.Status == http.StatusBadRequest {
			w.ledger.addViolation("SIZE", "an append of %s exceeds %s", o.pool, r.Reason)
		}
		if err == nil && r.Status != 0 {
			err = &platform.Error{Status: r.Status, Reason: r.Reason, Expected: r.Expected}
		}
		if o.isCurrent() {
			done(err)
		}
	})
}

// claim fences former owners off by an append under the new epoch, then loads their
// records.
func (o *owner) claim() {
	o.sendAppend(nil, func(err error) {
		switch {
		case err == nil || platform.Reason(err) == "seq":
			// A refusal of the sequence number means that the store has accepted the epoch, which
			// it checks first.
			o.load()
		case platform.Status(err) == http.StatusConflict:
			o.ended = true
		default:
			o.entry.after(_appendRetryDelay, o.claim)
		}
	})
}

func (o *owner) load() {
	w := o.entry.world
	var homes map[string]*work.Home
	call(o.entry, _store, 3*_appendTimeout, func(answer func([]platform.Record, error)) {
		if err := w.storeError(o.entry.name); err != nil {
			answer(nil, err)
			return
		}
		homes, _ = w.readHomes()
		l, _ := w.store.Newest(_topic, 0)
		answer(l, nil)
	}, func(l []platform.Record, err error) {
		if !o.isCurrent() {
			return
		}
		if err != nil {
			o.entry.after(_appendRetryDelay, o.load)
			return
		}
		d, err := scheduler.Decode(o.pool, l)
		if err != nil {
			w.ledger.addViolation("DECODE", "%v", err)
			return
		}
		d.Homes = homes
		o.post(d)
	})
}

// append appends a batch and repeats it until its outcome is known.
func (o *owner) append(a scheduler.Append) {
	o.sendAppend(a.Records, func(err error) {
		switch o.sequence.Answered(err) {
		case scheduler.AttemptDone:
			err = nil
		case scheduler.AttemptRenumbered:
			o.append(a)
			return
		case scheduler.AttemptRepeat:
			o.entry.after(_appendRetryDelay, func() {
				if o.isCurrent() {
					o.append(a)
				}
			})
			return
		case scheduler.AttemptRefused:
		}
		o.post(scheduler.Appended{Batch: a.Batch, Err: err})
	})
}

// submit passes a request of a caller or of the host planner to the scheduler.
func (o *owner) submit(event func(scheduler.Ref) scheduler.Event, answer func(*link.Answer)) {
	o.lastRef++
	r := o.lastRef
	o.waiting[r] = answer
	o.post(event(r))
}
