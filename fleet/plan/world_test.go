package plan_test

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/fleet"
	"fescuelanding/fleet/config"
	"fescuelanding/fleet/plan"
	"fescuelanding/fleet/platform"
	"fescuelanding/fleet/record"
)

const (
	_tick    = 10 * time.Second
	_reboot  = 10 * time.Minute
	_entries = 3
	// _maxRounds bounds the plans of one tick.
	_maxRounds = 40
)

var _start = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

// planner is a function with the signature of plan.Plan.
type planner func(*fleet.State, plan.Observations, time.Time) []*record.Record

// simulation is a fleet in simulated time: hosts reboot when they are taken down,
// entries confirm steps, and the live list is read each tick.
type simulation struct {
	assert.TestingT
	plan         planner
	state        *fleet.State
	observations plan.Observations
	now          time.Time
	// offList has the hosts off the live list and the time of their return; the
	// zero time means never.
	offList     map[string]time.Time
	leaving     map[string]bool
	rebootHangs map[string]bool
	staysListed map[string]bool
	// confirmsStopped has the entries that confirm no steps.
	confirmsStopped map[string]bool
	// rebooted has, by host, the basis that the host had when it last rebooted, so that
	// a host reboots only once each time it is taken down.
	rebooted   map[string]uint64
	listFrozen bool
	lastList   []platform.LiveHost
	reboot     time.Duration
	tick       time.Duration
	// onAccept is called with each accepted record.
	onAccept func(*record.Record)
	proposed int
	rejected int
	moves    int
	// spareHostTicks is the sum of available spare hosts over the ticks.
	spareHostTicks int
	ticks          int
}

// newSimulation returns a simulation with the configuration applied and the entries
// registered.
func newSimulation(t assert.TestingT, c config.Config, p planner) *simulation {
	m := &simulation{
		TestingT: t, plan: p, state: new(fleet.State), now: _start, reboot: _reboot, tick: _tick,
		offList: map[string]time.Time{}, leaving: map[string]bool{}, rebootHangs: map[string]bool{}, confirmsStopped: map[string]bool{}, staysListed: map[string]bool{}, rebooted: map[string]uint64{},
		onAccept: func(*record.Record) {},
	}
	m.mustApply(&record.Record{Body: &record.Record_ConfigChange{ConfigChange: config.Config{}.Diff(c)}})
	for i := range _entries {
		name := fmt.Sprint("entry", i)
		m.mustApply(&record.Record{Body: &record.Record_EntryRegister{EntryRegister: &record.EntryRegister{
			Entry: name, Incarnation: uint64(i + 1), DataCentre: c.DataCentres()[0].Name(),
			PeerAddress: fmt.Sprintf("10.9.0.%d:1", i+1), AdminAddress: fmt.Sprintf("10.9.0.%d:2", i+1),
		}}})
	}
	return m
}

// mustApply applies a record written by an operator or an entry.
func (m *simulation) mustApply(r *record.Record) {
	r.Basis = m.state.Basis(r)
	r.AtUnixMs = m.now.UnixMilli()
	assert.NilError(m, m.apply(r))
}

// apply applies a record and checks that no voluntary step breaks a budget. The
// drain of a host that the platform withdraws isn't voluntary.
func (m *simulation) apply(r *record.Record) error {
	before, _ := m.state.Host(voluntaryHost(r))
	err := m.state.Apply(m.state.Offset()+1, r)
	if err != nil {
		return err
	}
	m.onAccept(r)
	if r.GetHostAssign() != nil {
		m.moves++
	}
	withdrawn := r.GetHostDrain().GetCause() == record.Cause_CAUSE_LEAVING
	if r.GetHostDrain() != nil && !withdrawn || r.GetHostRelease() != nil && before.Available() {
		n, _ := m.state.Pool(before.Pool())
		assert.Assert(m, n.Available() >= n.Budget(), "%v", r)
	}
	return nil
}

