// Package owner runs the scheduler of a pool. It executes the operations that the
// scheduler returns and passes their results back as events. All events of a pool are
// processed one at a time on one actor.
//
//	o, err := owner.Start(system, settings, partitions, clients, log)
//	o.Post(scheduler.Configured{Queues: queues})
//	answer := o.Call(ctx, call)
//	o.Stop()
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
	"fescuelanding/fleet/permit"
	"fescuelanding/fleet/wait"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

const (
	// _maxEvents is the capacity of the scheduler's event queue.
	_maxEvents = 8192
	// _patience is how long events of upstreams wait until they take turns with urgent ones.
	_patience = 500 * time.Millisecond
	// _fullRetryDelay is the pause before a result is queued again.
	_fullRetryDelay = 5 * time.Millisecond
)

// Clients are the services that an owner calls.
type Clients struct {
	Store     *platform.Store
	Upstreams *platform.Upstreams
	Adviser   *Adviser
	// CallOwner sends a call to the owner of its pool, until ctx ends.
	CallOwner func(ctx context.Context, q *link.Call) *link.Answer
}

// Owner runs the scheduler of one pool. It is safe for concurrent use.
type Owner struct {
	pool  string
	token int64
	// tracksHomes is set if the scheduler does.
	tracksHomes bool
	clients     Clients
	log         *logging.Log
	ctx         context.Context
	cancel      context.CancelFunc
	// duty is the actor that runs step. Only step uses sched, batch, steppedAt and wakeAt.
	duty  *duty.Duty[scheduler.Event]
	sched *scheduler.Scheduler
	// batch are the events that the scheduler handles next.
	batch []scheduler.Event
	// steppedAt is the time of the last event.
	steppedAt time.Time
	// workers runs the calls to upstreams.
	workers workers
	load    *load
	// appends has capacity for the one batch that may be in progress.
	appends chan scheduler.Append
	// timer posts scheduler.Woken at wakeAt, when the scheduler must run next.
	timer  *time.Timer
	wakeAt time.Time

	mu      sync.Mutex
	lastRef scheduler.Ref
	pending map[scheduler.Ref]chan *link.Answer
	stopped bool
}

// Start starts the owner of a pool. In the background it fences off former owners and
// loads the journal, and schedules from then on. parts is the number of partitions of
// the journal's topic.
func Start(sys *actor.ActorSystem, set scheduler.Settings, parts int, p Clients, g *logging.Log) (*Owner, error) {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		pool: set.Pool, token: set.Token, tracksHomes: set.TrackHomes, clients: p, log: g, ctx: ctx, cancel: cancel,
		sched: scheduler.New(set), appends: make(chan scheduler.Append, 1),
		pending: make(map[scheduler.Ref]chan *link.Answer), load: newLoad(set.Pool),
	}
	name := fmt.Sprintf("owner.%s.%d", set.Pool, set.Token)
	d, err := duty.Spawn(sys, name, _maxEvents, duty.Refuse, o.step, duty.WithUrgent(_patience, isUrgent))
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start owner: %w", err)
	}
	o.duty = d
	// The hour is a placeholder: the first step sets the timer to the time at which the
	// scheduler must run next.
	o.timer = time.AfterFunc(time.Hour, func() { o.Post(scheduler.Woken{}) })
	go o.runJournal(journal.New(p.Store, set.Pool, set.Token, parts))
	return o, nil
}

// isUrgent reports whether an event comes before those of upstreams, of which there are
// thousands per second in a turn: callers and the planner wait for an answer, without the
// store's confirmation the owner may not order, and a policy's tickets are valid for a short time.
// Leases are renewed only after the answers of upstreams, so these wait no longer than _patience for that.
func isUrgent(e scheduler.Event) bool {
	switch e.(type) {
	case scheduler.Polled, scheduler.Ordered, scheduler.Listed, scheduler.Woken:
		return false
	}
	return true
}

// Stop ends scheduling. Pending calls return OUTCOME_UNKNOWN. It may be called more
// than once.
func (o *Owner) Stop() {
	o.mu.Lock()
	stopped := o.stopped
	o.stopped = true
	o.mu.Unlock()
	if stopped {
		return
	}
	o.cancel()
	o.timer.Stop()
	o.workers.close()
	go o.duty.Stop()
	o.mu.Lock()
	defer o.mu.Unlock()
	for r, w := range o.pending {
		w <- &link.Answer{Outcome: link.Outcome_OUTCOME_UNKNOWN}
		delete(o.pending, r)
	}
}

// Post queues an event for the scheduler. It does not block; if the queue is full, the
// event is dropped and logged.
func (o *Owner) Post(e scheduler.Event) {
	if err := o.duty.Post(e); err != nil && !errors.Is(err, duty.ErrStopped) {
		o.log.Warn("Scheduler event was dropped.", "pool", o.pool, "event", fmt.Sprintf("%T", e), "err", err)
	}
}

