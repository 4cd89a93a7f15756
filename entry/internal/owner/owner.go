// Package owner runs the scheduler of a pool: it carries out its ops and feeds
// their results back as events, in turn, on one duty.
package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"fescuelanding/entry/internal/duty"
	"fescuelanding/entry/internal/journal"
	"fescuelanding/entry/internal/logging"
	"fescuelanding/entry/link"
	"fescuelanding/entry/scheduler"
	"fescuelanding/platform"
)

const (
	// _ring bounds the events that wait for the scheduler.
	_ring = 8192
	// _orderTimeout is when an order is taken to be unanswered: answers take
	// milliseconds, and a lost packet is sent again within a quarter second.
	_orderTimeout = 500 * time.Millisecond
	// _lookSlack is what a look may take beyond its wait.
	_lookSlack = 600 * time.Millisecond
	// _adviceTimeout covers the service's decision about a pool, and those
	// before it in its turn.
	_adviceTimeout = 1500 * time.Millisecond
)

// Peers are what an owner speaks to.
type Clients struct {
	Store     *platform.Store
	Upstreams *platform.Upstreams
	// Adviser is nil where there is none.
	Adviser *platform.Adviser
}

// Owner runs one pool.
type Owner struct {
	pool   string
	token  int64
	peers  Clients
	log    *logging.Log
	ctx    context.Context
	cancel context.CancelFunc
	duty   *duty.Duty[scheduler.Event]
	sched  *scheduler.Scheduler
	// appends has room for the one batch that is under way.
	appends chan scheduler.Append
	timer   *time.Timer
	wakeAt  time.Time

	mu      sync.Mutex
	last    scheduler.Ref
	waiting map[scheduler.Ref]chan *link.Answer
	ended   bool
}

// Start gains a pool: it shuts former owners out and begins to schedule.
func Start(sys *actor.ActorSystem, set scheduler.Settings, parts int, p Clients, g *logging.Log) (*Owner, error) {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		pool: set.Pool, token: set.Token, peers: p, log: g, ctx: ctx, cancel: cancel,
		sched: scheduler.New(set), appends: make(chan scheduler.Append, 1),
		waiting: make(map[scheduler.Ref]chan *link.Answer),
	}
	name := fmt.Sprintf("owner.%s.%d", set.Pool, set.Token)
	d, err := duty.Spawn(sys, name, _ring, duty.Refuse, o.step)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start owner: %w", err)
	}
	o.duty = d
	o.timer = time.AfterFunc(time.Hour, func() { o.Post(scheduler.Woken{}) })
	go o.keep(journal.New(p.Store, set.Pool, set.Token, parts))
	return o, nil
}

// Stop ends scheduling. Callers that still wait are told that the outcome is
// unknown.
func (o *Owner) Stop() {
	o.mu.Lock()
	ended := o.ended
	o.ended = true
	o.mu.Unlock()
	if ended {
		return
	}
	o.cancel()
	o.timer.Stop()
	go o.duty.Stop()
	o.mu.Lock()
	defer o.mu.Unlock()
	for r, w := range o.waiting {
		w <- &link.Answer{Outcome: link.Outcome_OUTCOME_UNKNOWN}
		delete(o.waiting, r)
	}
}

// Post hands an event to the scheduler.
func (o *Owner) Post(e scheduler.Event) {
	if err := o.duty.Post(e); err != nil && !errors.Is(err, duty.ErrStopped) {
		o.log.Warn("Event was dropped.", "pool", o.pool, "event", fmt.Sprintf("%T", e), "err", err)
	}
}

// Ask has the scheduler answer a call.
func (o *Owner) Call(ctx context.Context, q *link.Call) *link.Answer {
	w := make(chan *link.Answer, 1)
	o.mu.Lock()
	if o.ended {
		o.mu.Unlock()
		return &link.Answer{Outcome: link.Outcome_OUTCOME_NOT_OWNER}
	}
	o.last++
	r := o.last
	o.waiting[r] = w
	o.mu.Unlock()
	e := event(r, q)
	if e == nil {
		o.forget(r)
		return &link.Answer{Outcome: link.Outcome_OUTCOME_UNAVAILABLE}
	}
	if err := o.duty.Post(e); err != nil {
		o.forget(r)
		return &link.Answer{Outcome: link.Outcome_OUTCOME_UNAVAILABLE, RetryAfterMs: 1000}
	}
	select {
	case a := <-w:
		return a
	case <-ctx.Done():
		o.forget(r)
		return &link.Answer{Outcome: link.Outcome_OUTCOME_UNKNOWN}
	}
}

func (o *Owner) forget(r scheduler.Ref) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiting, r)
}

