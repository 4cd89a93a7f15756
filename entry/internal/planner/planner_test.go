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
	_timeout   = 5 * time.Second
	_shortWait = 30 * time.Millisecond
)

var (
	_start    = time.Unix(1_000_000, 0)
	errFailed = errors.New("failed")
)

// testPlanner is a planner for tests. Its Append applies records to the state directly,
// and its list is set by the test.
type testPlanner struct {
	planner  Planner
	owns     atomic.Bool
	messages chan message

	mu        sync.Mutex
	fleet     viewtest.Fleet
	appended  []*record.Record
	err       error
	now       time.Time
	listCalls int
	hosts     []string
	leaving   string
}

// newTestPlanner returns a planner that owns nothing, with hosts h1 and h2 listed.
func newTestPlanner(t *testing.T) *testPlanner {
	p := &testPlanner{messages: make(chan message, 1), now: _start, hosts: []string{"h1", "h2"}}
	p.fleet.Configure(t, viewtest.Small)
	p.fleet.Register(t, "e1", 1)
	p.planner = Planner{
		Owner: func() (uint64, bool) { return 1, p.owns.Load() },
		State: func(f func(*fleet.State)) {
			p.mu.Lock()
			defer p.mu.Unlock()
			f(p.fleet.State())
		},
		ListHosts: p.listHosts,
		Append: func(_ context.Context, m *record.Record) (uint64, error) {
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.err != nil {
				return 0, p.err
			}
			p.appended = append(p.appended, m)
			return p.fleet.Apply(t, m), nil
		},
		send: func(m message) error { p.messages <- m; return nil },
	}
	p.planner.ctx, p.planner.stop = context.WithCancel(t.Context())
	return p
}

func (p *testPlanner) listHosts(context.Context) ([]platform.LiveHost, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listCalls++
	if p.err != nil {
		return nil, p.err
	}
	var l []platform.LiveHost
	for _, n := range p.hosts {
		state := platform.HostLive
		if n == p.leaving {
			state = platform.HostLeaving
		}
		l = append(l, platform.NewLiveHost(n, state, p.now))
	}
	return l, nil
}

// tick advances the time and sends a tick, and waits until the reads and appends
// that it started have ended.
func (p *testPlanner) tick(t *testing.T, d time.Duration) {
	t.Helper()
	p.mu.Lock()
	p.now = p.now.Add(d)
	p.mu.Unlock()
	p.planner.handle(p.now, tick{})
	p.drain(t)
}

func (p *testPlanner) receive(t *testing.T) message {
	t.Helper()
	select {
	case m := <-p.messages:
		return m
	case <-time.After(_timeout):
		t.Fatal("no message arrived")
		return nil
	}
}

// takeH2Down drains h2 for maintenance and takes it down.
func (p *testPlanner) takeH2Down(t *testing.T) {
	o := p.fleet.Apply(t, &record.Record{Body: &record.Record_HostDrain{
		HostDrain: &record.HostDrain{Host: "h2", Cause: record.Cause_CAUSE_MAINTENANCE},
	}})
	p.fleet.Apply(t, &record.Record{Writer: "e1", Body: &record.Record_Confirm{Confirm: &record.Confirm{
		Entry: "e1", Incarnation: 1, Steps: []*record.StepRef{{Host: "h2", Offset: o}},
	}}})
	p.fleet.Apply(t, &record.Record{Body: &record.Record_HostDown{HostDown: &record.HostDown{Host: "h2"}}})
}

// countServed returns how many HostServe records were appended.
func (p *testPlanner) countServed() int {
	n := 0
	for _, m := range p.appended {
		if m.GetHostServe() != nil {
			n++
		}
	}
	return n
}

// TestNewPlannerHasObservedHosts has a host leave and return while another entry
// plans. An entry that has not observed this before it takes over planning assumes
// that the host never left, and doesn't return it to service.
func TestNewPlannerHasObservedHosts(t *testing.T) {
	p := newTestPlanner(t)
	p.tick(t, time.Second)
	p.takeH2Down(t)
	p.hosts = []string{"h1"}
	p.tick(t, _listInterval)
	p.hosts = []string{"h1", "h2"}
	p.tick(t, _listInterval)
	assert.Equal(t, len(p.appended), 0, "it planned without owning planning")
	p.owns.Store(true)
	p.tick(t, time.Second)
	assert.Equal(t, p.countServed(), 1)
}

