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
	r := &testPlanner{messages: make(chan message, 1), now: _start, hosts: []string{"h1", "h2"}}
	r.fleet.Configure(t, viewtest.Small)
	r.fleet.Register(t, "e1", 1)
	r.planner = Planner{
		Owner: func() (uint64, bool) { return 1, r.owns.Load() },
		State: func(f func(*fleet.State)) {
			r.mu.Lock()
			defer r.mu.Unlock()
			f(r.fleet.State())
		},
		ListHosts: r.listHosts,
		Append: func(_ context.Context, m *record.Record) (uint64, error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.err != nil {
				return 0, r.err
			}
			r.appended = append(r.appended, m)
			return r.fleet.Apply(t, m), nil
		},
		send: func(m message) error { r.messages <- m; return nil },
	}
	r.planner.ctx, r.planner.stop = context.WithCancel(t.Context())
	return r
}

func (r *testPlanner) listHosts(context.Context) ([]platform.LiveHost, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listCalls++
	if r.err != nil {
		return nil, r.err
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

// tick advances the time and sends a tick, and waits until the reads and appends
// that it started have ended.
func (r *testPlanner) tick(t *testing.T, d time.Duration) {
	t.Helper()
	r.mu.Lock()
	r.now = r.now.Add(d)
	r.mu.Unlock()
	r.planner.handle(r.now, tick{})
	r.drain(t)
}

func (r *testPlanner) receive(t *testing.T) message {
	t.Helper()
	select {
	case m := <-r.messages:
		return m
	case <-time.After(_timeout):
		t.Fatal("no message arrived")
		return nil
	}
}

// takeH2Down drains h2 for maintenance and takes it down.
func (r *testPlanner) takeH2Down(t *testing.T) {
	o := r.fleet.Apply(t, &record.Record{Body: &record.Record_HostDrain{
		HostDrain: &record.HostDrain{Host: "h2", Cause: record.Cause_CAUSE_MAINTENANCE},
	}})
	r.fleet.Apply(t, &record.Record{Writer: "e1", Body: &record.Record_Confirm{Confirm: &record.Confirm{
		Entry: "e1", Incarnation: 1, Steps: []*record.StepRef{{Host: "h2", Offset: o}},
	}}})
	r.fleet.Apply(t, &record.Record{Body: &record.Record_HostDown{HostDown: &record.HostDown{Host: "h2"}}})
}

// countServed returns how many HostServe records were appended.
func (r *testPlanner) countServed() int {
	n := 0
	for _, m := range r.appended {
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
	r := newTestPlanner(t)
	r.tick(t, time.Second)
	r.takeH2Down(t)
	r.hosts = []string{"h1"}
	r.tick(t, _listInterval)
	r.hosts = []string{"h1", "h2"}
	r.tick(t, _listInterval)
	assert.Equal(t, len(r.appended), 0, "it planned without owning planning")
	r.owns.Store(true)
	r.tick(t, time.Second)
	assert.Equal(t, r.countServed(), 1)
}

// TestListGapRestartsAbsence has a host off the list before and after an hour
// without lists. The host may have been back during that hour, which must not count
// as absence.
func TestListGapRestartsAbsence(t *testing.T) {
	r := newTestPlanner(t)
	r.tick(t, time.Second)
	r.hosts = []string{"h1"}
	r.tick(t, _listInterval)
	r.err = errFailed
	r.tick(t, time.Hour)
	r.err = nil
	r.tick(t, _listInterval)
	assert.Equal(t, r.rule("h2"), plan.RuleLag)
	for range r.fleet.State().Config().Fleet().LiveListLag()/_listInterval + 1 {
		r.tick(t, _listInterval)
	}
	assert.Assert(t, r.rule("h2") != plan.RuleLag)
}

// rule returns the rule that keeps a host in its current state.
func (r *testPlanner) rule(host string) plan.Rule {
	c := make(chan plan.Explanation, 1)
	r.planner.handle(r.now, explainRequest{host: host, reply: c})
	e := <-c
	return e.Rule()
}

func TestListIntervals(t *testing.T) {
	const listsPerInterval = _listInterval / _ownerListInterval
	r := newTestPlanner(t)
	for _, c := range []struct {
		owns bool
		want int
	}{{false, 1}, {true, int(listsPerInterval)}, {false, 1}} {
		r.owns.Store(c.owns)
		before := r.listCalls
		for range _listInterval / _tickInterval {
			r.tick(t, _tickInterval)
		}
		assert.Equal(t, r.listCalls-before, c.want)
	}
	r.planner.listing = true
	r.planner.handle(r.now.Add(time.Hour), tick{})
	r.expectNoMessage(t, "two reads of the list were in progress at once")
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
			r := newTestPlanner(t)
			l := []*record.Record{{Basis: 1}, {Basis: 2}, {Basis: 3}}
			calls := 0
			r.planner.Owner = func() (uint64, bool) { calls++; return 1, calls <= c.owns }
			var got []uint64
			r.planner.Append = func(_ context.Context, m *record.Record) (uint64, error) {
				if len(got) == c.fails {
					return 0, errFailed
				}
				got = append(got, m.GetBasis())
				return 1, nil
			}
			r.planner.appendPlan(l)
			assert.Equal(t, r.receive(t), message(appendDone{}))
			assert.DeepEqual(t, got, []uint64{1, 2, 3}[:c.want])
		})
	}
}

