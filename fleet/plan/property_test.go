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

// drawConfig draws a small fleet; the last pool is spare.
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

// The last events of disturb, with and without the planner's loss of all that it
// has seen.
const (
	_eventMute   = 11
	_eventForget = 12
)

// disturb lets one of the events up to last happen to the fleet.
func disturb(t *rapid.T, w *world, last int) {
	host := fmt.Sprintf("h%02d", rapid.IntRange(0, _propertyHosts-1).Draw(t, "host"))
	pool := fmt.Sprint("p", rapid.IntRange(0, _propertyPools).Draw(t, "pool"))
	try := func(r *record.Record) {
		r.Basis = w.state.Basis(r)
		r.AtUnixMs = w.now.UnixMilli()
		_ = w.apply(r)
	}
	switch rapid.IntRange(0, last).Draw(t, "event") {
	case 0:
		w.offList[host] = time.Time{}
	case 1:
		w.offList[host] = w.now.Add(2 * time.Minute)
	case 2:
		for _, h := range w.named("d0/r" + rapid.SampledFrom([]string{"0", "2"}).Draw(t, "rack")) {
			w.offList[h] = w.now.Add(10 * time.Minute)
		}
	case 3:
		clear(w.offList)
	case 4:
		w.leaving[host] = !w.leaving[host]
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
	case _eventMute:
		w.mute["entry0"] = !w.mute["entry0"]
	case _eventForget:
		w.seen = plan.Observations{}
	}
}

// TestPlanIsSafeAndAccepted checks that whatever happens, accepted steps keep
// the budgets (world.apply), that proposals are accepted, that each host has at
// most one step in a plan and that what holds a host back has a remedy.
func TestPlanIsSafeAndAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := func(s *fleet.State, o plan.Observations, now time.Time) []*record.Record {
			r := plan.Plan(s, o, now)
			steps := map[string]int{}
			for _, a := range r {
				n := stepped(a) + a.GetHostServe().GetHost() + a.GetHostFail().GetHost() + a.GetHostDown().GetHost() + a.GetHostAssign().GetHost() + a.GetHostKeep().GetHost()
				steps[n]++
				assert.Assert(t, n == "" || steps[n] == 1, "%v", a)
			}
			return r
		}
		w := newWorld(t, drawConfig(t), p)
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			disturb(t, w, _eventForget)
			w.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * _tick)
		}
		assert.Equal(t, w.rejected, 0, "of %d", w.proposed)
		for _, h := range w.state.Hosts() {
			e := plan.Explain(w.state, w.seen, h.Name(), w.now)
			assert.Assert(t, e.Rule() == plan.RuleNone || e.Why() != "" && e.Frees() != "", "%v", e)
		}
	})
}

// TestQuietFleetSettles checks that once nothing happens any more, every host
// that no operator keeps out serves, and the planner proposes nothing.
func TestQuietFleetSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, drawConfig(t), plan.Plan)
		for range rapid.IntRange(1, 6).Draw(t, "events") {
			disturb(t, w, _eventMute)
			w.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * _tick)
		}
		clear(w.offList)
		clear(w.leaving)
		clear(w.mute)
		w.tick = time.Minute
		w.run(3 * time.Hour)
		proposed := w.proposed
		w.run(10 * time.Minute)
		assert.Equal(t, w.proposed, proposed)
		for _, h := range w.state.Hosts() {
			kept := w.state.Intent(h.Name()).Drain()
			assert.Assert(t, h.MovingTo() == "" && (kept || h.Duty() == fleet.Serving), "%v", plan.Explain(w.state, w.seen, h.Name(), w.now))
		}
	})
}
