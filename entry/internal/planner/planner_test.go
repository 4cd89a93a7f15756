package planner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/entry/internal/viewtest"
	"fescuelanding/fleet"
	"fescuelanding/fleet/plan"
	"fescuelanding/fleet/platform"
	"fescuelanding/fleet/record"
)

const (
	_limit = 5 * time.Second
	_soon  = 30 * time.Millisecond
)

var (
	_start    = time.Unix(1_000_000, 0)
	errFailed = errors.New("failed")
)

// rig is a planner whose log is the state itself and whose list is given.
type rig struct {
	planner Planner
	owns    atomic.Bool
	mail    chan message

	mu       sync.Mutex
	fleet    viewtest.Fleet
	appended []*record.Record
	fault    error
	now      time.Time
	listed   int
	hosts    []string
	leaving  string
}

// newRig returns a planner that owns nothing, with hosts h1 and h2 listed.
func newRig(t *testing.T) *rig {
	r := &rig{mail: make(chan message, 1), now: _start, hosts: []string{"h1", "h2"}}
	r.fleet.Configure(t, viewtest.Small)
	r.fleet.Register(t, "e1", 1)
	r.planner = Planner{
		Owner: func() (uint64, bool) { return 1, r.owns.Load() },
		State: func(f func(*fleet.State)) {
			r.mu.Lock()
			defer r.mu.Unlock()
			f(r.fleet.State())
		},
		ListHosts: r.live,
		Append: func(_ context.Context, m *record.Record) (uint64, error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.fault != nil {
				return 0, r.fault
			}
			r.appended = append(r.appended, m)
			return r.fleet.Apply(t, m), nil
		},
		send: func(m message) error { r.mail <- m; return nil },
	}
	r.planner.ctx, r.planner.stop = context.WithCancel(t.Context())
	return r
}

func (r *rig) live(context.Context) ([]platform.LiveHost, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed++
	if r.fault != nil {
		return nil, r.fault
	}
	var l []platform.LiveHost
	for _, n := range r.hosts {
		state := platform.HostLive
		if n == r.leaving {
			state = platform.HostLeaving
		}
		l = append(l, platform.NewLiveHost(n, state, r.now))
	}
	return l, nil
}

// tick lets time pass, and all that comes of it be done.
func (r *rig) tick(t *testing.T, d time.Duration) {
	t.Helper()
	r.mu.Lock()
	r.now = r.now.Add(d)
	r.mu.Unlock()
	r.planner.handle(r.now, tick{})
	r.settle(t)
}

func (r *rig) receive(t *testing.T) message {
	t.Helper()
	select {
	case m := <-r.mail:
		return m
	case <-time.After(_limit):
		t.Fatal("no message came")
		return nil
	}
}

// takeDown takes h2 out for maintenance.
func (r *rig) takeDown(t *testing.T) {
	o := r.fleet.Apply(t, &record.Record{Body: &record.Record_HostDrain{
		HostDrain: &record.HostDrain{Host: "h2", Cause: record.Cause_CAUSE_MAINTENANCE},
	}})
	r.fleet.Apply(t, &record.Record{Writer: "e1", Body: &record.Record_Confirm{Confirm: &record.Confirm{
		Entry: "e1", Incarnation: 1, Steps: []*record.StepRef{{Host: "h2", Offset: o}},
	}}})
	r.fleet.Apply(t, &record.Record{Body: &record.Record_HostDown{HostDown: &record.HostDown{Host: "h2"}}})
}

// served returns how many hosts were returned to duty.
func (r *rig) served() int {
	n := 0
	for _, m := range r.appended {
		if m.GetHostServe() != nil {
			n++
		}
	}
	return n
}

// TestNextPlannerKnowsWhatCameToPass has a host leave and come back while others
// plan. Who has not seen it takes the host for one that never left.
func TestNextPlannerKnowsWhatCameToPass(t *testing.T) {
	r := newRig(t)
	r.tick(t, time.Second)
	r.takeDown(t)
	r.hosts = []string{"h1"}
	r.tick(t, _listEvery)
	r.hosts = []string{"h1", "h2"}
	r.tick(t, _listEvery)
	assert.Equal(t, len(r.appended), 0, "it planned what it doesn't own")
	r.owns.Store(true)
	r.tick(t, time.Second)
	assert.Equal(t, r.served(), 1)
}

