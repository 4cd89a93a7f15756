package hostplan

import (
	"cmp"
	"slices"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

// Settings of a planner. Weights that are zero stand for the defaults.
type Settings struct {
	// MoveTime and Upkeep are how long a host is away for either.
	MoveTime   time.Duration
	UpkeepTime time.Duration
	// OrdersPerS is how many orders about hosts the cloud interface takes.
	OrdersPerS float64
	// Lease is the least time between orders of two holders for one host.
	Lease time.Duration
}

// Pool is what is known of a pool.
type Pool struct {
	Name    string
	Standby bool
	// Load is nil while the owner doesn't answer.
	Load *link.PoolLoad
}

// View is what the caller observed.
type View struct {
	Machines []platform.Machine
	// ListedAt is when the hosts were listed.
	ListedAt time.Time
	Pools    []Pool
}

// Op is something that the planner wants done.
type Op interface{ op() }

// Move sends a host to another pool, which ends the life of its upstream; Ordered
// answers.
type Move struct{ Machine, Upstream, Pool string }

// Upkeep takes a host down for a wave, which ends the life of its upstream; Ordered
// answers.
type Upkeep struct {
	Machine  string
	Upstream string
	Wave     int64
}

// WaveReport says how far a wave is.
type WaveReport struct {
	Wave      int64
	Completed bool
}

// LogLine is a decision worth a line in the log.
type LogLine struct {
	Message string
	Args    []any
}

func (Move) op() {}

func (Upkeep) op() {}

func (WaveReport) op() {}

func (LogLine) op() {}

// Planner decides for all hosts.
type Planner struct {
	set    Settings
	waves  []*wave
	tasks  map[string]*errand
	view   View
	byName map[string]platform.Machine
	pools  map[string]*poolState
	ops    []Op
	// absent are hosts that owners know and the list doesn't have.
	absent map[string]absence
	// touched are the last orders of former holders, by host.
	touched map[string]touch
	// gone are the upstreams by pool whose lives are over.
	gone map[string][]*link.Gone
	// begun is set when the last step began something with a host.
	begun bool
	// credit is how many orders may be given now, as of creditAt.
	credit   float64
	creditAt time.Time
	// summarised is when the pools were last noted.
	summarised time.Time
}

// errand is what is being done with a host.
type errand struct {
	machine  platform.Machine
	wave     int64
	to       string
	since    time.Time
	ordering bool
	// ordered is when the order was confirmed.
	ordered time.Time
	retryAt time.Time
}

// New returns a planner that knows of no wave.
func New(s Settings) *Planner {
	return &Planner{set: s, tasks: make(map[string]*errand), pools: make(map[string]*poolState)}
}

// AddWave takes in a wave; begun are its hosts whose upkeep has begun.
func (p *Planner) AddWave(now time.Time, w platform.Wave, begun []string) {
	for _, x := range p.waves {
		if x.Number == w.Number {
			x.Wave = w
			return
		}
	}
	n := &wave{Wave: w, due: now.Add(w.Within), begun: make(map[string]bool)}
	for _, m := range begun {
		n.begun[m] = true
	}
	p.waves = append(p.waves, n)
}

// touch is an order of a former holder, which may be carried out yet.
type touch struct {
	at time.Time
	// upstream is the life that the order ends.
	upstream string
}

// AddPriorOrder says when a former holder was about to order a host, whose upstream was
// vacant.
func (p *Planner) AddPriorOrder(machine, upstream string, at time.Time) {
	if p.touched == nil {
		p.touched = make(map[string]touch)
	}
	p.touched[machine] = touch{at, upstream}
}

// recently reports whether a former holder's order for a host may be carried out yet.
func (p *Planner) recently(now time.Time, machine string) bool {
	return now.Sub(p.touched[machine].at) < p.set.Lease+_clockMargin
}

// LoadRequest returns what the owner of a pool is told when it is asked for its load.
func (p *Planner) LoadRequest(now time.Time, pool string) *link.Load {
	l := &link.Load{Arrivals: p.arrivals(now, pool), Gone: p.gone[pool]}
	for _, name := range sorted(p.tasks) {
		t := p.tasks[name]
		// A host that was ordered away stays in the list for a while.
		if t.machine.Pool == pool && t.machine.Upstream != "" && (t.wave != 0 || t.to != "") {
			l.Vacate = append(l.Vacate, t.machine.Upstream)
		}
	}
	for _, name := range sorted(p.touched) {
		u := p.touched[name].upstream
		m := p.byName[name]
		// Before the first list, each pool may have it.
		there := len(p.byName) == 0 || m.Pool == pool && m.Upstream == u
		if u != "" && there && p.recently(now, name) {
			// It was vacant, and nothing may begin there before the order comes.
			l.Vacate = append(l.Vacate, u)
		}
	}
	l.Due = p.due(pool)
	return l
}

// due lists the upstreams of a pool whose hosts a wave has yet to take down.
func (p *Planner) due(pool string) []string {
	var l []string
	for _, w := range p.waves {
		for _, name := range w.Machines {
			if m := p.byName[name]; m.Pool == pool && m.Upstream != "" && !w.begun[name] {
				l = append(l, m.Upstream)
			}
		}
	}
	return l
}

// Result is the answer to an order.
type Result uint8

// Results of an order.
const (
	// Unknown: it may be carried out later; it is repeated.
	Unknown Result = iota
	// Done: it was carried out.
	Done
	// Busy: the host can't go now.
	Busy
	// Refused: it can't be carried out at all.
	Refused
	// NotSent: it was never sent.
	NotSent
)

// _retryOrder is the pause before an order is repeated.
const _retryOrder = 250 * time.Millisecond

// HandleOrderResult takes in the answer to a Move or an Upkeep.
func (p *Planner) HandleOrderResult(now time.Time, machine string, r Result) {
	t := p.tasks[machine]
	if t == nil {
		return
	}
	t.ordering = false
	switch r {
	case Done:
		t.ordered = now
		if t.wave != 0 {
			p.began(t.wave, machine)
		}
	case NotSent:
	case Unknown:
		t.retryAt = now.Add(_retryOrder)
	case Busy, Refused:
		if r == Refused && t.wave != 0 {
			p.began(t.wave, machine)
		}
		t.to, t.wave = "", 0
		t.ordered = now
	}
}

// Step decides by what was observed.
func (p *Planner) Step(now time.Time, v View) []Op {
	p.ops, p.begun = nil, false
	p.view = v
	p.byName = make(map[string]platform.Machine, len(v.Machines))
	for _, m := range v.Machines {
		p.byName[m.Name] = m
	}
	p.refill(now)
	p.observe(now)
	p.standIns()
	p.bereave()
	p.advance(now)
	p.finishWaves(now)
	p.upkeeps(now)
	p.moves(now)
	p.summarise(now)
	return p.ops
}

// _summaryInterval is between two lines about all pools.
const _summaryInterval = time.Second

// summarise notes what is believed of the pools.
func (p *Planner) summarise(now time.Time) {
	if now.Sub(p.summarised) < _summaryInterval {
		return
	}
	p.summarised = now
	for _, name := range sorted(p.pools) {
		s := p.pools[name]
		p.emit(LogLine{"Pool planned.", []any{
			"pool", name, "hosts", s.hosts, "away", s.away, "need", s.need, "base", s.base,
			"demand", s.load.GetDemand(), "backlog", s.load.GetBacklog(), "lasting", s.load.GetLasting(),
			"capacity", s.load.GetCapacity(), "errands", len(p.tasks),
		}})
	}
}

func (p *Planner) emit(o Op) { p.ops = append(p.ops, o) }

// _giveUp is how long a host is waited for that doesn't become vacant.
const _giveUp = 6 * time.Second

// advance goes on with what was begun.
func (p *Planner) advance(now time.Time) {
	for _, name := range sorted(p.tasks) {
		t := p.tasks[name]
		m, there := p.byName[name]
		switch {
		case !there:
			delete(p.tasks, name)
		case !t.ordered.IsZero():
			// The list shows an order somewhat later than it was confirmed.
			if m.State == platform.MachineUp && now.Sub(t.ordered) > _listLag || now.Sub(t.ordered) > _giveUp {
				delete(p.tasks, name)
			}
		case t.ordering || now.Before(t.retryAt):
		case !t.retryAt.IsZero() || p.vacant(t):
			p.order(t)
		case m.State != platform.MachineUp || m.Upstream != t.machine.Upstream ||
			t.to != "" && now.Sub(t.since) > _giveUp:
			delete(p.tasks, name)
		}
	}
}

// vacant reports whether nothing runs on the host any more.
func (p *Planner) vacant(t *errand) bool {
	s := p.pools[t.machine.Pool]
	return t.machine.Upstream == "" || s.idle() || s.fresh && slices.Contains(s.load.GetVacant(), t.machine.Upstream)
}

// _listLag is how far the list of hosts may be behind an order.
const _listLag = time.Second

// order sends a vacant host away, unless too many of its wave are down.
func (p *Planner) order(t *errand) {
	name := t.machine.Name
	if t.wave == 0 {
		if p.spend() {
			t.ordering = true
			p.emit(Move{name, t.machine.Upstream, t.to})
		}
		return
	}
	w := p.wave(t.wave)
	if w == nil || t.retryAt.IsZero() && p.down(w) >= w.AtOnce || !p.spend() {
		return
	}
	t.ordering = true
	p.emit(Upkeep{name, t.machine.Upstream, t.wave})
}

// candidate is a host that may go.
type candidate struct {
	machine platform.Machine
	pool    *poolState
	runs    int
	lasting int
}

// _clockMargin is how far the clocks of two entries may be apart.
const _clockMargin = 300 * time.Millisecond

// candidates are hosts that are up and about which nothing is under way, those
// that cost least first.
func (p *Planner) candidates(now time.Time, keep func(platform.Machine) bool) []candidate {
	var l []candidate
	for _, m := range p.view.Machines {
		ps := p.pools[m.Pool]
		if ps == nil || p.tasks[m.Name] != nil || m.State != platform.MachineUp || !keep(m) ||
			p.recently(now, m.Name) {
			continue
		}
		runs, lasting := ps.runs(m.Upstream)
		l = append(l, candidate{m, ps, runs, lasting})
	}
	slices.SortStableFunc(l, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(order(!a.pool.standby), order(!b.pool.standby)),
			cmp.Compare(a.lasting, b.lasting), cmp.Compare(a.runs, b.runs),
			cmp.Compare(a.machine.Name, b.machine.Name),
		)
	})
	return l
}

func order(last bool) int {
	if last {
		return 1
	}
	return 0
}

func (p *Planner) begin(now time.Time, m platform.Machine, wave int64, to string) {
	t := &errand{machine: m, wave: wave, to: to, since: now}
	p.tasks[m.Name] = t
	p.begun = true
	// Nothing runs in a standby pool.
	if p.pools[m.Pool].idle() || m.Upstream == "" {
		p.order(t)
	}
}

func sorted[V any](m map[string]V) []string {
	l := make([]string, 0, len(m))
	for k := range m {
		l = append(l, k)
	}
	slices.Sort(l)
	return l
}
