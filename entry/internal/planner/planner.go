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
	_ring      = 16
	_tick      = 500 * time.Millisecond
	_planEvery = 5 * time.Second
	// _listEvery and _listPlanning are the intervals between two readings of
	// the platform's list, where others plan and where this entry does.
	_listEvery    = 10 * time.Second
	_listPlanning = 2 * time.Second
	// _listGap is the time between two lists from which it is unknown what was
	// in between.
	_listGap          = 3 * _listEvery
	_appendLimit      = 30 * time.Second
	_settleLimit      = 3 * time.Second
	_settlePoll       = 10 * time.Millisecond
	_checkpointEvery  = 10 * time.Minute
	_checkpointBehind = 4096
)

// Planner observes the hosts, and plans while this entry owns planning. Its
// fields are set before Start.
type Planner struct {
	// Owner returns the term under which this process may plan; ok is false
	// while it must not.
	Owner func() (term uint64, ok bool)
	// State calls a function with the fleet's state.
	State func(func(*fleet.State))
	// Live returns the platform's list of hosts.
	ListHosts func(context.Context) ([]platform.LiveHost, error)
	// Append writes a record as it is, but for its id, and returns its offset.
	Append func(context.Context, *record.Record) (uint64, error)
	// Log receives what is worth noting; it may be nil.
	Log *log.Logger

	duty *duty.Duty[message]
	// send hands a message to the duty.
	send     func(message) error
	ctx      context.Context
	stop     context.CancelFunc
	observed plan.Observations
	busy     bool
	listing  bool
	listed   time.Time
	// hosts is the last list, and news whether it has changed since the last plan.
	hosts []platform.LiveHost
	news  bool
	// saved is when the last whole checkpoint, that of offset savedAt, was seen
	// first, by the planner or not; the first tick where there is none.
	saved   time.Time
	savedAt uint64
	// planned and plannedAt are when, and on which offset, the last plan was made.
	planned   time.Time
	plannedAt uint64
	owned     bool
}

// message is what the planner's duty receives.
type message interface{ isMessage() }

// tick comes at each interval.
type tick struct{}

// live is an answer of the platform's list; none where it failed.
type live struct{ hosts []platform.LiveHost }

// appended says that a plan's records are in the log, or were given up.
type appended struct{}

// explain asks for an explanation.
type explain struct {
	host  string
	reply chan<- plan.Explanation
}

func (tick) isMessage()     {}
func (live) isMessage()     {}
func (appended) isMessage() {}
func (explain) isMessage()  {}

// Start begins the duty.
func (p *Planner) Start(s *actor.ActorSystem) error {
	p.ctx, p.stop = context.WithCancel(context.Background())
	d, err := duty.Spawn(s, "planner", _ring, duty.Refuse, p.handle, duty.WithTick[message](_tick, tick{}))
	if err != nil {
		return fmt.Errorf("start planner: %w", err)
	}
	p.duty, p.send = d, d.Post
	return nil
}

// Stop ends the duty and what it has under way.
func (p *Planner) Stop() {
	p.stop()
	p.duty.Stop()
}

// Explain says why a host is where it is, and what would change that, as far
// as this entry has observed.
func (p *Planner) Explain(ctx context.Context, host string) (plan.Explanation, error) {
	c := make(chan plan.Explanation, 1)
	if err := p.send(explain{host: host, reply: c}); err != nil {
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
	case live:
		p.listing = false
		p.observe(now, m.hosts)
	case appended:
		p.busy = false
	case explain:
		p.State(func(s *fleet.State) {
			p.observed.UpdateState(s, now)
			m.reply <- plan.Explain(s, p.observed, m.host, now)
		})
	}
}

// observe takes a list in; an empty one says nothing.
func (p *Planner) observe(now time.Time, l []platform.LiveHost) {
	p.observed.ResetAfterGap(_listGap, now)
	p.observed.UpdateList(l, now)
	if len(l) > 0 && !slices.EqualFunc(l, p.hosts, sameHost) {
		p.hosts, p.news = l, true
	}
}