// TestListGapRestartsAbsence has a host off the list before and after an hour
// without lists. The host may have been back during that hour, which must not count
// as absence.
func TestListGapRestartsAbsence(t *testing.T) {
	p := newTestPlanner(t)
	p.tick(t, time.Second)
	p.hosts = []string{"h1"}
	p.tick(t, _listInterval)
	p.err = errFailed
	p.tick(t, time.Hour)
	p.err = nil
	p.tick(t, _listInterval)
	assert.Equal(t, p.rule("h2"), plan.RuleLag)
	for range p.fleet.State().Config().Fleet().LiveListLag()/_listInterval + 1 {
		p.tick(t, _listInterval)
	}
	assert.Assert(t, p.rule("h2") != plan.RuleLag)
}

// rule returns the rule that keeps a host in its current state.
func (p *testPlanner) rule(host string) plan.Rule {
	c := make(chan plan.Explanation, 1)
	p.planner.handle(p.now, explainRequest{host: host, reply: c})
	e := <-c
	return e.Rule()
}

func TestListIntervals(t *testing.T) {
	const listsPerInterval = _listInterval / _ownerListInterval
	p := newTestPlanner(t)
	for _, c := range []struct {
		owns bool
		want int
	}{{false, 1}, {true, int(listsPerInterval)}, {false, 1}} {
		p.owns.Store(c.owns)
		before := p.listCalls
		for range _listInterval / _tickInterval {
			p.tick(t, _tickInterval)
		}
		assert.Equal(t, p.listCalls-before, c.want)
	}
	p.planner.listing = true
	p.planner.handle(p.now.Add(time.Hour), tick{})
	p.expectNoMessage(t, "two reads of the list were in progress at once")
}

func TestAppendKeepsOrderAndEndsWithOwnership(t *testing.T) {
	for _, c := range []struct {
		name       string
		owns       int // number of records before which planning is owned
		fails      int // index of the record whose append fails
		want       int
		wantOffset uint64
	}{
		{name: "complete", owns: 3, fails: 3, want: 3},
		{name: "ownership lost", owns: 2, fails: 3, want: 2},
		{name: "append fails", owns: 3, fails: 1, want: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestPlanner(t)
			l := []*record.Record{{Basis: 1}, {Basis: 2}, {Basis: 3}}
			calls := 0
			p.planner.Owner = func() (uint64, bool) { calls++; return 1, calls <= c.owns }
			var got []uint64
			p.planner.Append = func(_ context.Context, m *record.Record) (uint64, error) {
				if len(got) == c.fails {
					return 0, errFailed
				}
				got = append(got, m.GetBasis())
				return 1, nil
			}
			p.planner.appendPlan(l)
			assert.Equal(t, p.receive(t), message(appendDone{}))
			assert.DeepEqual(t, got, []uint64{1, 2, 3}[:c.want])
		})
	}
}

// TestListChangeIsPlannedAtOnce checks that a changed list is planned at the next
// tick, and that an unchanged state is planned only after _planInterval.
func TestListChangeIsPlannedAtOnce(t *testing.T) {
	p := newTestPlanner(t)
	p.owns.Store(true)
	lastPlan := func() time.Time { return p.planner.plannedAt }
	for p.tick(t, time.Second); p.planner.plannedOffset != p.fleet.State().Offset(); {
		p.tick(t, time.Second)
	}
	first := lastPlan()
	p.tick(t, _ownerListInterval)
	p.tick(t, _planInterval-_ownerListInterval-1)
	assert.Equal(t, lastPlan(), first, "it planned although nothing had changed")
	p.tick(t, 1)
	assert.Assert(t, lastPlan().After(first), "it did not plan after the plan interval")

	for _, change := range []func(){
		func() { p.hosts = []string{"h1", "h2", "h3"} },
		func() { p.leaving = "h3" },
	} {
		p.tick(t, _ownerListInterval)
		change()
		l, err := p.planner.ListHosts(t.Context())
		assert.NilError(t, err)
		p.planner.observe(p.now, l)
		first = lastPlan()
		p.planner.handle(p.now.Add(_tickInterval), tick{})
		assert.Assert(t, lastPlan().After(first), "it did not plan although the list had changed")
		p.drain(t)
	}
}

// drain handles messages until no read of the list and no append is in progress.
func (p *testPlanner) drain(t *testing.T) {
	t.Helper()
	for p.planner.listing || p.planner.appending {
		p.planner.handle(p.now, p.receive(t))
	}
}

// expectNoMessage fails the test if a message arrives within _shortWait.
func (p *testPlanner) expectNoMessage(t *testing.T, failure string) {
	t.Helper()
	select {
	case <-p.messages:
		t.Fatal(failure)
	case <-time.After(_shortWait):
	}
}