// event decodes a call.
func event(r scheduler.Ref, q *link.Call) scheduler.Event {
	switch b := q.GetBody().(type) {
	case *link.Call_Submit:
		return scheduler.Submitted{Ref: r, Job: b.Submit.GetJob()}
	case *link.Call_State:
		return scheduler.StateRequested{Ref: r, ID: b.State.GetId()}
	case *link.Call_Cancel:
		return scheduler.CancelRequested{Ref: r, ID: b.Cancel.GetId()}
	case *link.Call_Pending:
		return scheduler.PendingRequested{Ref: r, Queue: b.Pending.GetQueue()}
	case *link.Call_Load:
		return scheduler.LoadRequested{
			Ref: r, Token: b.Load.GetToken(), Sequence: b.Load.GetSequence(), Arrivals: b.Load.GetArrivals(),
			Vacate: b.Load.GetVacate(), Due: b.Load.GetDue(), Gone: b.Load.GetGone(),
		}
	}
	return nil
}

// step runs on the duty.
func (o *Owner) step(now time.Time, e scheduler.Event) {
	for _, op := range o.sched.Step(now, e) {
		o.do(op)
	}
	if o.sched.Lost() {
		o.cancel()
		return
	}
	next := o.sched.Next(now)
	if next.IsZero() || next.Equal(o.wakeAt) && o.wakeAt.After(now) {
		return
	}
	o.wakeAt = next
	o.timer.Reset(max(next.Sub(now), time.Millisecond))
}

// Token returns the token under which the pool is owned.
func (o *Owner) Token() int64 { return o.token }

// Lost reports whether a later owner shut this one out.
func (o *Owner) Ended() bool { return o.ctx.Err() != nil }

// do carries out an op. What takes time ends in another event.
func (o *Owner) do(op scheduler.Op) {
	switch op := op.(type) {
	case scheduler.Reply:
		o.answer(op)
	case scheduler.Append:
		o.appends <- op
	case scheduler.Poll:
		go o.look(op, time.Now())
	case scheduler.Start:
		go o.start(op)
	case scheduler.Stop:
		go o.stop(op)
	case scheduler.Pace:
		go o.pace(op)
	case scheduler.Advise:
		go o.advise(op)
	case scheduler.Note:
		o.log.Note(o.pool, op)
	}
}

func (o *Owner) answer(r scheduler.Reply) {
	o.mu.Lock()
	w := o.waiting[r.Ref]
	delete(o.waiting, r.Ref)
	o.mu.Unlock()
	if w != nil {
		w <- r.Answer
	}
}

// keep loads the journal and then appends to it, batch by batch.
func (o *Owner) keep(j *journal.Journal) {
	if err := j.Claim(o.ctx); err != nil {
		o.log.Warn("Pool was not gained.", "pool", o.pool, "err", err)
		o.cancel()
		return
	}
	l, err := j.Load(o.ctx)
	if err != nil {
		o.log.Warn("Journal was not loaded.", "pool", o.pool, "err", err)
		o.cancel()
		return
	}
	o.Post(l)
	for {
		select {
		case <-o.ctx.Done():
			return
		case a := <-o.appends:
			err := j.Append(o.ctx, a.Records)
			if err != nil {
				o.log.Warn("Batch was not appended.", "pool", o.pool, "batch", a.Batch, "err", err)
			}
			o.Post(scheduler.Appended{Batch: a.Batch, Err: err})
		}
	}
}

func (o *Owner) look(l scheduler.Poll, sent time.Time) {
	ctx, cancel := context.WithTimeout(o.ctx, l.Hold.Wait+_lookSlack)
	defer cancel()
	a, err := o.peers.Upstreams.Hold(ctx, l.Target, l.Hold)
	o.Post(scheduler.Polled{Host: l.Host, Concurrent: l.Concurrent, Sent: sent, Result: a, Err: err})
}

func (o *Owner) start(s scheduler.Start) {
	ctx, cancel := context.WithTimeout(o.ctx, _orderTimeout)
	defer cancel()
	ms, err := o.peers.Upstreams.Start(ctx, s.Target, s.Order)
	o.Post(scheduler.Ordered{Op: s, ClockMs: ms, Err: err})
}

func (o *Owner) stop(s scheduler.Stop) {
	ctx, cancel := context.WithTimeout(o.ctx, _orderTimeout)
	defer cancel()
	err := o.peers.Upstreams.Stop(ctx, s.Target, s.Task, s.Run, s.Token)
	o.Post(scheduler.Ordered{Op: s, Err: err})
}

func (o *Owner) pace(p scheduler.Pace) {
	ctx, cancel := context.WithTimeout(o.ctx, _orderTimeout)
	defer cancel()
	err := o.peers.Upstreams.Pace(ctx, p.Target, p.Task, p.Run, p.Token, p.Percent)
	o.Post(scheduler.Ordered{Op: p, Err: err})
}

func (o *Owner) advise(a scheduler.Advise) {
	if o.peers.Adviser == nil {
		o.Post(scheduler.Advised{Step: a.Step, Err: errors.New("no advice service is set")})
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, _adviceTimeout)
	defer cancel()
	t, err := o.peers.Adviser.Advise(ctx, a.Step, a.Hosts)
	o.Post(scheduler.Advised{Step: a.Step, Tickets: t, Hosts: a.Hosts, Err: err})
}
