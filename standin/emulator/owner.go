package emulator

import (
	"fmt"
	"net/http"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/entry/scheduler"
	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

const (
	_pool = "pool"
	// _orderTimeout, _lookSlack and _appendTimeout are an owner's.
	_orderTimeout  = 500 * time.Millisecond
	_lookSlack     = 600 * time.Millisecond
	_appendTimeout = 900 * time.Millisecond
	_appendPause   = 100 * time.Millisecond
	_topic         = "keyed.jobs"
)

// owner runs a scheduler for an entry.
type owner struct {
	entry *entry
	token int64
	sched *scheduler.Scheduler
	// ended is set when the pool could not be gained.
	ended bool
	wake  time.Time
	// early counts the wakes in a row that were asked for at a time that was past.
	early   int
	numbers scheduler.AppendSequence
	last    scheduler.Ref
	waiting map[scheduler.Ref]func(*link.Answer)
}

// _maxEarly is how many such wakes in a row are no harm.
const _maxEarly = 20

// gain has the entry own the pool.
func gain(e *entry, token int64) {
	o := &owner{entry: e, token: token, waiting: make(map[scheduler.Ref]func(*link.Answer))}
	o.sched = scheduler.New(scheduler.Settings{
		Pool: _pool, Token: token, MaxLease: _holdMax, StatusRetention: _status, RemoteFactor: 1, StopTimeout: _stopTime,
	})
	e.owner = o
	o.confirm()
	o.post(scheduler.Configured{Queues: []platform.Queue{e.world.queue}})
	o.claim()
}

// _status is how long ended jobs are known.
const _status = 2 * time.Minute

func (o *owner) confirm() { o.post(scheduler.OwnershipConfirmed{At: o.entry.shares.ConfirmedAt()}) }

func (o *owner) list(l []platform.Upstream) { o.post(scheduler.Listed{Upstreams: l}) }

// post hands an event to the scheduler and carries out what it wants.
func (o *owner) post(ev scheduler.Event) {
	if o.entry.owner != o || o.ended {
		return
	}
	now := o.entry.time()
	for _, op := range o.sched.Step(now, ev) {
		o.do(op)
	}
	next := o.sched.Next(now)
	if next.IsZero() || next.Equal(o.wake) && o.wake.After(now) {
		return
	}
	if o.early++; !next.Before(now) {
		o.early = 0
	}
	if o.early > _maxEarly {
		o.entry.world.ledger.broken("WAKE", "%s wants to be woken at %v, again and again", o.entry.name, next.Sub(_epoch))
	}
	o.wake = next
	o.entry.after(max(next.Sub(now), time.Millisecond), func() {
		if o.wake.Equal(next) && o.entry.owner == o {
			o.wake = time.Time{}
			o.post(scheduler.Woken{})
		}
	})
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
		o.look(op)
	case scheduler.Start:
		o.order(op, op.Target, func(u *upstream) error { return u.start(op.Target, op.Order, o.entry.name) })
	case scheduler.Stop:
		o.order(op, op.Target, func(u *upstream) error { return u.stop(op.Target, op.Task, op.Run, op.Token) })
	case scheduler.Note:
		if o.entry.world.trace != nil {
			o.entry.world.say("%s: %s %s %v", o.entry.name, op.What, op.Job, fmt.Sprint(op.Pairs...))
		}
	}
}

func (o *owner) look(l scheduler.Poll) {
	sent := o.entry.time()
	call(o.entry, l.Target.Address, l.Hold.Wait+_lookSlack, func(answer func(platform.UpstreamStatus, error)) {
		u := o.entry.world.at(l.Target.Address)
		u.serve(false, func(answered bool) {
			u.hold(l.Target, l.Hold, func(a platform.UpstreamStatus, err error) {
				if answered {
					answer(a, err)
				}
			})
		})
	}, func(a platform.UpstreamStatus, err error) {
		o.post(scheduler.Polled{Host: l.Host, Concurrent: l.Concurrent, Sent: sent, Result: a, Err: err})
	})
}

func (o *owner) order(op scheduler.Op, t platform.Target, f func(*upstream) error) {
	call(o.entry, t.Address, _orderTimeout, func(answer func(int64, error)) {
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

// tell sends an append to the store; it may be carried out without an answer, and
// then also late.
func (o *owner) tell(records []platform.Record, done func(error)) {
	w, e := o.entry.world, o.entry
	a := serve.Append{
		Topic: _topic, Records: records,
		Producer: platform.Producer{Name: _pool, Epoch: o.token, Sequence: o.numbers.Next()},
	}
	call(e, _store, _appendTimeout, func(answer func(serve.Refusal, error)) {
		if err := w.refusal(e.name); err != nil {
			answer(serve.Refusal{}, err)
			return
		}
		late := time.Duration(0)
		keep := w.keepsAnswer()
		if !keep && w.rand.IntN(2) == 0 {
			late = w.between(0, _maxLate)
		}
		w.after(late, func() {
			_, _, r := w.store.Append(a)
			if keep {
				answer(r, nil)
			}
		})
	}, func(r serve.Refusal, err error) {
		if err == nil && r.Status != 0 {
			err = &platform.Error{Status: r.Status, Reason: r.Reason, Expected: r.Expected}
		}
		if e.owner == o {
			done(err)
		}
	})
}

// claim shuts former owners out and loads what they appended.
func (o *owner) claim() {
	o.tell(nil, func(err error) {
		switch {
		case err == nil || platform.Reason(err) == "seq":
			o.load()
		case platform.Status(err) == http.StatusConflict:
			o.ended = true
		default:
			o.entry.after(_appendPause, o.claim)
		}
	})
}

func (o *owner) load() {
	w := o.entry.world
	call(o.entry, _store, 3*_appendTimeout, func(answer func([]platform.Record, error)) {
		if err := w.refusal(o.entry.name); err != nil {
			answer(nil, err)
			return
		}
		l, _ := w.store.Newest(_topic, 0)
		answer(l, nil)
	}, func(l []platform.Record, err error) {
		if o.entry.owner != o {
			return
		}
		if err != nil {
			o.entry.after(_appendPause, o.load)
			return
		}
		d, err := scheduler.Decode(_pool, l)
		if err != nil {
			w.ledger.broken("DECODE", "%v", err)
			return
		}
		o.post(d)
	})
}

// append adds a batch, until its outcome is known.
func (o *owner) append(a scheduler.Append) {
	o.tell(a.Records, func(err error) {
		switch o.numbers.Answered(err) {
		case scheduler.AttemptDone:
			err = nil
		case scheduler.AttemptRenumbered:
			o.append(a)
			return
		case scheduler.AttemptRepeat:
			o.entry.after(_appendPause, func() {
				if o.entry.owner == o {
					o.append(a)
				}
			})
			return
		case scheduler.AttemptRefused:
		}
		o.post(scheduler.Appended{Batch: a.Batch, Err: err})
	})
}

// ask puts a question of a caller or of the host planner.
func (o *owner) ask(event func(scheduler.Ref) scheduler.Event, answer func(*link.Answer)) {
	o.last++
	r := o.last
	o.waiting[r] = answer
	o.post(event(r))
}