// TestListChangeIsPlannedAtOnce checks that a changed list is planned at the next
// tick, and that an unchanged state is planned only after _planInterval.
func TestListChangeIsPlannedAtOnce(t *testing.T) {
	r := newTestPlanner(t)
	r.owns.Store(true)
	lastPlan := func() time.Time { return r.planner.plannedAt }
	for r.tick(t, time.Second); r.planner.plannedOffset != r.fleet.State().Offset(); {
		r.tick(t, time.Second)
	}
	first := lastPlan()
	r.tick(t, _ownerListInterval)
	r.tick(t, _planInterval-_ownerListInterval-1)
	assert.Equal(t, lastPlan(), first, "it planned although nothing had changed")
	r.tick(t, 1)
	assert.Assert(t, lastPlan().After(first), "it did not plan after the plan interval")

	for _, change := range []func(){
		func() { r.hosts = []string{"h1", "h2", "h3"} },
		func() { r.leaving = "h3" },
	} {
		r.tick(t, _ownerListInterval)
		change()
		l, err := r.planner.ListHosts(t.Context())
		assert.NilError(t, err)
		r.planner.observe(r.now, l)
		first = lastPlan()
		r.planner.handle(r.now.Add(_tickInterval), tick{})
		assert.Assert(t, lastPlan().After(first), "it did not plan although the list had changed")
		r.drain(t)
	}
}

// drain handles messages until no read of the list and no append is in progress.
func (r *testPlanner) drain(t *testing.T) {
	t.Helper()
	for r.planner.listing || r.planner.appending {
		r.planner.handle(r.now, r.receive(t))
	}
}

// expectNoMessage fails the test if a message arrives within _shortWait.
func (r *testPlanner) expectNoMessage(t *testing.T, failure string) {
	t.Helper()
	select {
	case <-r.messages:
		t.Fatal(failure)
	case <-time.After(_shortWait):
	}
}

// TestNextPlanWaitsForLastPlan guards against planning from a state that lacks the
// records of the last plan. The state lags behind the log while another plan is due.
func TestNextPlanWaitsForLastPlan(t *testing.T) {
	r := newTestPlanner(t)
	r.owns.Store(true)
	r.tick(t, time.Second)
	var offset atomic.Uint64
	offset.Store(r.fleet.State().Offset() + 1)
	r.planner.Append = func(context.Context, *record.Record) (uint64, error) { return offset.Load(), nil }
	r.planner.appending, r.planner.listing = true, true
	go r.planner.appendPlan([]*record.Record{{}})
	r.expectNoMessage(t, "the plan ended before its records were applied")

	offset.Store(1)
	r.planner.handle(r.now.Add(2*_checkpointInterval), tick{})
	r.expectNoMessage(t, "two plans were in progress at once")
	r.planner.State(func(*fleet.State) { r.fleet.Register(t, "e2", 1) })
	assert.Equal(t, r.receive(t), message(appendDone{}))
}