// sameHost reports whether a host is listed alike, whenever that was.
func sameHost(a, b platform.LiveHost) bool { return a.Name() == b.Name() && a.State() == b.State() }

// tick observes, and plans where this entry may. Every entry observes, so that
// one that begins to plan knows what came to pass under the last planner.
func (p *Planner) tick(now time.Time) {
	_, ok := p.Owner()
	p.owned = ok
	p.list(now)
	var l []*record.Record
	p.State(func(s *fleet.State) {
		p.observed.UpdateState(s, now)
		p.seeCheckpoint(now, s)
		if ok && !p.busy {
			l = p.plan(now, s)
		}
	})
	if len(l) == 0 {
		return
	}
	p.busy = true
	go p.append(l)
}

// plan returns the records that are due; none where nothing has changed but
// the time, and not much of it.
func (p *Planner) plan(now time.Time, s *fleet.State) []*record.Record {
	if s.Offset() == p.plannedAt && !p.news && now.Sub(p.planned) < _planEvery {
		return nil
	}
	p.planned, p.plannedAt, p.news = now, s.Offset(), false
	return append(plan.Plan(s, p.observed, now), p.checkpoint(now, s)...)
}

// list reads the platform's list, one call at a time.
func (p *Planner) list(now time.Time) {
	every := _listEvery
	if p.owned {
		every = _listPlanning
	}
	if p.listing || now.Sub(p.listed) < every {
		return
	}
	p.listing, p.listed = true, now
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, _appendLimit)
		defer cancel()
		l, err := p.ListHosts(ctx)
		if err != nil {
			p.warn("Live list can't be read.", err)
		}
		p.post(live{hosts: l})
	}()
}

// seeCheckpoint notes how old the last whole checkpoint is. Every entry does, so
// that a change of the planner doesn't put the next one off.
func (p *Planner) seeCheckpoint(now time.Time, s *fleet.State) {
	at, _ := s.LastCheckpoint()
	if at != p.savedAt || p.saved.IsZero() {
		p.saved, p.savedAt = now, at
	}
}

// checkpoint returns the chunks of the state where the last checkpoint is old
// by time or by records.
func (p *Planner) checkpoint(now time.Time, s *fleet.State) []*record.Record {
	at, _ := s.LastCheckpoint()
	behind := s.Offset() - at
	if behind < _checkpointBehind && (now.Sub(p.saved) < _checkpointEvery || behind == 0) {
		return nil
	}
	var l []*record.Record
	for _, c := range s.Checkpoint(fleet.MaxChunk) {
		l = append(l, &record.Record{AtUnixMs: now.UnixMilli(), Body: &record.Record_Checkpoint{Checkpoint: c}})
	}
	return l
}

// append writes a plan's records in order, and waits until they are applied
// here, so that the next plan begins where this one ended.
func (p *Planner) append(l []*record.Record) {
	defer p.post(appended{})
	ctx, cancel := context.WithTimeout(p.ctx, _appendLimit)
	defer cancel()
	var last uint64
	for _, r := range l {
		if _, ok := p.Owner(); !ok {
			return
		}
		o, err := p.Append(ctx, r)
		if err != nil {
			p.warn("Plan was cut short.", err)
			return
		}
		last = o
	}
	p.settle(ctx, last)
}

// settle waits until the state has reached an offset.
func (p *Planner) settle(ctx context.Context, offset uint64) {
	ctx, cancel := context.WithTimeout(ctx, _settleLimit)
	defer cancel()
	for ctx.Err() == nil {
		var at uint64
		p.State(func(s *fleet.State) { at = s.Offset() })
		if at >= offset {
			return
		}
		time.Sleep(_settlePoll)
	}
}

// post hands on what must not be lost; the duty waits for nobody.
func (p *Planner) post(m message) {
	for p.ctx.Err() == nil && p.send(m) != nil {
		time.Sleep(time.Millisecond)
	}
}

func (p *Planner) warn(what string, err error) {
	if p.Log != nil && p.ctx.Err() == nil {
		p.Log.Warn(what, "err", err)
	}
}