// TestNextPlanWaitsForLastPlan guards against planning from a state that lacks the
// records of the last plan. The state lags behind the log while another plan is due.
func TestNextPlanWaitsForLastPlan(t *testing.T) {
	p := newTestPlanner(t)
	p.owns.Store(true)
	p.tick(t, time.Second)
	var offset atomic.Uint64
	offset.Store(p.fleet.State().Offset() + 1)
	p.planner.Append = func(context.Context, *record.Record) (uint64, error) { return offset.Load(), nil }
	p.planner.appending, p.planner.listing = true, true
	go p.planner.appendPlan([]*record.Record{{}})
	p.expectNoMessage(t, "the plan ended before its records were applied")

	offset.Store(1)
	p.planner.handle(p.now.Add(2*_checkpointInterval), tick{})
	p.expectNoMessage(t, "two plans were in progress at once")
	p.planner.State(func(*fleet.State) { p.fleet.Register(t, "e2", 1) })
	assert.Equal(t, p.receive(t), message(appendDone{}))
}

// countChunks returns how many chunks of checkpoints were appended.
func (p *testPlanner) countChunks() int {
	n := 0
	for _, m := range p.appended {
		if m.GetCheckpoint() != nil {
			n++
		}
	}
	return n
}

func TestCheckpointByTime(t *testing.T) {
	p := newTestPlanner(t)
	p.tick(t, 2*_checkpointInterval)
	p.owns.Store(true)
	p.tick(t, time.Second)
	p.tick(t, _checkpointInterval-_planInterval)
	assert.Equal(t, p.countChunks(), 0)
	p.tick(t, _planInterval)
	assert.Equal(t, p.countChunks(), 1)
	p.tick(t, _checkpointInterval-_planInterval)
	assert.Equal(t, p.countChunks(), 1)
}

// TestCheckpointAfterTakeover checks that a checkpoint that is due isn't delayed when
// another entry takes over planning.
func TestCheckpointAfterTakeover(t *testing.T) {
	p := newTestPlanner(t)
	p.tick(t, time.Second)
	p.tick(t, _checkpointInterval)
	assert.Equal(t, p.countChunks(), 0)
	p.owns.Store(true)
	p.tick(t, time.Second)
	assert.Equal(t, p.countChunks(), 1)
}

// TestCheckpointAfterOutage lets the append of a checkpoint fail. The next plan must
// write it again, without a further wait of _checkpointInterval.
func TestCheckpointAfterOutage(t *testing.T) {
	p := newTestPlanner(t)
	p.owns.Store(true)
	p.tick(t, time.Second)
	p.err = platform.ErrUnavailable
	p.tick(t, _checkpointInterval)
	assert.Equal(t, p.countChunks(), 0)
	p.err = nil
	p.tick(t, _planInterval)
	assert.Equal(t, p.countChunks(), 1)
	p.tick(t, _checkpointInterval-_planInterval)
	assert.Equal(t, p.countChunks(), 1)
}

func TestCheckpointByCount(t *testing.T) {
	p := newTestPlanner(t)
	p.owns.Store(true)
	p.tick(t, time.Second)
	for n := p.fleet.State().Offset(); n < _checkpointRecords-1; n++ {
		p.fleet.Register(t, "e1", n)
	}
	p.tick(t, time.Second)
	assert.Equal(t, p.countChunks(), 0)
	for p.fleet.State().Offset() < _checkpointRecords {
		p.fleet.Register(t, "e1", p.fleet.State().Offset()+1)
	}
	p.tick(t, time.Second)
	assert.Equal(t, p.countChunks(), 1)
	p.tick(t, time.Second)
	assert.Equal(t, p.countChunks(), 1)
}

func TestExplain(t *testing.T) {
	p := newTestPlanner(t)
	p.tick(t, time.Second)
	p.takeH2Down(t)
	p.hosts = []string{"h1"}
	p.tick(t, _listInterval)
	go func() { p.planner.handle(p.now, <-p.messages) }()
	e, err := p.planner.Explain(t.Context(), "h2")
	assert.NilError(t, err)
	assert.Equal(t, e.Host(), "h2")
	assert.Equal(t, e.Duty(), fleet.Down)
	assert.Equal(t, e.Rule(), plan.RuleAway)

	ctx, cancel := context.WithTimeout(t.Context(), _shortWait)
	defer cancel()
	_, err = p.planner.Explain(ctx, "h2")
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	p.planner.send = func(message) error { return errFailed }
	_, err = p.planner.Explain(t.Context(), "h2")
	assert.ErrorIs(t, err, errFailed)
}