// voluntaryHost returns the host of a drain or release, or "".
func voluntaryHost(r *record.Record) string {
	return r.GetHostDrain().GetHost() + r.GetHostRelease().GetHost()
}

// run advances the time by d, in ticks.
func (m *simulation) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.step()
	}
}

// runUntil advances the time until done reports true, for at most d, and returns
// how long it took.
func (m *simulation) runUntil(d time.Duration, done func() bool) time.Duration {
	began := m.now
	for !done() {
		assert.Assert(m, m.now.Sub(began) < d, "not done after %v", d)
		m.step()
	}
	return m.now.Sub(began)
}

// step advances the time by one tick. It plans until nothing more is proposed.
func (m *simulation) step() {
	m.now = m.now.Add(m.tick)
	m.updatePlatform()
	for range _maxRounds {
		m.confirm()
		m.observations.UpdateState(m.state, m.now)
		m.observations.UpdateList(m.list(), m.now)
		records := m.plan(m.state, m.observations, m.now)
		if len(records) == 0 {
			break
		}
		for _, r := range records {
			m.proposed++
			if err := m.apply(r); err != nil {
				m.rejected++
				var j *fleet.Rejection
				assert.Assert(m, errors.As(err, &j))
			}
		}
	}
	m.ticks++
	for _, l := range m.state.Config().Pools() {
		if n, _ := m.state.Pool(l.Name()); l.Spare() {
			m.spareHostTicks += n.Available()
		}
	}
}

// updatePlatform takes hosts that are down off the list and brings them back.
func (m *simulation) updatePlatform() {
	for _, h := range m.state.Hosts() {
		back, off := m.offList[h.Name()]
		switch {
		case off && !back.IsZero() && !m.now.Before(back):
			delete(m.offList, h.Name())
		case off || h.Duty() != fleet.Down || m.staysListed[h.Name()] || m.rebooted[h.Name()] == h.Basis():
		case m.rebootHangs[h.Name()]:
			m.offList[h.Name()] = time.Time{}
		case h.Cause() == record.Cause_CAUSE_MAINTENANCE || h.Cause() == record.Cause_CAUSE_RECALL:
			m.offList[h.Name()] = m.now.Add(m.reboot)
			m.rebooted[h.Name()] = h.Basis()
		}
	}
}

// list returns the live list.
func (m *simulation) list() []platform.LiveHost {
	if m.listFrozen {
		return m.lastList
	}
	var r []platform.LiveHost
	for _, h := range m.state.Config().Hosts() {
		if _, off := m.offList[h.Name()]; off {
			continue
		}
		s := platform.HostLive
		if m.leaving[h.Name()] {
			s = platform.HostLeaving
		}
		r = append(r, platform.NewLiveHost(h.Name(), s, m.now))
	}
	m.lastList = r
	return r
}

// confirm applies the pending confirmations of each entry whose confirmations aren't stopped.
func (m *simulation) confirm() {
	steps := map[string][]*record.StepRef{}
	for _, h := range m.state.Hosts() {
		if h.Step() == 0 {
			continue
		}
		for _, e := range m.state.UnconfirmedEntries(h.Name()) {
			steps[e] = append(steps[e], &record.StepRef{Host: h.Name(), Offset: h.Step()})
		}
	}
	for _, e := range m.state.Entries() {
		if len(steps[e.Name()]) > 0 && !m.confirmsStopped[e.Name()] {
			m.mustApply(&record.Record{Body: &record.Record_Confirm{Confirm: &record.Confirm{
				Entry: e.Name(), Incarnation: e.Incarnation(), Steps: steps[e.Name()],
			}}})
		}
	}
}

// hostsIn returns the hosts of a place: a host, dataCentre/rack, or data centre.
func (m *simulation) hostsIn(place string) []string {
	var r []string
	for _, h := range m.state.Config().Hosts() {
		if slices.Contains([]string{h.Name(), h.DataCentre() + "/" + h.Rack(), h.DataCentre()}, place) {
			r = append(r, h.Name())
		}
	}
	assert.Assert(m, len(r) > 0, place)
	return r
}
