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
	// _rounds bounds the plans of one tick.
	_rounds = 40
)

var _start = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

// planner is a function such as plan.Plan.
type planner func(*fleet.State, plan.Observations, time.Time) []*record.Record

// world is a state with the hosts' doings around it: hosts reboot when they are
// taken down, entries confirm, and the live list is read each tick.
type world struct {
	assert.TestingT
	plan  planner
	state *fleet.State
	seen  plan.Observations
	now   time.Time
	// offList has the hosts off the live list and when they return; the zero
	// time stands for never.
	offList map[string]time.Time
	leaving map[string]bool
	stuck   map[string]bool
	linger  map[string]bool
	mute    map[string]bool
	// rebooted has the step after which a host that is down was rebooted.
	rebooted map[string]uint64
	frozen   bool
	last     []platform.LiveHost
	reboot   time.Duration
	tick     time.Duration
	// note is told each record that was accepted.
	note     func(*record.Record)
	proposed int
	rejected int
	moves    int
	// spare is the sum of available spare hosts over the ticks.
	spare int
	ticks int
}

// newWorld returns a world in which the configuration and entries are in force.
func newWorld(t assert.TestingT, c config.Config, p planner) *world {
	w := &world{
		TestingT: t, plan: p, state: new(fleet.State), now: _start, reboot: _reboot, tick: _tick,
		offList: map[string]time.Time{}, leaving: map[string]bool{}, stuck: map[string]bool{}, mute: map[string]bool{}, linger: map[string]bool{}, rebooted: map[string]uint64{},
		note: func(*record.Record) {},
	}
	w.must(&record.Record{Body: &record.Record_ConfigChange{ConfigChange: config.Config{}.Diff(c)}})
	for i := range _entries {
		name := fmt.Sprint("entry", i)
		w.must(&record.Record{Body: &record.Record_EntryRegister{EntryRegister: &record.EntryRegister{
			Entry: name, Incarnation: uint64(i + 1), DataCentre: c.DataCentres()[0].Name(),
			PeerAddress: fmt.Sprintf("10.9.0.%d:1", i+1), AdminAddress: fmt.Sprintf("10.9.0.%d:2", i+1),
		}}})
	}
	return w
}

// must applies a record of operators or entries.
func (w *world) must(r *record.Record) {
	r.Basis = w.state.Basis(r)
	r.AtUnixMs = w.now.UnixMilli()
	assert.NilError(w, w.apply(r))
}

// apply applies a record and checks that no voluntary step broke a budget. The
// drain of a host that the platform takes away isn't voluntary.
func (w *world) apply(r *record.Record) error {
	before, _ := w.state.Host(stepped(r))
	err := w.state.Apply(w.state.Offset()+1, r)
	if err != nil {
		return err
	}
	w.note(r)
	if r.GetHostAssign() != nil {
		w.moves++
	}
	taken := r.GetHostDrain().GetCause() == record.Cause_CAUSE_LEAVING
	if r.GetHostDrain() != nil && !taken || r.GetHostRelease() != nil && before.Available() {
		n, _ := w.state.Pool(before.Pool())
		assert.Assert(w, n.Available() >= n.Budget(), "%v", r)
	}
	return nil
}

// stepped returns the host that a voluntary step is about.
func stepped(r *record.Record) string {
	return r.GetHostDrain().GetHost() + r.GetHostRelease().GetHost()
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

// runUntil lets time pass until done, for at most d, and returns how long it took.
func (w *world) runUntil(d time.Duration, done func() bool) time.Duration {
	began := w.now
	for !done() {
		assert.Assert(w, w.now.Sub(began) < d, "not done after %v", d)
		w.step()
	}
	return w.now.Sub(began)
}

// step lets one tick pass.
func (w *world) step() {
	w.now = w.now.Add(w.tick)
	w.platform()
	for range _rounds {
		w.confirm()
		w.seen.UpdateState(w.state, w.now)
		w.seen.UpdateList(w.list(), w.now)
		records := w.plan(w.state, w.seen, w.now)
		if len(records) == 0 {
			break
		}
		for _, r := range records {
			w.proposed++
			if err := w.apply(r); err != nil {
				w.rejected++
				var j *fleet.Rejection
				assert.Assert(w, errors.As(err, &j))
			}
		}
	}
	w.ticks++
	for _, l := range w.state.Config().Pools() {
		if n, _ := w.state.Pool(l.Name()); l.Spare() {
			w.spare += n.Available()
		}
	}
}

// platform takes hosts that are down off the list and brings them back.
func (w *world) platform() {
	for _, h := range w.state.Hosts() {
		back, off := w.offList[h.Name()]
		switch {
		case off && !back.IsZero() && !w.now.Before(back):
			delete(w.offList, h.Name())
		case off || h.Duty() != fleet.Down || w.linger[h.Name()] || w.rebooted[h.Name()] == h.Basis():
		case w.stuck[h.Name()]:
			w.offList[h.Name()] = time.Time{}
		case h.Cause() == record.Cause_CAUSE_MAINTENANCE || h.Cause() == record.Cause_CAUSE_RECALL:
			w.offList[h.Name()] = w.now.Add(w.reboot)
			w.rebooted[h.Name()] = h.Basis()
		}
	}
}

// list returns the live list.
func (w *world) list() []platform.LiveHost {
	if w.frozen {
		return w.last
	}
	var r []platform.LiveHost
	for _, h := range w.state.Config().Hosts() {
		if _, off := w.offList[h.Name()]; off {
			continue
		}
		s := platform.HostLive
		if w.leaving[h.Name()] {
			s = platform.HostLeaving
		}
		r = append(r, platform.NewLiveHost(h.Name(), s, w.now))
	}
	w.last = r
	return r
}

// confirm lets each entry that isn't mute confirm what waits for it.
func (w *world) confirm() {
	steps := map[string][]*record.StepRef{}
	for _, h := range w.state.Hosts() {
		if h.Step() == 0 {
			continue
		}
		for _, e := range w.state.UnconfirmedEntries(h.Name()) {
			steps[e] = append(steps[e], &record.StepRef{Host: h.Name(), Offset: h.Step()})
		}
	}
	for _, e := range w.state.Entries() {
		if len(steps[e.Name()]) > 0 && !w.mute[e.Name()] {
			w.must(&record.Record{Body: &record.Record_Confirm{Confirm: &record.Confirm{
				Entry: e.Name(), Incarnation: e.Incarnation(), Steps: steps[e.Name()],
			}}})
		}
	}
}

// named returns the hosts that a word names: a host, dataCentre/rack, or a data
// centre.
func (w *world) named(word string) []string {
	var r []string
	for _, h := range w.state.Config().Hosts() {
		if slices.Contains([]string{h.Name(), h.DataCentre() + "/" + h.Rack(), h.DataCentre()}, word) {
			r = append(r, h.Name())
		}
	}
	assert.Assert(w, len(r) > 0, word)
	return r
}
