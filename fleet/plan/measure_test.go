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
	_settle  = 5 * time.Minute
	_maximum = 30 * 24 * time.Hour
)

// size returns a fleet by name.
func size(t assert.TestingT, name string) config.Config {
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

// figures are the measures of one scenario.
type figures struct {
	took, bound time.Duration
	moves       int
	spare       float64
	needed      int
}

// scenarios are what the planners are measured by.
var _scenarios = map[string]func(*world) figures{
	"wave":       measureWave,
	"recall":     measureRecall,
	"rackLoss":   measureRackLoss,
	"rackInWave": measureRackInWave,
}

// measure runs a scenario in a settled world and fills in what all have.
func measure(t assert.TestingT, c config.Config, p planner, scenario func(*world) figures) figures {
	w := newWorld(t, c, p)
	w.run(_settle)
	w.spare, w.ticks = 0, 0
	needed := plan.CurrentReserve(w.state).Needed()
	f := scenario(w)
	f.moves, f.needed, f.spare = w.moves, needed, float64(w.spare)/float64(max(w.ticks, 1))
	return f
}

func waveStart(name string) *record.Record {
	return &record.Record{Body: &record.Record_WaveStart{WaveStart: &record.WaveStart{Wave: name}}}
}

func measureWave(w *world) figures {
	b := bound(w, func(fleet.Host) bool { return true })
	w.must(waveStart("w"))
	return figures{took: w.runUntil(_maximum, func() bool { return len(w.state.Waves()) == 0 }), bound: b}
}

func measureRecall(w *world) figures {
	batch := w.state.Config().Hosts()[0].Batch()
	b := bound(w, func(h fleet.Host) bool {
		c, _ := w.state.Config().Host(h.Name())
		return c.Batch() == batch
	})
	w.must(&record.Record{Body: &record.Record_RecallStart{RecallStart: &record.RecallStart{Recall: "r", Batch: batch}}})
	return figures{bound: b, took: w.runUntil(_maximum, func() bool {
		n := w.state.Recalls()[0].Progress()
		return n.Done() == n.Total()
	})}
}

// measureRackLoss measures how long it takes from the loss of the worst rack
// until every pool has its budget again. The bound is the lag of the list.
func measureRackLoss(w *world) figures {
	lost := w.named(worstRack(w))
	for _, h := range lost {
		w.offList[h] = time.Time{}
	}
	return figures{
		bound: w.state.Config().Fleet().LiveListLag(),
		took: w.runUntil(_maximum, func() bool {
			return lacking(w) == 0 && !slices.ContainsFunc(lost, func(n string) bool {
				h, _ := w.state.Host(n)
				return h.Duty() == fleet.Serving
			})
		}),
	}
}

func measureRackInWave(w *world) figures {
	w.must(waveStart("w"))
	w.run(_reboot / 2)
	return measureRackLoss(w)
}

// lacking returns how many hosts the pools lack for their budgets.
func lacking(w *world) int {
	n := 0
	for _, l := range w.state.Config().Pools() {
		c, _ := w.state.Pool(l.Name())
		n += max(0, c.Budget()-c.Available())
	}
	return n
}

// worstRack returns the rack whose loss leaves the pools lacking most.
func worstRack(w *world) string {
	lost := map[string]map[string]int{}
	for _, h := range w.state.Config().Hosts() {
		s, _ := w.state.Host(h.Name())
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
			c, _ := w.state.Pool(l)
			n += max(0, c.Budget()-c.Available()+k)
		}
		if n > most || n == most && r < worst {
			worst, most = r, n
		}
	}
	return worst
}

// bound returns the least time that work on some hosts can take: the longest of
// the pools' rounds in place, or the rounds of all hosts together where as many
// are out at once as leave the loss of a rack covered by all room there is.
func bound(w *world, concerns func(fleet.Host) bool) time.Duration {
	hosts, all := map[string]int{}, 0
	for _, h := range w.state.Hosts() {
		if concerns(h) {
			hosts[h.Pool()]++
			all++
		}
	}
	rounds := divideUp(all, atOnce(w))
	for l, n := range hosts {
		c, _ := w.state.Pool(l)
		if room := c.Available() - c.Budget(); room > 0 {
			rounds = max(rounds, divideUp(n, room))
		}
	}
	return time.Duration(rounds) * w.reboot
}

