package hostplan

import (
	"math"
	"slices"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

const (
	// _headroom is the room kept above what is asked, as tasks don't pack
	// without gaps.
	_headroom = 1.25
	// _base is the part of the hosts of a pool that stay when nothing is asked,
	// so that a turn's first moments are served.
	_base = 2
	// _parkAfter is for how long a pool must have needed fewer hosts before one
	// goes to standby: a move there and back costs as much as some seconds of it.
	_parkAfter = 2500 * time.Millisecond
	// _giveAfter is the same before a host goes to a pool that is short.
	_giveAfter = 700 * time.Millisecond
	// _backlogSpan is how soon the backlog should be done.
	_backlogSpan = 1.5
)

// poolState is what the planner derives of a pool.
type poolState struct {
	name    string
	standby bool
	// load is the owner's last answer; fresh is set while that is the answer to
	// the last question.
	load    *link.PoolLoad
	fresh   bool
	hostCPU float64
	// hosts are up in the pool or on their way to it; away are those among them
	// that are leaving or down.
	hosts int
	away  int
	// need is how many hosts the pool should have, of which the first are base.
	need int
	base int
	// extra are hosts beside these that stand in for those which a wave takes down.
	extra int
	// since is when it was first observed.
	since time.Time
	// needs are those of the last while.
	needs []needAt
	cycle cycle
	// usual is the demand of the last seconds, as of usualAt.
	usual   float64
	usualAt time.Time
	// demands are those of the last while.
	demands []demandAt
}

// runs returns the runs of an upstream, and the long-running among them.
func (s *poolState) runs(upstream string) (all, lasting int) {
	for _, h := range s.load.GetHosts() {
		if h.GetUpstream() == upstream {
			return int(h.GetRuns()), int(h.GetLasting())
		}
	}
	return 0, 0
}

// idle reports whether nothing runs in the pool.
func (s *poolState) idle() bool { return s == nil || s.standby }

// observe derives the state of the pools.
func (p *Planner) observe(now time.Time) {
	seen := make(map[string]bool)
	for _, v := range p.view.Pools {
		seen[v.Name] = true
		s := p.pools[v.Name]
		if s == nil {
			s = &poolState{name: v.Name, since: now}
			p.pools[v.Name] = s
		}
		s.standby = v.Standby
		s.fresh = v.Load != nil
		if v.Load != nil {
			s.load = v.Load
			s.cycle.note(now, float64(v.Load.GetDemand()))
		}
		s.hosts, s.away = 0, 0
	}
	for name := range p.pools {
		if !seen[name] {
			delete(p.pools, name)
		}
	}
	for _, m := range p.view.Machines {
		p.count(m)
	}
	for _, s := range p.pools {
		s.assess(now, p.set.MoveTime)
	}
}

// count adds a host to the pool where it is or will be.
func (p *Planner) count(m platform.Machine) {
	pool := m.Pool
	t := p.tasks[m.Name]
	if t != nil && t.to != "" {
		pool = t.to
	}
	s := p.pools[pool]
	if s == nil || m.State == platform.MachineDown {
		return
	}
	s.hosts++
	if s.hostCPU == 0 {
		s.hostCPU = float64(m.Capacity.MilliCPU)
	}
	if m.State == platform.MachineUpkeep || t != nil && t.wave != 0 {
		s.away++
	}
}

// assess works out how many hosts the pool should have.
func (s *poolState) assess(now time.Time, move time.Duration) {
	if s.standby || s.load == nil || s.hostCPU <= 0 {
		s.need = 0
		return
	}
	rate := max(s.rise(now, float64(s.load.GetDemand()), move), s.cycle.forecast(now, move+_lead))
	backlog := float64(s.load.GetBacklog()) / _backlogSpan
	lasting := float64(s.load.GetLasting())
	s.need = int(math.Ceil((lasting + max(rate, backlog)*_headroom) / s.hostCPU))
	lastingHosts := 0
	for _, h := range s.load.GetHosts() {
		if h.GetLasting() > 0 {
			lastingHosts++
		}
	}
	s.base = max(lastingHosts, int(s.load.GetSpread()), _base)
	s.need = max(s.need, s.base)
	s.needs = append(s.needs, needAt{now, s.need})
	for now.Sub(s.needs[0].at) > _parkAfter {
		s.needs = s.needs[1:]
	}
}

// wanted returns how many hosts the pool should have that aren't away.
func (s *poolState) wanted() int { return s.need + s.extra }

// needAt is how many hosts a pool needed at a time.
type needAt struct {
	at    time.Time
	hosts int
}

// needed returns the most hosts that the pool is known to have needed within a
// while.
func (s *poolState) needed(now time.Time, within time.Duration) int {
	n := s.need
	for _, x := range s.needs {
		if now.Sub(x.at) <= within {
			n = max(n, x.hosts)
		}
	}
	return n
}

const (
	// _usualSpan is over how long the usual demand is averaged: a turn rises
	// faster.
	_usualSpan = 2 * time.Second
	// _slopeSpan is over how long the rise of the demand is taken.
	_slopeSpan = 700 * time.Millisecond
	// _reach is how long after a host was ordered it serves, beside its move: the
	// planner's round, the list of upstreams, and half of the span over which demand
	// is measured.
	_reach = 900 * time.Millisecond
	// _maxRise is how much of the demand is added at most while it rises.
	_maxRise = 2.0
)

// rise returns the demand that is to be expected when a host that moves now has
// arrived: in a turn it goes on rising as it has lately.
func (s *poolState) rise(now time.Time, demand float64, move time.Duration) float64 {
	d := now.Sub(s.usualAt)
	s.usualAt = now
	s.usual += (demand - s.usual) * min(1, max(0, d.Seconds()/_usualSpan.Seconds()))
	s.demands = append(s.demands, demandAt{now, demand})
	for now.Sub(s.demands[0].at) > _slopeSpan {
		s.demands = s.demands[1:]
	}
	if s.usual <= 0 {
		return demand
	}
	first := s.demands[0]
	span := now.Sub(first.at).Seconds()
	if span <= 0 {
		return demand
	}
	more := (demand - first.demand) / span * (move + _reach).Seconds()
	steep := min(1, max(0, (demand/s.usual-1)/2))
	return demand + steep*min(max(0, more), _maxRise*demand)
}

// demandAt is the demand at a time.
type demandAt struct {
	at     time.Time
	demand float64
}

// _lead is how much earlier than its turn a pool should have its hosts.
const _lead = 700 * time.Millisecond

// moves has hosts follow the demand.
func (p *Planner) moves(now time.Time) {
	var short []*poolState
	for _, name := range sorted(p.pools) {
		s := p.pools[name]
		if !s.standby && s.load != nil && s.hosts-s.away < s.wanted() {
			short = append(short, s)
		}
	}
	all := p.candidates(now, func(platform.Machine) bool { return true })
	slices.SortStableFunc(short, func(a, b *poolState) int { return (b.wanted() - b.hosts) - (a.wanted() - a.hosts) })
	for _, s := range short {
		all = p.fill(now, s, all)
	}
	p.park(now, all)
}

// fill sends hosts to a pool that is short.
func (p *Planner) fill(now time.Time, s *poolState, all []candidate) []candidate {
	var rest []candidate
	for _, c := range all {
		if s.hosts-s.away >= s.wanted() || c.pool == s || !p.spare(now, c) {
			rest = append(rest, c)
			continue
		}
		c.pool.hosts--
		s.hosts++
		p.emit(LogLine{"Host moves.", []any{
			"machine", c.machine.Name, "from", c.machine.Pool, "to", s.name, "runs", c.runs,
			"hosts", s.hosts, "need", s.need, "demand", s.load.GetDemand(), "backlog", s.load.GetBacklog(),
		}})
		p.begin(now, c.machine, 0, s.name)
	}
	return rest
}

// spare reports whether a pool can give a host to another.
func (p *Planner) spare(now time.Time, c candidate) bool {
	if c.pool.standby {
		return true
	}
	return c.lasting == 0 && c.pool.load != nil && c.pool.hosts-c.pool.away > c.pool.needed(now, _giveAfter)+c.pool.extra
}

// park sends hosts that nothing asks for to a standby pool.
func (p *Planner) park(now time.Time, all []candidate) {
	var to string
	for _, name := range sorted(p.pools) {
		if p.pools[name].standby {
			to = name
			break
		}
	}
	if to == "" {
		return
	}
	for _, c := range all {
		s := c.pool
		if s.standby || c.runs > 0 || c.lasting > 0 || s.load == nil ||
			s.hosts-s.away <= s.needed(now, _parkAfter)+s.extra || now.Sub(s.since) < _parkAfter {
			continue
		}
		s.hosts--
		p.emit(LogLine{"Host goes to standby.", []any{
			"machine", c.machine.Name, "from", s.name, "hosts", s.hosts, "need", s.need,
		}})
		p.begin(now, c.machine, 0, to)
	}
}

// arrivals returns the room that will join a pool.
func (p *Planner) arrivals(now time.Time, pool string) []*link.Arrival {
	var l []*link.Arrival
	for _, name := range sorted(p.tasks) {
		t := p.tasks[name]
		back := t.wave != 0 && t.machine.Pool == pool && !t.ordered.IsZero()
		if t.to != pool && !back {
			continue
		}
		in := _vacateTime / 2
		if !t.ordered.IsZero() {
			in = -now.Sub(t.ordered)
		}
		if back {
			in += p.set.UpkeepTime
		} else {
			in += p.set.MoveTime
		}
		l = append(l, &link.Arrival{MilliCpu: t.machine.Capacity.MilliCPU, InMs: max(0, in).Milliseconds() + _joinMs})
	}
	slices.SortFunc(l, func(a, b *link.Arrival) int { return int(a.GetInMs() - b.GetInMs()) })
	return l
}

// _joinMs is what passes, in milliseconds, from a host's start until its
// pool's owner has found it in the list and heard it.
const _joinMs = 300
