package planner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/charmbracelet/log"

	"fescuelanding/entry/internal/duty"
	"fescuelanding/fleet"
	"fescuelanding/fleet/plan"
	"fescuelanding/fleet/platform"
	"fescuelanding/fleet/record"
)

const (
	_queueSize    = 16
	_tickInterval = 500 * time.Millisecond
	_planInterval = 5 * time.Second
	// _listInterval is the time between two reads of the platform's list on an
	// entry that doesn't plan, and _ownerListInterval on the one that does.
	_listInterval      = 10 * time.Second
	_ownerListInterval = 2 * time.Second
	// After a gap of more than _maxListGap between two lists, the times for which
	// hosts have been present or absent start again at zero, because a host may
	// have left and returned unnoticed in between.
	_maxListGap = 3 * _listInterval
	// _callTimeout limits a read of the list, and the append of one whole plan.
	_callTimeout = 30 * time.Second
	// _applyTimeout limits the wait for a plan's records to be applied locally.
	_applyTimeout      = 3 * time.Second
	_applyPollInterval = 10 * time.Millisecond
	// A checkpoint is due after _checkpointInterval if there are new records, and
	// in any case after _checkpointRecords new records.
	_checkpointInterval = 10 * time.Minute
	_checkpointRecords  = 4096
)

// Planner observes the hosts, and plans while this entry owns planning. Its
// exported fields are set before Start.
type Planner struct {
	// Owner returns the term under which this process may plan; ok is false
	// while it may not plan.
	Owner func() (term uint64, ok bool)
	// State calls the function with the fleet's state, which the function must
	// not retain or change.
	State func(func(*fleet.State))
	// ListHosts returns the platform's live list of hosts.
	ListHosts func(context.Context) ([]platform.LiveHost, error)
	// Append sets the id and the writer of a record, appends it and returns its
	// offset. It leaves the other fields as they are.
	Append func(context.Context, *record.Record) (uint64, error)
	// Log receives warnings; it may be nil.
	Log *log.Logger

	loop *duty.Duty[message]
	// send queues a message for the loop. It returns an error if the queue is
	// full or the loop has stopped.
	send      func(message) error
	ctx       context.Context
	stop      context.CancelFunc
	observed  plan.Observations
	appending bool
	listing   bool
	listedAt  time.Time
	// hosts is the last list; listChanged reports whether it has changed since
	// the last plan.
	hosts       []platform.LiveHost
	listChanged bool
	// checkpointSeen is when this entry first saw the last complete checkpoint,
	// and checkpointOffset the offset of that checkpoint's state. While the log
	// has no checkpoint, checkpointSeen is the time of the first tick.
	checkpointSeen   time.Time
	checkpointOffset uint64
	// plannedAt is the time of the last plan, and plannedOffset the offset of
	// the state that it was made from.
	plannedAt     time.Time
	plannedOffset uint64
	// isOwner reports whether this entry owned planning at the last tick.
	isOwner bool
}

// message is a message to the planner's loop.
type message interface{ isMessage() }

// tick is sent at each _tickInterval.
type tick struct{}

// listResult is the result of a read of the list. It has no hosts if the read
// failed.
type listResult struct{ hosts []platform.LiveHost }

// appendDone is sent when the append of a plan's records has ended, complete or
// not.
type appendDone struct{}

// explainRequest requests the explanation of a host.
type explainRequest struct {
	host  string
	reply chan<- plan.Explanation
}

func (tick) isMessage()           {}
func (listResult) isMessage()     {}
func (appendDone) isMessage()     {}
func (explainRequest) isMessage() {}

// Start starts the planner's loop in the actor system.
func (p *Planner) Start(s *actor.ActorSystem) error {
	p.ctx, p.stop = context.WithCancel(context.Background())
	d, err := duty.Spawn(s, "planner", _queueSize, duty.Refuse, p.handle, duty.WithTick[message](_tickInterval, tick{}))
	if err != nil {
		return fmt.Errorf("start planner: %w", err)
	}
	p.loop, p.send = d, d.Post
	return nil
}

// Stop stops the loop, and cancels the list reads and appends in progress.
func (p *Planner) Stop() {
	p.stop()
	p.loop.Stop()
}

// Explain returns the rule that keeps a host in its current state, and what would
// change that. It uses only the observations of this entry. It fails if the
// loop's queue is full, the loop has stopped or the context ends.
func (p *Planner) Explain(ctx context.Context, host string) (plan.Explanation, error) {
	c := make(chan plan.Explanation, 1)
	if err := p.send(explainRequest{host: host, reply: c}); err != nil {
		return plan.Explanation{}, fmt.Errorf("ask planner: %w", err)
	}
	select {
	case e := <-c:
		return e, nil
	case <-ctx.Done():
		return plan.Explanation{}, fmt.Errorf("wait for planner: %w", ctx.Err())
	}
}

func (p *Planner) handle(now time.Time, m message) {
	switch m := m.(type) {
	case tick:
		p.tick(now)
	case listResult:
		p.listing = false
		p.observe(now, m.hosts)
	case appendDone:
		p.appending = false
	case explainRequest:
		p.State(func(s *fleet.State) {
			p.observed.UpdateState(s, now)
			m.reply <- plan.Explain(s, p.observed, m.host, now)
		})
	}
}

