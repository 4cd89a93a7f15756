package plan_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fescuelanding/fleet"
	"fescuelanding/fleet/config"
	"fescuelanding/fleet/plan"
	"fescuelanding/fleet/record"
)

const (
	_propertyHosts = 16
	_propertyPools = 3
	_propertyRacks = 4
)

// drawConfig draws a small fleet. The last pool is a spare pool.
func drawConfig(t *rapid.T) config.Config {
	count := func(name string, low, high int) string { return fmt.Sprint(rapid.IntRange(low, high).Draw(t, name)) }
	c := []*record.Section{
		section("fleet", "", "bufferWeight", count("buffer", 1, 3), "rollOutWeight", count("rollOut", 0, 3), "moveWeight", count("move", 0, 3), "maintenanceEvery", "24h"),
		section("dataCentre", "d0", "region", "r"),
		section("dataCentre", "d1", "region", "r"),
	}
	homes := map[int]int{}
	for i := range _propertyHosts {
		home := rapid.IntRange(0, _propertyPools).Draw(t, "home")
		homes[home]++
		c = append(c, section("host", fmt.Sprintf("h%02d", i), "address", fmt.Sprintf("10.0.0.%d:80", i+1),
			"dataCentre", fmt.Sprint("d", i%2), "rack", fmt.Sprint("r", i%_propertyRacks), "batch", fmt.Sprint("b", i%3),
			"home", fmt.Sprint("p", home), "slots", "8", "connections", "64"))
	}
	for i := range _propertyPools {
		c = append(c, section("pool", fmt.Sprint("p", i), "minAvailable", count("min", 0, homes[i]),
			"tolerate", rapid.SampledFrom([]string{"none", "rack", "dataCentre"}).Draw(t, "tolerate")))
	}
	c = append(c, section("pool", fmt.Sprint("p", _propertyPools), "spare", "true"))
	r, err := config.FromSections(c)
	assert.NilError(t, err)
	return r
}

func section(kind, name string, keysAndValues ...string) *record.Section {
	r := &record.Section{Kind: kind, Name: name}
	for i := 0; i < len(keysAndValues); i += 2 {
		r.Settings = append(r.Settings, &record.Setting{Key: keysAndValues[i], Value: keysAndValues[i+1]})
	}
	return r
}

// The last two events of injectEvent. A test draws all events up to one of them: up to
// _eventStopConfirms, the planner never loses its observations.
const (
	_eventStopConfirms     = 11
	_eventLoseObservations = 12
)

// injectEvent draws one of the events up to last and applies it to the fleet.
func injectEvent(t *rapid.T, m *simulation, last int) {
	host := fmt.Sprintf("h%02d", rapid.IntRange(0, _propertyHosts-1).Draw(t, "host"))
	pool := fmt.Sprint("p", rapid.IntRange(0, _propertyPools).Draw(t, "pool"))
	try := func(r *record.Record) {
		r.Basis = m.state.Basis(r)
		r.AtUnixMs = m.now.UnixMilli()
		_ = m.apply(r)
	}
	switch rapid.IntRange(0, last).Draw(t, "event") {
	case 0:
		m.offList[host] = time.Time{}
	case 1:
		m.offList[host] = m.now.Add(2 * time.Minute)
	case 2:
		for _, h := range m.hostsIn("d0/r" + rapid.SampledFrom([]string{"0", "2"}).Draw(t, "rack")) {
			m.offList[h] = m.now.Add(10 * time.Minute)
		}
	case 3:
		clear(m.offList)
	case 4:
		m.leaving[host] = !m.leaving[host]
	case 5:
		try(waveStart("w"))
	case 6:
		try(&record.Record{Body: &record.Record_WaveCancel{WaveCancel: &record.WaveCancel{Wave: "w"}}})
	case 7:
		try(&record.Record{Body: &record.Record_RecallStart{RecallStart: &record.RecallStart{Recall: "r", Batch: "b1"}}})
	case 8:
		try(&record.Record{Body: &record.Record_RecallCancel{RecallCancel: &record.RecallCancel{Recall: "r"}}})
	case 9:
		try(&record.Record{Body: &record.Record_DrainIntent{DrainIntent: &record.DrainIntent{Host: host, Drain: rapid.Bool().Draw(t, "drain")}}})
	case 10:
		try(&record.Record{Body: &record.Record_MoveIntent{MoveIntent: &record.MoveIntent{Host: host, ToPool: pool}}})
	case _eventStopConfirms:
		m.confirmsStopped["entry0"] = !m.confirmsStopped["entry0"]
	case _eventLoseObservations:
		m.observations = plan.Observations{}
	}
}

// TestPlanIsSafeAndAccepted guards against plans that break a budget (checked by
// simulation.apply), that are rejected, or that have two steps for one host, in any
// sequence of events. A rule that holds a host back must say why and what would
// release the host.
func TestPlanIsSafeAndAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := func(s *fleet.State, o plan.Observations, now time.Time) []*record.Record {
			r := plan.Plan(s, o, now)
			steps := map[string]int{}
			for _, a := range r {
				n := voluntaryHost(a) + a.GetHostServe().GetHost() + a.GetHostFail().GetHost() + a.GetHostDown().GetHost() + a.GetHostAssign().GetHost() + a.GetHostKeep().GetHost()
				steps[n]++
				assert.Assert(t, n == "" || steps[n] == 1, "%v", a)
			}
			return r
		}
		m := newSimulation(t, drawConfig(t), p)
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			injectEvent(t, m, _eventLoseObservations)
			m.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * _tick)
		}
		assert.Equal(t, m.rejected, 0, "of %d", m.proposed)
		for _, h := range m.state.Hosts() {
			e := plan.Explain(m.state, m.observations, h.Name(), m.now)
			assert.Assert(t, e.Rule() == plan.RuleNone || e.Why() != "" && e.Frees() != "", "%v", e)
		}
	})
}

const (
	// _quietTick is the tick of a fleet without events.
	_quietTick = time.Minute
	// _settledAfter is the time without a proposal after which a fleet has settled. A
	// host that reboots holds the plan up for less.
	_settledAfter = 2 * _reboot
	// _settleWithin is the longest time that a fleet takes to settle. Without headroom
	// in any pool, a wave and a recall take down one host after the other, and each
	// needs a reboot and two ticks for its steps.
	_settleWithin = 2 * _propertyHosts * (_reboot + 2*_quietTick)
)

// TestQuietFleetSettles guards against hosts that stay out of service and plans that
// stall or never end: once events stop, the planner proposes something at least every
// _settledAfter, until every host that no operator drains serves.
func TestQuietFleetSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSimulation(t, drawConfig(t), plan.Plan)
		for range rapid.IntRange(1, 6).Draw(t, "events") {
			injectEvent(t, m, _eventStopConfirms)
			m.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * _tick)
		}
		clear(m.offList)
		clear(m.leaving)
		clear(m.confirmsStopped)
		m.tick = _quietTick
		for began, proposed := m.now, -1; m.proposed != proposed; {
			assert.Assert(t, m.now.Sub(began) < _settleWithin)
			proposed = m.proposed
			m.run(_settledAfter)
		}
		for _, h := range m.state.Hosts() {
			kept := m.state.Intent(h.Name()).Drain()
			assert.Assert(t, h.MovingTo() == "" && (kept || h.Duty() == fleet.Serving), "%v", plan.Explain(m.state, m.observations, h.Name(), m.now))
		}
	})
}
