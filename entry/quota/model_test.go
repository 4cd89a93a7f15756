package quota

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fescuelanding/platform"
)

const (
	_modelPools = 3
	_modelName  = "w"
)

// TestMain sets the flags of the property test that weren't given: a fixed seed, and
// histories that are long enough for the limit to be reached.
func TestMain(m *testing.M) {
	flag.Parse()
	unset := map[string]string{"rapid.seed": "20261204", "rapid.steps": "200", "rapid.checks": "2000"}
	flag.Visit(func(f *flag.Flag) { delete(unset, f.Name) })
	for k, v := range unset {
		if err := flag.Set(k, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// modelPool is a pool of the model with what runs on its upstreams.
type modelPool struct {
	name string
	// owners are the owner and those it has replaced that aren't fenced off yet.
	owners []*modelOwner
	runs   []Amount
}

// modelOwner is an owner of a pool. A former one starts what waited when it was replaced.
type modelOwner struct {
	holder  Holder
	waiting []Amount
	// token and sequence are the highest that a planner has sent.
	token, sequence int64
}

// modelGrant is a call of a planner that is under way.
type modelGrant struct {
	pool            int
	grant           Grant
	token, sequence int64
}

// model is a giver, the owners of several pools, and their upstreams.
type model struct {
	now      time.Time
	giver    Giver
	token    int64
	sequence int64
	owners   int64
	pools    [_modelPools]*modelPool
	// delayed are the calls that arrive late.
	delayed []modelGrant
	// limits are those that the configurations contained, with the time until which each
	// may be in force.
	limits []modelLimit
}

type modelLimit struct {
	amount Amount
	until  time.Time
}

func newModel() *model {
	m := &model{now: _startTime}
	for i := range m.pools {
		m.pools[i] = &modelPool{name: string(rune('a' + i))}
		m.newOwner(i)
	}
	m.setLimit(Amount{MilliCPU: 100, GPUs: 6})
	m.newGiver()
	return m
}

func (m *model) workspaces() []platform.Workspace {
	return []platform.Workspace{{Name: _modelName, Limit: m.limits[len(m.limits)-1].amount}}
}

func (m *model) newGiver() {
	m.token++
	m.giver, m.sequence = Giver{}, 0
	m.configure()
}

func (m *model) configure() {
	var names []string
	for _, p := range m.pools {
		names = append(names, p.name)
	}
	m.giver.Configure(m.now, m.workspaces(), names)
	for _, p := range m.pools {
		for _, o := range p.owners {
			o.holder.Configure(m.workspaces())
		}
	}
}

func (m *model) newOwner(pool int) {
	m.owners++
	o := &modelOwner{holder: NewHolder(m.owners)}
	p := m.pools[pool]
	if n := len(p.owners); n > 0 {
		// What the former owner runs and what it may still start is unknown.
		var a Amount
		for _, r := range p.runs {
			a = Sum(a, r)
		}
		o.waiting = append(o.waiting, p.owners[n-1].waiting...)
		for _, w := range o.waiting {
			a = Sum(a, w)
		}
		o.holder.SetUnknown(map[string]Amount{_modelName: a})
	}
	if len(m.limits) > 0 {
		o.holder.Configure(m.workspaces())
	}
	p.owners = append(p.owners, o)
}

// fence ends the former owners of a pool. The owner has found what runs.
func (m *model) fence(pool int) {
	p := m.pools[pool]
	n := len(p.owners)
	if n < 2 {
		return
	}
	o := p.owners[n-1]
	// Tasks that a former owner has started no longer wait.
	o.waiting = append([]Amount(nil), p.owners[0].waiting...)
	o.holder.SetUnknown(nil)
	for _, r := range p.runs {
		o.holder.Count(_modelName, r, 1)
	}
	p.owners = []*modelOwner{o}
}

func (m *model) setLimit(a Amount) {
	for i := range m.limits {
		if m.limits[i].until.IsZero() {
			m.limits[i].until = m.now.Add(Validity)
		}
	}
	m.limits = append(m.limits, modelLimit{amount: a})
}

// bound returns the highest limit that may be in force.
func (m *model) bound() Amount {
	var a Amount
	for _, l := range m.limits {
		if l.until.IsZero() || !l.until.Before(m.now) {
			a = Larger(a, bound(l.amount))
		}
	}
	return a
}

// start starts the first task that waits at an owner, if its share allows that.
func (m *model) start(t *rapid.T, pool, owner int) {
	p := m.pools[pool]
	o := p.owners[owner%len(p.owners)]
	if len(p.owners) > 1 && o == p.owners[len(p.owners)-1] {
		return // Its inherited tasks wait until its predecessors are fenced off.
	}
	if len(p.owners) > 2 && o != p.owners[0] {
		return // An owner that was replaced before it found what runs starts nothing.
	}
	if len(o.waiting) == 0 || !o.holder.Allows(m.now, _modelName, o.waiting[0]) {
		return
	}
	a := o.waiting[0]
	o.waiting = o.waiting[1:]
	o.holder.Count(_modelName, a, 1)
	p.runs = append(p.runs, a)
	var sum Amount
	for _, x := range m.pools {
		for _, r := range x.runs {
			sum = Sum(sum, r)
		}
	}
	if !fits(sum, a, m.bound()) {
		t.Fatalf("a start brings what runs to %+v, above %+v", sum, m.bound())
	}
}

// end ends a run. Former owners don't learn of it.
func (m *model) end(pool, run int) {
	p := m.pools[pool]
	if len(p.runs) == 0 {
		return
	}
	i := run % len(p.runs)
	r := p.runs[i]
	p.runs = append(p.runs[:i:i], p.runs[i+1:]...)
	if len(p.owners) == 1 {
		p.owners[0].holder.Count(_modelName, r, -1)
	}
}

// receive passes a call to the newest owner of its pool, which refuses one that is older
// than the last. It returns the owner's report.
func (m *model) receive(c modelGrant) (Report, bool) {
	p := m.pools[c.pool]
	o := p.owners[len(p.owners)-1]
	if c.token < o.token || c.token == o.token && c.sequence <= o.sequence {
		return Report{}, false
	}
	o.token, o.sequence = c.token, c.sequence
	o.holder.Apply(m.now, c.grant)
	r := o.holder.Report(m.now)
	u := Use{Running: o.holder.Running(_modelName)}
	for _, w := range o.waiting {
		u.Waiting, u.Unit = Sum(u.Waiting, w), Larger(u.Unit, w)
	}
	r.Use[_modelName] = u
	return r, true
}

// exchange runs a round. Each call is answered, lost, delayed, or its answer is lost.
func (m *model) exchange(t *rapid.T) {
	m.giver.Divide()
	m.sequence++
	for i, p := range m.pools {
		c := modelGrant{i, m.giver.Grant(p.name), m.token, m.sequence}
		switch rapid.SampledFrom([]string{"answered", "answered", "answered", "lost", "delayed", "answerLost"}).Draw(t, "call") {
		case "answered":
			if r, ok := m.receive(c); ok {
				m.giver.Reported(m.now, p.name, r)
				continue
			}
		case "delayed":
			m.delayed = append(m.delayed, c)
		case "answerLost":
			m.receive(c)
		}
		m.giver.Unanswered(p.name)
	}
}

// TestModel checks that no start brings what runs in all pools above the limit, whatever is
// lost, delayed, replaced, suspended or changed.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		pool := rapid.IntRange(0, _modelPools-1)
		some := rapid.IntRange(0, 1000)
		startSome := func(t *rapid.T) {
			i := pool.Draw(t, "pool")
			for range rapid.IntRange(1, 12).Draw(t, "starts") {
				m.start(t, i, some.Draw(t, "owner"))
			}
		}
		exchange := func(t *rapid.T) {
			m.now = m.now.Add(200 * time.Millisecond)
			m.exchange(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass":      func(t *rapid.T) { m.now = m.now.Add(time.Duration(some.Draw(t, "ms")) * 4 * time.Millisecond) },
			"exchange":  exchange,
			"exchange2": exchange,
			"start":     startSome,
			"start2":    startSome,
			"submit": func(t *rapid.T) {
				p := m.pools[pool.Draw(t, "pool")]
				a := Amount{MilliCPU: int64(rapid.IntRange(1, 40).Draw(t, "cpu")), GPUs: int64(rapid.IntRange(0, 2).Draw(t, "gpus"))}
				if len(p.owners) > 1 {
					return // What comes now waits for the owner that is taking over.
				}
				for range rapid.IntRange(1, 8).Draw(t, "tasks") {
					p.owners[0].waiting = append(p.owners[0].waiting, a)
				}
			},
			"end": func(t *rapid.T) { m.end(pool.Draw(t, "pool"), some.Draw(t, "run")) },
			"arrive": func(t *rapid.T) {
				if len(m.delayed) > 0 {
					i := some.Draw(t, "call") % len(m.delayed)
					c := m.delayed[i]
					m.delayed = append(m.delayed[:i:i], m.delayed[i+1:]...)
					m.receive(c)
				}
			},
			"owner":   func(t *rapid.T) { m.newOwner(pool.Draw(t, "pool")) },
			"fence":   func(t *rapid.T) { m.fence(pool.Draw(t, "pool")) },
			"planner": func(*rapid.T) { m.newGiver() },
			"limit": func(t *rapid.T) {
				m.setLimit(Amount{
					MilliCPU: int64(rapid.IntRange(20, 200).Draw(t, "cpu")), GPUs: int64(rapid.IntRange(0, 8).Draw(t, "gpus")),
				})
				m.configure()
			},
		})
	})
}