// observe records a list of hosts. If the last list is older than _maxListGap, it
// first resets the times for which hosts have been present or absent. An empty
// list, as after a failed read, is not recorded.
func (p *Planner) observe(now time.Time, l []platform.LiveHost) {
	p.observed.ResetAfterGap(_maxListGap, now)
	p.observed.UpdateList(l, now)
	if len(l) > 0 && !slices.EqualFunc(l, p.hosts, sameHost) {
		p.hosts, p.listChanged = l, true
	}
}

// sameHost reports whether two list items have the same name and state. Their
// times are not compared.
func sameHost(a, b platform.LiveHost) bool { return a.Name() == b.Name() && a.State() == b.State() }

// tick observes the hosts, and plans if this entry owns planning. Every entry
// observes, so that an entry that takes over planning has seen what happened
// before.
func (p *Planner) tick(now time.Time) {
	_, ok := p.Owner()
	p.isOwner = ok
	p.list(now)
	var l []*record.Record
	p.State(func(s *fleet.State) {
		p.observed.UpdateState(s, now)
		p.trackCheckpoint(now, s)
		if ok && !p.appending {
			l = p.dueRecords(now, s)
		}
	})
	if len(l) == 0 {
		return
	}
	p.appending = true
	go p.appendPlan(l)
}

// dueRecords returns the records of a new plan, with a checkpoint if one is due. It
// returns none if neither the state nor the list has changed and the last plan is
// younger than _planInterval.
func (p *Planner) dueRecords(now time.Time, s *fleet.State) []*record.Record {
	if s.Offset() == p.plannedOffset && !p.listChanged && now.Sub(p.plannedAt) < _planInterval {
		return nil
	}
	p.plannedAt, p.plannedOffset, p.listChanged = now, s.Offset(), false
	return append(plan.Plan(s, p.observed, now), p.checkpoint(now, s)...)
}

// list starts a read of the platform's list if one is due and none is in progress.
func (p *Planner) list(now time.Time) {
	interval := _listInterval
	if p.isOwner {
		interval = _ownerListInterval
	}
	if p.listing || now.Sub(p.listedAt) < interval {
		return
	}
	p.listing, p.listedAt = true, now
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, _callTimeout)
		defer cancel()
		l, err := p.ListHosts(ctx)
		if err != nil {
			p.warn("Reading the platform's live list failed; changes of hosts are not seen until a read succeeds.", err)
		}
		p.post(listResult{hosts: l})
	}()
}

// trackCheckpoint records when the last complete checkpoint was first seen. Every
// entry does so, so that the next checkpoint isn't delayed when another entry takes
// over planning.
func (p *Planner) trackCheckpoint(now time.Time, s *fleet.State) {
	offset, _ := s.LastCheckpoint()
	if offset != p.checkpointOffset || p.checkpointSeen.IsZero() {
		p.checkpointSeen, p.checkpointOffset = now, offset
	}
}

// checkpoint returns the records of a new checkpoint if one is due: see
// _checkpointInterval and _checkpointRecords.
func (p *Planner) checkpoint(now time.Time, s *fleet.State) []*record.Record {
	offset, _ := s.LastCheckpoint()
	behind := s.Offset() - offset
	if behind < _checkpointRecords && (now.Sub(p.checkpointSeen) < _checkpointInterval || behind == 0) {
		return nil
	}
	var l []*record.Record
	for _, c := range s.Checkpoint(fleet.MaxChunk) {
		l = append(l, &record.Record{AtUnixMs: now.UnixMilli(), Body: &record.Record_Checkpoint{Checkpoint: c}})
	}
	return l
}

// appendPlan appends a plan's records in order, as long as this entry owns planning.
// It then waits up to _applyTimeout until they are applied locally, so that the
// next plan is normally made from a state that includes them.
func (p *Planner) appendPlan(l []*record.Record) {
	defer p.post(appendDone{})
	ctx, cancel := context.WithTimeout(p.ctx, _callTimeout)
	defer cancel()
	var last uint64
	for _, r := range l {
		if _, ok := p.Owner(); !ok {
			return
		}
		o, err := p.Append(ctx, r)
		if err != nil {
			p.warn("Appending a record of the plan failed; the next plan will propose the missing records again.", err)
			return
		}
		last = o
	}
	p.waitApplied(ctx, last)
}

// waitApplied waits until the local state has reached an offset. It returns after
// _applyTimeout even if the state hasn't.
func (p *Planner) waitApplied(ctx context.Context, offset uint64) {
	ctx, cancel := context.WithTimeout(ctx, _applyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		var at uint64
		p.State(func(s *fleet.State) { at = s.Offset() })
		if at >= offset {
			return
		}
		time.Sleep(_applyPollInterval)
	}
}

// post sends a message that must not be lost: it retries while the queue is full,
// until the planner stops. This can't deadlock, since the loop never waits for a
// sender.
func (p *Planner) post(m message) {
	for p.ctx.Err() == nil && p.send(m) != nil {
		time.Sleep(time.Millisecond)
	}
}

func (p *Planner) warn(message string, err error) {
	if p.Log != nil && p.ctx.Err() == nil {
		p.Log.Warn(message, "err", err)
	}
}
