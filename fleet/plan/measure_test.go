package plan_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/fleet"
	"fescuelanding/fleet/config"
	"fescuelanding/fleet/config/configtest"
	"fescuelanding/fleet/plan"
	"fescuelanding/fleet/record"
)

const (
	_settleTime  = 5 * time.Minute
	_maxDuration = 30 * 24 * time.Hour
)

// loadFleet returns the configuration of a fleet by name.
func loadFleet(t assert.TestingT, name string) config.Config {
	if name == "large" {
		c, err := configtest.Large()
		assert.NilError(t, err)
		return c
	}
	text, err := os.ReadFile(filepath.Join("..", "..", "operator", "testdata", name+".ini"))
	assert.NilError(t, err)
	c, err := config.Parse(text)
	assert.NilError(t, err)
	return c
}

// figures are the results of one scenario.
type figures struct {
	// took is the duration of the scenario, and bound the shortest possible one.
	took, bound time.Duration
	moves       int
	// spare is the average number of available spare hosts.
	spare float64
	// needed is the number of required spares before the scenario.
	needed int
}

// _scenarios are the scenarios that the planners are compared in.
var _scenarios = map[string]func(*simulation) figures{
	"wave":       measureWave,
	"recall":     measureRecall,
	"rackLoss":   measureRackLoss,
	"rackInWave": measureRackInWave,
}

// measure runs a scenario in a settled fleet and adds the figures common to all
// scenarios.
func measure(t assert.TestingT, c config.Config, p planner, scenario func(*simulation) figures) figures {
	m := newSimulation(t, c, p)
	m.run(_settleTime)
	m.spareHostTicks, m.ticks = 0, 0
	needed := plan.CurrentReserve(m.state).Needed()
	f := scenario(m)
	f.moves, f.needed, f.spare = m.moves, needed, float64(m.spareHostTicks)/float64(max(m.ticks, 1))
	return f
}

func waveStart(name string) *record.Record {
	return &record.Record{Body: &record.Record_WaveStart{WaveStart: &record.WaveStart{Wave: name}}}
}

func measureWave(m *simulation) figures {
	b := bound(m, func(fleet.Host) bool { return true })
	m.mustApply(waveStart("w"))
	return figures{took: m.runUntil(_maxDuration, func() bool { return len(m.state.Waves()) == 0 }), bound: b}
}

func measureRecall(m *simulation) figures {
	batch := m.state.Config().Hosts()[0].Batch()
	b := bound(m, func(h fleet.Host) bool {
		c, _ := m.state.Config().Host(h.Name())
		return c.Batch() == batch
	})
	m.mustApply(&record.Record{Body: &record.Record_RecallStart{RecallStart: &record.RecallStart{Recall: "r", Batch: batch}}})
	return figures{bound: b, took: m.runUntil(_maxDuration, func() bool {
		n := m.state.Recalls()[0].Progress()
		return n.Done() == n.Total()
	})}
}

// measureRackLoss measures the time from the loss of the worst rack until every pool
// meets its budget again. The bound is the lag of the live list.
func measureRackLoss(m *simulation) figures {
	lost := m.hostsIn(worstRack(m))
	for _, h := range lost {
		m.offList[h] = time.Time{}
	}
	return figures{
		bound: m.state.Config().Fleet().LiveListLag(),
		took: m.runUntil(_maxDuration, func() bool {
			return totalShortfall(m) == 0 && !slices.ContainsFunc(lost, func(n string) bool {
				h, _ := m.state.Host(n)
				return h.Duty() == fleet.Serving
			})
		}),
	}
}

func measureRackInWave(m *simulation) figures {
	m.mustApply(waveStart("w"))
	m.run(_reboot / 2)
	return measureRackLoss(m)
}

// totalShortfall returns how many hosts the pools lack for their budgets.
func totalShortfall(m *simulation) int {
	n := 0
	for _, l := range m.state.Config().Pools() {
		c, _ := m.state.Pool(l.Name())
		n += max(0, c.Budget()-c.Available())
	}
	return n
}

// worstRack returns the rack whose loss leaves the largest total shortfall.
func worstRack(m *simulation) string {
	lost := map[string]map[string]int{}
	for _, h := range m.state.Config().Hosts() {
		s, _ := m.state.Host(h.Name())
		r := h.DataCentre() + "/" + h.Rack()
		if lost[r] == nil {
			lost[r] = map[string]int{}
		}
		if s.Available() {
			lost[r][s.Pool()]++
		}
	}
	worst, most := "", -1
	for r, pools := range lost {
		n := 0
		for l, k := range pools {
			c, _ := m.state.Pool(l)
			n += max(0, c.Budget()-c.Available()+k)
		}
		if n > most || n == most && r < worst {
			worst, most = r, n
		}
	}
	return worst
}

// bound returns the shortest time that work on the selected hosts can take. It is
// the longer of two: the time of the slowest pool that works in place, and the time
// of all hosts together if as many are out at once as maxOut allows.
func bound(m *simulation, selected func(fleet.Host) bool) time.Duration {
	hosts, all := map[string]int{}, 0
	for _, h := range m.state.Hosts() {
		if selected(h) {
			hosts[h.Pool()]++
			all++
		}
	}
	rounds := ceilDiv(all, maxOut(m))
	for l, n := range hosts {
		c, _ := m.state.Pool(l)
		if headroom := c.Available() - c.Budget(); headroom > 0 {
			rounds = max(rounds, ceilDiv(n, headroom))
		}
	}
	return time.Duration(rounds) * m.reboot
}