// deliver queues the result of an operation. While the queue is full, it waits: the scheduler neither
// repeats an operation whose result is missing nor gives it up.
func (o *Owner) deliver(e scheduler.Event) {
	for errors.Is(o.duty.Post(e), duty.ErrFull) {
		if !wait.For(o.ctx, _fullRetryDelay) {
			return
		}
	}
}

// Call passes a call to the scheduler and waits for its answer. It returns
// OUTCOME_NOT_OWNER after Stop, OUTCOME_UNAVAILABLE if the call is of unknown kind, and
// OUTCOME_UNKNOWN if the event queue is full or ctx ends first: a job that the call submits
// may have been accepted by an earlier call.
func (o *Owner) Call(ctx context.Context, q *link.Call) *link.Answer {
	w := make(chan *link.Answer, 1)
	o.mu.Lock()
	if o.stopped {
		o.mu.Unlock()
		return &link.Answer{Outcome: link.Outcome_OUTCOME_NOT_OWNER}
	}
	o.lastRef++
	r := o.lastRef
	o.pending[r] = w
	o.mu.Unlock()
	e := decodeCall(time.Now(), r, q)
	if e == nil {
		o.dropPending(r)
		return &link.Answer{Outcome: link.Outcome_OUTCOME_UNAVAILABLE}
	}
	if err := o.duty.Post(e); err != nil {
		o.dropPending(r)
		return &link.Answer{Outcome: link.Outcome_OUTCOME_UNKNOWN}
	}
	select {
	case a := <-w:
		return a
	case <-ctx.Done():
		o.dropPending(r)
		return &link.Answer{Outcome: link.Outcome_OUTCOME_UNKNOWN}
	}
}

func (o *Owner) dropPending(r scheduler.Ref) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.pending, r)
}

// decodeCall returns the event for a call, and nil if its kind is unknown or its job can't be
// executed.
func decodeCall(now time.Time, r scheduler.Ref, q *link.Call) scheduler.Event {
	switch b := q.GetBody().(type) {
	case *link.Call_Submit:
		if scheduler.CheckJob(b.Submit.GetJob()) != nil {
			return nil
		}
		e := scheduler.Submitted{Ref: r, Job: b.Submit.GetJob(), Version: b.Submit.GetVersion()}
		if ms := b.Submit.GetBudgetMs(); ms > 0 {
			e.AnswerBy = now.Add(time.Duration(ms) * time.Millisecond)
		}
		return e
	case *link.Call_State:
		return scheduler.StateRequested{Ref: r, ID: b.State.GetId(), Workspace: b.State.GetWorkspace()}
	case *link.Call_Cancel:
		return scheduler.CancelRequested{
			Ref: r, ID: b.Cancel.GetId(), Workspace: b.Cancel.GetWorkspace(), InAdvance: b.Cancel.GetInAdvance(),
		}
	case *link.Call_Release:
		return scheduler.ReleaseRequested{
			Ref: r, Routes: b.Release.GetRoutes(), Queues: b.Release.GetQueues(), Version: b.Release.GetVersion(), After: b.Release.GetAfter(),
		}
	case *link.Call_Pending:
		return scheduler.PendingRequested{Ref: r, Queue: b.Pending.GetQueue()}
	case *link.Call_Load:
		return scheduler.LoadRequested{
			Ref: r, Token: b.Load.GetToken(), Sequence: b.Load.GetSequence(), Arrivals: b.Load.GetArrivals(),
			Ahead:  time.Duration(b.Load.GetAheadMs()) * time.Millisecond,
			Vacate: b.Load.GetVacate(), Evict: b.Load.GetEvict(), Reclaimable: b.Load.GetReclaimable(), Due: b.Load.GetDue(), Gone: b.Load.GetGone(), Shares: b.Load.GetShares(),
			SharesOwner: b.Load.GetSharesOwner(), SharesReport: b.Load.GetSharesReport(),
		}
	}
	return nil
}

// _maxBatch is the number of events that the scheduler handles at once while more are waiting.
const _maxBatch = 16

