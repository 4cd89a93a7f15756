package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var _epoch = time.Unix(1_000_000, 0)

// drawWorkspaces draws configured workspaces and what each has waiting.
func drawWorkspaces(t *rapid.T) (*Shares, *Backlog, []Workspace) {
	var l []Workspace
	var b Backlog
	for i := range rapid.IntRange(1, 20).Draw(t, "workspaces") {
		w := Workspace{fmt.Sprint("w", i), rapid.Float64Range(0.5, 50).Draw(t, "weight")}
		l = append(l, w)
		if v := rapid.Float64Range(0, 1000).Draw(t, "waiting"); v > 100 {
			b.Add(Standing(rapid.IntRange(0, _standings-1).Draw(t, "standing")), w.Name, v)
		}
	}
	var s Shares
	s.Configure(_epoch, l)
	return &s, &b, l
}

// TestNoStarvation: what goes before a workspace's job is at most its own work, divided by
// its share of all weights, and what has a higher standing.
func TestNoStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, b, l := drawWorkspaces(t)
		w := l[rapid.IntRange(0, len(l)-1).Draw(t, "of")]
		v := Standing(rapid.IntRange(0, _standings-1).Draw(t, "at"))
		work := rapid.Float64Range(1, 100).Draw(t, "work")
		sum := 0.0
		for _, x := range l {
			sum += x.Weight
		}
		higher := 0.0
		if v > 0 {
			higher = b.Until(v - 1)
		}
		own := b.waiting[v][w.Name] + work
		ahead := s.Ahead(_epoch, b, v, w.Name, work, 100)
		assert.Assert(t, ahead+work <= higher+own*sum/w.Weight*1.000001)
	})
}

// TestWorkConservation: without others submitting, no job waits for more than all that waits
// at its standing and above, and the last job of all for exactly that.
func TestWorkConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, b, l := drawWorkspaces(t)
		w := l[rapid.IntRange(0, len(l)-1).Draw(t, "of")].Name
		v := Standing(rapid.IntRange(0, _standings-1).Draw(t, "at"))
		all := b.Until(v) * 1.000001
		assert.Assert(t, s.Ahead(_epoch, b, v, w, rapid.Float64Range(1, 100).Draw(t, "work"), 100) <= all)
		assert.Assert(t, s.Ahead(_epoch, b, v, w, 1e9, 100) >= all*0.999998)
	})
}

// TestOrder: every candidate starts once, those of a workspace in their order, and while two
// workspaces wait, neither gets more than its share and one job each.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _, l := drawWorkspaces(t)
		var c []Candidate
		for range rapid.IntRange(1, 200).Draw(t, "jobs") {
			c = append(c, Candidate{
				l[rapid.IntRange(0, len(l)-1).Draw(t, "of")].Name, rapid.Float64Range(0.1, 20).Draw(t, "work"),
			})
		}
		order := s.Order(c)
		assert.Equal(t, len(order), len(c))
		left, last := map[string]int{}, map[string]int{}
		for _, x := range c {
			left[x.Workspace]++
		}
		got := map[string]float64{}
		for _, i := range order {
			n := c[i].Workspace
			if k, ok := last[n]; ok {
				assert.Assert(t, k < i)
			}
			last[n] = i
			for _, x := range l {
				if left[x.Name] > 0 {
					assert.Assert(t, got[n]/s.weight(n) <= (got[x.Name]+20)/x.Weight+1e-6)
				}
			}
			got[n] += c[i].Work
			left[n]--
		}
	})
}

// TestEntitlement: in any period no more jobs are entitled than the weight allows for it, and
// a burst.
func TestEntitlement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0.1, 20).Draw(t, "weight")
		var s Shares
		s.Configure(_epoch, []Workspace{{"w", weight}})
		now, entitled := _epoch, 0
		for range rapid.IntRange(1, 300).Draw(t, "jobs") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			if s.Entitle(now, "w", 1) {
				entitled++
			}
			most := now.Sub(_epoch).Seconds()*weight + max(1, weight*_burst.Seconds())
			assert.Assert(t, float64(entitled) <= most+1e-6)
		}
	})
}

// TestReturns: of callers refused together for the same wait none with a better claim is told
// to return later, in no second more return than the pool takes in it and one, no place is
// kept for long, and their number is bounded.
func TestReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Places
		n := rapid.IntRange(1, 60).Draw(t, "callers")
		rate, wait := rapid.Float64Range(10, 100).Draw(t, "rate"), time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait"))*time.Millisecond
		perSecond := map[time.Duration]float64{}
		former := time.Duration(0)
		for i := range n {
			c := Caller{Job: fmt.Sprint(i), First: _epoch.Add(time.Duration(i) * time.Millisecond), Work: rapid.Float64Range(0.1, 4).Draw(t, "work")}
			after := p.Assign(_epoch, c, wait, rate)
			assert.Assert(t, after >= former && after >= wait && after >= time.Second && after%time.Second == 0)
			former = after
			perSecond[after] += c.Work
			assert.Assert(t, perSecond[after] < rate+4)
		}
		assert.Equal(t, p.Len(), n)
		late := Caller{First: _epoch.Add(time.Hour), Standing: SurplusLate}
		assert.Assert(t, p.Kept(_epoch.Add(former), late) > 0)
		assert.Equal(t, p.Kept(_epoch.Add(former+_placeGrace), late), 0.0)
		p.Leave("0")
		p.Leave("0")
		assert.Equal(t, p.Len(), n-1)
	})
}

// TestPlacesAreBounded: a pool that refuses everybody keeps a limited number of places.
func TestPlacesAreBounded(t *testing.T) {
	var p Places
	for i := range _maxPlaces + 100 {
		p.Assign(_epoch, Caller{Job: fmt.Sprint(i), First: _epoch, Work: 1}, 0, 1e6)
	}
	assert.Equal(t, p.Len(), _maxPlaces)
	assert.Equal(t, len(p.byJob), _maxPlaces)
	p.Assign(_epoch.Add(time.Minute), Caller{Job: "x", Work: 1}, 0, 1)
	assert.Equal(t, p.Len(), 1)
	assert.Equal(t, len(p.byJob), 1)
}

// TestNewOwner: after a takeover at any time a workspace gets at most one burst more than the
// former owner would have given it.
func TestNewOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0.1, 20).Draw(t, "weight")
		var former, successor Shares
		former.Configure(_epoch, []Workspace{{"w", weight}})
		now := _epoch
		pause := func() {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
		}
		for range rapid.IntRange(0, 100).Draw(t, "before") {
			pause()
			former.Entitle(now, "w", 1)
		}
		successor.Configure(now, []Workspace{{"w", weight}})
		more := 0
		for range rapid.IntRange(1, 100).Draw(t, "after") {
			pause()
			if successor.Entitle(now, "w", 1) {
				more++
			}
			if former.Entitle(now, "w", 1) {
				more--
			}
			assert.Assert(t, more >= 0 && float64(more) <= max(1, weight*_burst.Seconds())+1)
		}
	})
}