// maxOut returns how many hosts can be out at once while the headroom of all pools
// still covers the loss of any one rack. It assumes that the hosts that are out are
// spread over the largest racks.
func maxOut(m *simulation) int {
	racks, headroom := map[string]int{}, 0
	for _, h := range m.state.Config().Hosts() {
		racks[h.DataCentre()+"/"+h.Rack()]++
	}
	for _, l := range m.state.Config().Pools() {
		c, _ := m.state.Pool(l.Name())
		headroom += c.Available() - c.Budget()
	}
	largest, count := 0, 0
	for _, n := range racks {
		if n > largest {
			largest, count = n, 0
		}
		if n == largest {
			count++
		}
	}
	out := headroom
	for out > 1 && out+largest-ceilDiv(out, count) > headroom {
		out--
	}
	return max(out, 1)
}

func ceilDiv(n, by int) int { return (n + by - 1) / by }

// withWeightsOf returns the fleet c with the weights of other.
func withWeightsOf(t assert.TestingT, c, other config.Config) config.Config {
	i := slices.IndexFunc(other.Sections(), func(s *record.Section) bool { return s.GetKind() == config.KindFleet })
	r, err := c.With(&record.ConfigChange{Set: other.Sections()[i : i+1]})
	assert.NilError(t, err)
	return r
}

// TestRollOutIsNearItsBound guards against slow roll-outs: at both users' sizes, waves
// and recalls take at most 1.25 times their bound.
func TestRollOutIsNearItsBound(t *testing.T) {
	const most = 1.25
	for _, user := range []string{"association", "paddockpick"} {
		for _, name := range []string{"wave", "recall"} {
			f := measure(t, loadFleet(t, user), plan.Plan, _scenarios[name])
			assert.Assert(t, f.took <= time.Duration(most*float64(f.bound)), "%s %s took %v of %v", user, name, f.took, f.bound)
		}
	}
}

// TestWeightsTradeBufferForMoves guards against a planner that ignores the weights: on
// the same fleet the Association's weights must hold less spare capacity than
// Paddockpick's, and Paddockpick's must cause fewer moves.
func TestWeightsTradeBufferForMoves(t *testing.T) {
	a, p := loadFleet(t, "association"), loadFleet(t, "paddockpick")
	for _, c := range []config.Config{a, p} {
		lowBuffer := measure(t, withWeightsOf(t, c, a), plan.Plan, measureWave)
		fewMoves := measure(t, withWeightsOf(t, c, p), plan.Plan, measureWave)
		assert.Assert(t, lowBuffer.spare < fewMoves.spare, "%v %v", lowBuffer.spare, fewMoves.spare)
		assert.Assert(t, fewMoves.moves < lowBuffer.moves, "%v %v", fewMoves.moves, lowBuffer.moves)
	}
}

// BenchmarkMeasure runs each scenario once and reports its figures as metrics. The
// benchmark's own time has no meaning. The fleet largeLean is large with the
// Association's weights, under which the planner holds fewer spares.
func BenchmarkMeasure(b *testing.B) {
	planners := map[string]func() planner{
		"plan":       func() planner { return plan.Plan },
		"oneAtATime": func() planner { return oneAtATime },
		"moveEach":   func() planner { return new(moveEach).plan },
	}
	for _, user := range []string{"association", "paddockpick", "large", "largeLean"} {
		c := loadFleet(b, strings.TrimSuffix(user, "Lean"))
		if user == "largeLean" {
			c = withWeightsOf(b, c, loadFleet(b, "association"))
		}
		for _, scenario := range []string{"wave", "recall", "rackLoss", "rackInWave"} {
			for _, name := range []string{"plan", "oneAtATime", "moveEach"} {
				if user == "largeLean" && name != "plan" {
					continue // The baselines ignore the weights.
				}
				b.Run(fmt.Sprintf("%s/%s/%s", user, scenario, name), func(b *testing.B) {
					for b.Loop() {
						f := measure(b, c, planners[name](), _scenarios[scenario])
						b.ReportMetric(0, "ns/op")
						b.ReportMetric(f.took.Minutes(), "min")
						b.ReportMetric(f.bound.Minutes(), "boundMin")
						b.ReportMetric(float64(f.moves), "moves")
						b.ReportMetric(f.spare, "spare")
						b.ReportMetric(float64(f.needed), "needed")
					}
				})
			}
		}
	}
}

// BenchmarkPlan measures one call of plan.Plan on the large fleet. leanWave is a wave
// with the Association's weights, under which the planner holds fewer spares.
func BenchmarkPlan(b *testing.B) {
	for _, name := range []string{"rest", "wave", "leanWave", "dataCentreLoss"} {
		b.Run(name, func(b *testing.B) {
			c := loadFleet(b, "large")
			if name == "leanWave" {
				c = withWeightsOf(b, c, loadFleet(b, "association"))
			}
			m := newSimulation(b, c, plan.Plan)
			m.run(2 * _tick)
			if name == "wave" || name == "leanWave" {
				m.mustApply(waveStart("w"))
			}
			if name == "dataCentreLoss" {
				for _, h := range m.hostsIn("dc0") {
					m.offList[h] = time.Time{}
				}
				m.observations.UpdateList(m.list(), m.now.Add(time.Second))
				m.now = m.now.Add(time.Minute)
				m.observations.UpdateList(m.list(), m.now)
			}
			for b.Loop() {
				plan.Plan(m.state, m.observations, m.now)
			}
		})
	}
}