// step processes an event; it runs on the actor. Events that are waiting are handled together, so that
// the work that is due after them is looked for once.
func (o *Owner) step(now time.Time, e scheduler.Event) {
	o.batch = append(o.batch, e)
	waiting := o.duty.Waiting()
	if len(o.batch) < _maxBatch && waiting > 0 {
		return
	}
	waited := o.duty.Waited(now)
	o.load.handled(o.batch, waiting, waited)
	if o.load.overloaded(now, waited) {
		o.log.Warn("Owner can't keep up; events of upstreams and urgent ones take turns.", "pool", o.pool, "waiting", waiting,
			"waitedMs", waited.Milliseconds())
	}
	if d := permit.Suspended(o.steppedAt, now); !o.steppedAt.IsZero() && d > _minSuspension {
		o.log.Warn("Process was suspended, or its time of day was set forward.", "pool", o.pool, "forMs", d.Milliseconds())
		o.run(now, scheduler.Suspended{For: d})
	}
	o.steppedAt = now
	o.run(now, o.batch...)
	clear(o.batch)
	o.batch = o.batch[:0]
	if o.sched.Lost() {
		// Another owner has fenced this one off.
		o.cancel()
		return
	}
	next := o.sched.Next(now)
	if next.IsZero() || next.Equal(o.wakeAt) && o.wakeAt.After(now) {
		return // The scheduler has nothing to do later, or the timer is already set to next.
	}
	o.wakeAt = next
	o.timer.Reset(max(next.Sub(now), time.Millisecond))
}

// _minSuspension is the time from which a difference between the clocks counts as a
// suspension. Below, it may be due to the wall clock's slewing.
const _minSuspension = 50 * time.Millisecond

// run passes events to the scheduler and executes the operations that it returns.
func (o *Owner) run(now time.Time, events ...scheduler.Event) {
	for _, op := range o.sched.Step(now, events...) {
		o.execute(op)
	}
}

// Token returns the fencing token under which the pool is owned.
func (o *Owner) Token() int64 { return o.token }

// Ended reports whether the owner has ended: by Stop, because a later owner fenced it
// off, or because its journal could not be claimed or loaded.
func (o *Owner) Ended() bool { return o.ctx.Err() != nil }

// execute executes an operation. Slow ones run in the background and post an event
// with their result.
func (o *Owner) execute(op scheduler.Op) {
	o.load.ordered(op)
	switch op := op.(type) {
	case scheduler.Reply:
		o.reply(op)
	case scheduler.Append:
		o.appends <- op
	case scheduler.Poll:
		now := time.Now()
		o.workers.run(func() { o.pollHost(op, now) })
	case scheduler.Start:
		o.workers.run(func() { o.start(op) })
	case scheduler.Stop:
		o.workers.run(func() { o.stop(op) })
	case scheduler.Pace:
		o.workers.run(func() { o.pace(op) })
	case scheduler.Advise:
		go o.advise(op)
	case scheduler.FindHomes:
		go o.findHomes(op)
	case scheduler.RequestRelease:
		go o.requestRelease(op)
	case scheduler.Count:
		countJob(o.pool, op)
	case scheduler.CountCrash:
		countCrash(o.pool, op)
	case scheduler.CountGivenUp:
		countGivenUp(o.pool, op)
	case scheduler.CountStop:
		countStop(o.pool, op)
	case scheduler.Note:
		o.log.Note(o.pool, op)
	}
}

func (o *Owner) reply(r scheduler.Reply) {
	o.mu.Lock()
	w := o.pending[r.Ref]
	delete(o.pending, r.Ref)
	o.mu.Unlock()
	if w != nil {
		w <- r.Answer
	}
}

// runJournal claims and loads the journal, and then appends batches to it.
func (o *Owner) runJournal(j *journal.Journal) {
	if err := j.Claim(o.ctx); err != nil {
		o.log.Warn("Journal was not claimed; this owner of the pool stops.", "pool", o.pool, "err", err)
		o.cancel()
		return
	}
	l, err := o.loadJournal(j)
	if err != nil {
		o.log.Warn("Journal was not loaded; this owner of the pool stops.", "pool", o.pool, "err", err)
		o.cancel()
		return
	}
	o.deliver(l)
	for {
		select {
		case <-o.ctx.Done():
			return
		case a := <-o.appends:
			took, err := j.Append(o.ctx, a.Records)
			if err != nil {
				o.log.Warn("Append of a batch to the journal failed; its submissions are not accepted.", "pool", o.pool, "batch", a.Batch, "err", err)
			}
			o.deliver(scheduler.Appended{Batch: a.Batch, Took: took, Err: err})
		}
	}
}

// loadJournal reads the journal, and the homes of the routes beside it.
func (o *Owner) loadJournal(j *journal.Journal) (scheduler.Loaded, error) {
	var homes map[string]*work.Home
	var err error
	var read sync.WaitGroup
	if o.tracksHomes {
		read.Go(func() {
			h := journal.Homes{Store: o.clients.Store}
			homes, err = h.Read(o.ctx)
		})
	}
	l, e := j.Load(o.ctx)
	read.Wait()
	l.Homes = homes
	if err := errors.Join(e, err); err != nil {
		return l, fmt.Errorf("load: %w", err)
	}
	return l, nil
}