// atOnce returns how many hosts can be out while the loss of any rack is covered.
// Hosts that are out are taken to be spread over the largest racks.
func atOnce(w *world) int {
	racks, room := map[string]int{}, 0
	for _, h := range w.state.Config().Hosts() {
		racks[h.DataCentre()+"/"+h.Rack()]++
	}
	for _, l := range w.state.Config().Pools() {
		c, _ := w.state.Pool(l.Name())
		room += c.Available() - c.Budget()
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
	out := room
	for out > 1 && out+largest-divideUp(out, count) > room {
		out--
	}
	return max(out, 1)
}

func divideUp(n, by int) int { return (n + by - 1) / by }

// weighed returns a fleet with the weights of another.
func weighed(t assert.TestingT, c, other config.Config) config.Config {
	i := slices.IndexFunc(other.Sections(), func(s *record.Section) bool { return s.GetKind() == config.KindFleet })
	r, err := c.With(&record.ConfigChange{Set: other.Sections()[i : i+1]})
	assert.NilError(t, err)
	return r
}

// TestRollOutIsNearItsBound holds the planner to its aim at both users' sizes.
func TestRollOutIsNearItsBound(t *testing.T) {
	const most = 1.25
	for _, user := range []string{"association", "paddockpick"} {
		for _, name := range []string{"wave", "recall"} {
			f := measure(t, size(t, user), plan.Plan, _scenarios[name])
			assert.Assert(t, f.took <= time.Duration(most*float64(f.bound)), "%s %s took %v of %v", user, name, f.took, f.bound)
		}
	}
}

// TestWeightsDecide checks that on the same fleet the Association's weights hold
// back less than Paddockpick's, and Paddockpick's move less.
func TestWeightsDecide(t *testing.T) {
	a, p := size(t, "association"), size(t, "paddockpick")
	for _, c := range []config.Config{a, p} {
		lean := measure(t, weighed(t, c, a), plan.Plan, measureWave)
		still := measure(t, weighed(t, c, p), plan.Plan, measureWave)
		assert.Assert(t, lean.spare < still.spare, "%v %v", lean.spare, still.spare)
		assert.Assert(t, still.moves < lean.moves, "%v %v", still.moves, lean.moves)
	}
}

// BenchmarkMeasure runs each scenario once; its time says nothing.
func BenchmarkMeasure(b *testing.B) {
	planners := map[string]func() planner{
		"plan":       func() planner { return plan.Plan },
		"oneAtATime": func() planner { return oneAtATime },
		"moveEach":   func() planner { return new(moveEach).plan },
	}
	for _, user := range []string{"association", "paddockpick", "large", "largeLean"} {
		c := size(b, strings.TrimSuffix(user, "Lean"))
		if user == "largeLean" {
			c = weighed(b, c, size(b, "association"))
		}
		for _, scenario := range []string{"wave", "recall", "rackLoss", "rackInWave"} {
			for _, name := range []string{"plan", "oneAtATime", "moveEach"} {
				if user == "largeLean" && name != "plan" {
					continue // The baselines heed no weights.
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

func BenchmarkPlan(b *testing.B) {
	for _, name := range []string{"rest", "wave", "leanWave", "dataCentreLoss"} {
		b.Run(name, func(b *testing.B) {
			c := size(b, "large")
			if name == "leanWave" {
				c = weighed(b, c, size(b, "association"))
			}
			w := newWorld(b, c, plan.Plan)
			w.run(2 * _tick)
			if name == "wave" || name == "leanWave" {
				w.must(waveStart("w"))
			}
			if name == "dataCentreLoss" {
				for _, h := range w.named("dc0") {
					w.offList[h] = time.Time{}
				}
				w.seen.UpdateList(w.list(), w.now.Add(time.Second))
				w.now = w.now.Add(time.Minute)
				w.seen.UpdateList(w.list(), w.now)
			}
			for b.Loop() {
				plan.Plan(w.state, w.seen, w.now)
			}
		})
	}
}