// TestGapBetweenListsProvesNothing has the lists fail for an hour, before and
// after which a host is off the list: it may have been back in between.
func TestGapBetweenListsProvesNothing(t *testing.T) {
	r := newRig(t)
	r.tick(t, time.Second)
	r.hosts = []string{"h1"}
	r.tick(t, _listEvery)
	r.fault = errFailed
	r.tick(t, time.Hour)
	r.fault = nil
	r.tick(t, _listEvery)
	assert.Equal(t, r.rule("h2"), plan.RuleLag)
	for range r.fleet.State().Config().Fleet().LiveListLag()/_listEvery + 1 {
		r.tick(t, _listEvery)
	}
	assert.Assert(t, r.rule("h2") != plan.RuleLag)
}

// rule returns what holds a host back.
func (r *rig) rule(host string) plan.Rule {
	c := make(chan plan.Explanation, 1)
	r.planner.handle(r.now, explain{host: host, reply: c})
	e := <-c
	return e.Rule()
}

func TestListIntervals(t *testing.T) {
	const planning = _listEvery / _listPlanning
	r := newRig(t)
	for _, c := range []struct {
		owns bool
		want int
	}{{false, 1}, {true, int(planning)}, {false, 1}} {
		r.owns.Store(c.owns)
		before := r.listed
		for range _listEvery / _tick {
			r.tick(t, _tick)
		}
		assert.Equal(t, r.listed-before, c.want)
	}
	r.planner.listing = true
	r.planner.handle(r.now.Add(time.Hour), tick{})
	r.silent(t, "two lists were asked for at once")
}

func TestAppendKeepsOrderAndEndsWithOwnership(t *testing.T) {
	for _, c := range []struct {
		name       string
		owns       int // records for which it owns planning
		fails      int // record that can't be appended
		want       int
		wantOffset uint64
	}{
		{name: "whole", owns: 3, fails: 3, want: 3},
		{name: "ownership goes", owns: 2, fails: 3, want: 2},
		{name: "append fails", owns: 3, fails: 1, want: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			l := []*record.Record{{Basis: 1}, {Basis: 2}, {Basis: 3}}
			asked := 0
			r.planner.Owner = func() (uint64, bool) { asked++; return 1, asked <= c.owns }
			var got []uint64
			r.planner.Append = func(_ context.Context, m *record.Record) (uint64, error) {
				if len(got) == c.fails {
					return 0, errFailed
				}
				got = append(got, m.GetBasis())
				return 1, nil
			}
			r.planner.append(l)
			assert.Equal(t, r.receive(t), message(appended{}))
			assert.DeepEqual(t, got, []uint64{1, 2, 3}[:c.want])
		})
	}
}

// TestPlansAtOnceForNews has nothing change but the time, then the list.
func TestPlansAtOnceForNews(t *testing.T) {
	r := newRig(t)
	r.owns.Store(true)
	plans := func() time.Time { return r.planner.planned }
	for r.tick(t, time.Second); r.planner.plannedAt != r.fleet.State().Offset(); {
		r.tick(t, time.Second)
	}
	first := plans()
	r.tick(t, _listPlanning)
	r.tick(t, _planEvery-_listPlanning-1)
	assert.Equal(t, plans(), first, "it planned for nothing")
	r.tick(t, 1)
	assert.Assert(t, plans().After(first), "it did not plan though time passed")

	for _, change := range []func(){
		func() { r.hosts = []string{"h1", "h2", "h3"} },
		func() { r.leaving = "h3" },
	} {
		r.tick(t, _listPlanning)
		change()
		l, err := r.planner.ListHosts(t.Context())
		assert.NilError(t, err)
		r.planner.observe(r.now, l)
		first = plans()
		r.planner.handle(r.now.Add(_tick), tick{})
		assert.Assert(t, plans().After(first), "it did not plan though the list has changed")
		r.settle(t)
	}
}

// settle has all be done that is under way.
func (r *rig) settle(t *testing.T) {
	t.Helper()
	for r.planner.listing || r.planner.busy {
		r.planner.handle(r.now, r.receive(t))
	}
}

// silent checks that nothing comes of what is under way.
func (r *rig) silent(t *testing.T, otherwise string) {
	t.Helper()
	select {
	case <-r.mail:
		t.Fatal(otherwise)
	case <-time.After(_soon):
	}
}

