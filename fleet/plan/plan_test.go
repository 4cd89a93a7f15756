package plan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/fleet"
	"fescuelanding/fleet/plan"
	"fescuelanding/fleet/record"
)

// TestPlanIsBounded guards against plans that flood the log: the loss of a data
// centre exceeds the limit of one plan, and the next plan has the rest.
func TestPlanIsBounded(t *testing.T) {
	const most = 256
	m := newSimulation(t, loadFleet(t, "large"), plan.Plan)
	m.run(_tick)
	gone := m.hostsIn("dc0")
	assert.Assert(t, len(gone) > most)
	for _, h := range gone {
		m.offList[h] = time.Time{}
	}
	for range 2 {
		m.now = m.now.Add(time.Minute)
		m.observations.UpdateList(m.list(), m.now)
	}
	assert.Equal(t, len(plan.Plan(m.state, m.observations, m.now)), most)
	assert.Equal(t, plan.Explain(m.state, m.observations, gone[len(gone)-1], m.now).Rule(), plan.RuleLimit)
	m.step()
	for _, h := range gone {
		s, _ := m.state.Host(h)
		assert.Equal(t, s.Duty(), fleet.Failed)
	}
}

func TestFewestInFlightDrainsFirst(t *testing.T) {
	m := newSimulation(t, loadFleet(t, "association"), plan.Plan)
	m.run(_tick)
	m.mustApply(waveStart("w"))
	first := firstDrain(m)
	m.observations.SetInFlight(first, 7)
	second := firstDrain(m)
	assert.Assert(t, first != second)
	h, _ := m.state.Config().Host(first)
	o, _ := m.state.Config().Host(second)
	assert.Equal(t, h.Rack(), o.Rack())
}

// firstDrain returns the first host that a plan drains.
func firstDrain(m *simulation) string {
	for _, r := range plan.Plan(m.state, m.observations, m.now) {
		if r.GetHostDrain() != nil {
			return r.GetHostDrain().GetHost()
		}
	}
	return ""
}

func TestNoPlannerProposesNothing(t *testing.T) {
	s := new(fleet.State)
	c := loadFleet(t, "association")
	r := &record.Record{Body: &record.Record_ConfigChange{ConfigChange: s.Config().Diff(c)}}
	assert.NilError(t, s.Apply(1, r))
	assert.Equal(t, len(plan.Plan(s, plan.Observations{}, _start)), 0)
	e := plan.Explain(s, plan.Observations{}, c.Hosts()[0].Name(), _start)
	assert.Equal(t, e.Rule(), plan.RuleNoPlanner)
	assert.Equal(t, plan.Explain(s, plan.Observations{}, "nowhere", _start), plan.Explanation{})
}
