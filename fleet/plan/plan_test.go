package plan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/fleet"
	"fescuelanding/fleet/plan"
	"fescuelanding/fleet/record"
)

func TestPlanIsBounded(t *testing.T) {
	const most = 256
	w := newWorld(t, size(t, "large"), plan.Plan)
	w.run(_tick)
	gone := w.named("dc0")
	assert.Assert(t, len(gone) > most)
	for _, h := range gone {
		w.offList[h] = time.Time{}
	}
	for range 2 {
		w.now = w.now.Add(time.Minute)
		w.seen.UpdateList(w.list(), w.now)
	}
	assert.Equal(t, len(plan.Plan(w.state, w.seen, w.now)), most)
	assert.Equal(t, plan.Explain(w.state, w.seen, gone[len(gone)-1], w.now).Rule(), plan.RuleLimit)
	w.step()
	for _, h := range gone {
		s, _ := w.state.Host(h)
		assert.Equal(t, s.Duty(), fleet.Failed)
	}
}

func TestFewestInFlightGoesFirst(t *testing.T) {
	w := newWorld(t, size(t, "association"), plan.Plan)
	w.run(_tick)
	w.must(waveStart("w"))
	first := firstDrain(w)
	w.seen.SetInFlight(first, 7)
	second := firstDrain(w)
	assert.Assert(t, first != second)
	h, _ := w.state.Config().Host(first)
	o, _ := w.state.Config().Host(second)
	assert.Equal(t, h.Rack(), o.Rack())
}

// firstDrain returns the first host that a plan drains.
func firstDrain(w *world) string {
	for _, r := range plan.Plan(w.state, w.seen, w.now) {
		if r.GetHostDrain() != nil {
			return r.GetHostDrain().GetHost()
		}
	}
	return ""
}

func TestNoPlannerProposesNothing(t *testing.T) {
	s := new(fleet.State)
	c := size(t, "association")
	r := &record.Record{Body: &record.Record_ConfigChange{ConfigChange: s.Config().Diff(c)}}
	assert.NilError(t, s.Apply(1, r))
	assert.Equal(t, len(plan.Plan(s, plan.Observations{}, _start)), 0)
	e := plan.Explain(s, plan.Observations{}, c.Hosts()[0].Name(), _start)
	assert.Equal(t, e.Rule(), plan.RuleNoPlanner)
	assert.Equal(t, plan.Explain(s, plan.Observations{}, "nowhere", _start), plan.Explanation{})
}