// TestNextPlanWaitsForTheLast has the own state lag behind what was appended,
// while another plan would be due.
func TestNextPlanWaitsForTheLast(t *testing.T) {
	r := newRig(t)
	r.owns.Store(true)
	r.tick(t, time.Second)
	var offset atomic.Uint64
	offset.Store(r.fleet.State().Offset() + 1)
	r.planner.Append = func(context.Context, *record.Record) (uint64, error) { return offset.Load(), nil }
	r.planner.busy, r.planner.listing = true, true
	go r.planner.append([]*record.Record{{}})
	r.silent(t, "the plan ended before its records were applied")

	offset.Store(1)
	r.planner.handle(r.now.Add(2*_checkpointEvery), tick{})
	r.silent(t, "two plans were under way")
	r.planner.State(func(*fleet.State) { r.fleet.Register(t, "e2", 1) })
	assert.Equal(t, r.receive(t), message(appended{}))
}

// checkpoints returns how many chunks were appended.
func (r *rig) checkpoints() int {
	n := 0
	for _, m := range r.appended {
		if m.GetCheckpoint() != nil {
			n++
		}
	}
	return n
}

func TestCheckpointByTime(t *testing.T) {
	r := newRig(t)
	r.tick(t, 2*_checkpointEvery)
	r.owns.Store(true)
	r.tick(t, time.Second)
	r.tick(t, _checkpointEvery-_planEvery)
	assert.Equal(t, r.checkpoints(), 0)
	r.tick(t, _planEvery)
	assert.Equal(t, r.checkpoints(), 1)
	r.tick(t, _checkpointEvery-_planEvery)
	assert.Equal(t, r.checkpoints(), 1)
}

// TestCheckpointAfterChange lets the planner change when a checkpoint is due.
func TestCheckpointAfterChange(t *testing.T) {
	r := newRig(t)
	r.tick(t, time.Second)
	r.tick(t, _checkpointEvery)
	assert.Equal(t, r.checkpoints(), 0)
	r.owns.Store(true)
	r.tick(t, time.Second)
	assert.Equal(t, r.checkpoints(), 1)
}

// TestCheckpointAfterOutage lets the append of a checkpoint fail: the next plan
// writes it, not the one of the next interval.
func TestCheckpointAfterOutage(t *testing.T) {
	r := newRig(t)
	r.owns.Store(true)
	r.tick(t, time.Second)
	r.fault = platform.ErrUnavailable
	r.tick(t, _checkpointEvery)
	assert.Equal(t, r.checkpoints(), 0)
	r.fault = nil
	r.tick(t, _planEvery)
	assert.Equal(t, r.checkpoints(), 1)
	r.tick(t, _checkpointEvery-_planEvery)
	assert.Equal(t, r.checkpoints(), 1)
}

func TestCheckpointByCount(t *testing.T) {
	r := newRig(t)
	r.owns.Store(true)
	r.tick(t, time.Second)
	for n := r.fleet.State().Offset(); n < _checkpointBehind-1; n++ {
		r.fleet.Register(t, "e1", n)
	}
	r.tick(t, time.Second)
	assert.Equal(t, r.checkpoints(), 0)
	for r.fleet.State().Offset() < _checkpointBehind {
		r.fleet.Register(t, "e1", r.fleet.State().Offset()+1)
	}
	r.tick(t, time.Second)
	assert.Equal(t, r.checkpoints(), 1)
	r.tick(t, time.Second)
	assert.Equal(t, r.checkpoints(), 1)
}

func TestExplain(t *testing.T) {
	r := newRig(t)
	r.tick(t, time.Second)
	r.takeDown(t)
	r.hosts = []string{"h1"}
	r.tick(t, _listEvery)
	go func() { r.planner.handle(r.now, <-r.mail) }()
	e, err := r.planner.Explain(t.Context(), "h2")
	assert.NilError(t, err)
	assert.Equal(t, e.Host(), "h2")
	assert.Equal(t, e.Duty(), fleet.Down)
	assert.Equal(t, e.Rule(), plan.RuleAway)

	ctx, cancel := context.WithTimeout(t.Context(), _soon)
	defer cancel()
	_, err = r.planner.Explain(ctx, "h2")
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	r.planner.send = func(message) error { return errFailed }
	_, err = r.planner.Explain(t.Context(), "h2")
	assert.ErrorIs(t, err, errFailed)
}