// countChunks returns how many chunks of checkpoints were appended.
func (r *testPlanner) countChunks() int {
	n := 0
	for _, m := range r.appended {
		if m.GetCheckpoint() != nil {
			n++
		}
	}
	return n
}

func TestCheckpointByTime(t *testing.T) {
	r := newTestPlanner(t)
	r.tick(t, 2*_checkpointInterval)
	r.owns.Store(true)
	r.tick(t, time.Second)
	r.tick(t, _checkpointInterval-_planInterval)
	assert.Equal(t, r.countChunks(), 0)
	r.tick(t, _planInterval)
	assert.Equal(t, r.countChunks(), 1)
	r.tick(t, _checkpointInterval-_planInterval)
	assert.Equal(t, r.countChunks(), 1)
}

// TestCheckpointAfterTakeover checks that a checkpoint that is due isn't delayed when
// another entry takes over planning.
func TestCheckpointAfterTakeover(t *testing.T) {
	r := newTestPlanner(t)
	r.tick(t, time.Second)
	r.tick(t, _checkpointInterval)
	assert.Equal(t, r.countChunks(), 0)
	r.owns.Store(true)
	r.tick(t, time.Second)
	assert.Equal(t, r.countChunks(), 1)
}

// TestCheckpointAfterOutage lets the append of a checkpoint fail. The next plan must
// write it again, without a further wait of _checkpointInterval.
func TestCheckpointAfterOutage(t *testing.T) {
	r := newTestPlanner(t)
	r.owns.Store(true)
	r.tick(t, time.Second)
	r.err = platform.ErrUnavailable
	r.tick(t, _checkpointInterval)
	assert.Equal(t, r.countChunks(), 0)
	r.err = nil
	r.tick(t, _planInterval)
	assert.Equal(t, r.countChunks(), 1)
	r.tick(t, _checkpointInterval-_planInterval)
	assert.Equal(t, r.countChunks(), 1)
}

func TestCheckpointByCount(t *testing.T) {
	r := newTestPlanner(t)
	r.owns.Store(true)
	r.tick(t, time.Second)
	for n := r.fleet.State().Offset(); n < _checkpointRecords-1; n++ {
		r.fleet.Register(t, "e1", n)
	}
	r.tick(t, time.Second)
	assert.Equal(t, r.countChunks(), 0)
	for r.fleet.State().Offset() < _checkpointRecords {
		r.fleet.Register(t, "e1", r.fleet.State().Offset()+1)
	}
	r.tick(t, time.Second)
	assert.Equal(t, r.countChunks(), 1)
	r.tick(t, time.Second)
	assert.Equal(t, r.countChunks(), 1)
}

func TestExplain(t *testing.T) {
	r := newTestPlanner(t)
	r.tick(t, time.Second)
	r.takeH2Down(t)
	r.hosts = []string{"h1"}
	r.tick(t, _listInterval)
	go func() { r.planner.handle(r.now, <-r.messages) }()
	e, err := r.planner.Explain(t.Context(), "h2")
	assert.NilError(t, err)
	assert.Equal(t, e.Host(), "h2")
	assert.Equal(t, e.Duty(), fleet.Down)
	assert.Equal(t, e.Rule(), plan.RuleAway)

	ctx, cancel := context.WithTimeout(t.Context(), _shortWait)
	defer cancel()
	_, err = r.planner.Explain(ctx, "h2")
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	r.planner.send = func(message) error { return errFailed }
	_, err = r.planner.Explain(t.Context(), "h2")
	assert.ErrorIs(t, err, errFailed)
}
