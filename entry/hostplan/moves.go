package hostplan

import (
	"cmp"
	"slices"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

const (
	// A pool gives a host to standby only if it has had more hosts than it needed for
	// _standbyDelay. A move to standby and back costs as much as a host that stays
	// unused for a few seconds, so a short surplus doesn't justify it.
	_standbyDelay = 2500 * time.Millisecond
	// _giveDelay is the corresponding time for a move to a pool that is short of
	// hosts.
	_giveDelay = 700 * time.Millisecond
)

// _serveDelay is the time that an order takes to have an effect, in addition to the move
// itself. It consists of the planner's interval and the update of the list of upstreams.
const _serveDelay = 700 * time.Millisecond

// planMoves plans moves of hosts to the pools that are short of them, and of unused
// hosts to standby. A host that may run something is vacated before it is ordered.
func (p *Planner) planMoves(now time.Time) {
	var short []*poolState
	for _, name := range sortedKeys(p.pools) {
		s := p.pools[name]
		if !s.standby && s.load != nil && s.hosts-s.unavailable < s.target() {
			short = append(short, s)
		}
	}
	all := p.candidates(now, func(platform.Machine) bool { return true })
	due := p.dueHosts()
	// A host that a wave takes down soon is worth less, and its tasks would have to leave it.
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(rank(!a.pool.standby), rank(!b.pool.standby)),
			cmp.Compare(rank(due[a.machine.Name]), rank(due[b.machine.Name])),
		)
	})
	slices.SortStableFunc(short, func(a, b *poolState) int { return (b.target() - b.hosts) - (a.target() - a.hosts) })
	for _, s := range short {
		all = p.fill(now, s, all)
	}
	p.moveToStandby(now, all)
}

// fill plans moves of candidates to a pool that is short of hosts and returns the
// other candidates.
func (p *Planner) fill(now time.Time, s *poolState, all []candidate) []candidate {
	var rest []candidate
	for _, c := range all {
		if s.hosts-s.unavailable >= s.target() || c.pool == s || !p.canGive(now, c) {
			rest = append(rest, c)
			continue
		}
		c.pool.hosts--
		s.hosts++
		p.emit(LogLine{"Planned move of host to another pool.", []any{
			"machine", c.machine.Name, "from", c.machine.Pool, "to", s.name, "runs", c.runs,
			"hosts", s.hosts, "need", s.need, "demand", s.load.GetDemand(), "backlog", s.load.GetBacklog(),
		}})
		p.startTask(now, c.machine, 0, s.name)
	}
	return rest
}

// canGive reports whether a candidate may move to another pool: it is in standby, or
// it has no long-running tasks and its pool has more hosts than it needs.
func (p *Planner) canGive(now time.Time, c candidate) bool {
	if c.pool.standby {
		return true
	}
	return c.longRunning == 0 && c.pool.load != nil && c.pool.hosts-c.pool.unavailable > c.pool.maxNeed(now, _giveDelay)+c.pool.waveExtra
}

// moveToStandby moves hosts that their pools don't need to the first standby pool.
func (p *Planner) moveToStandby(now time.Time, all []candidate) {
	var to string
	for _, name := range sortedKeys(p.pools) {
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
		if s.standby || c.runs > 0 || c.longRunning > 0 || s.load == nil ||
			s.hosts-s.unavailable <= s.maxNeed(now, _standbyDelay)+s.waveExtra || now.Sub(s.firstSeen) < _standbyDelay {
			continue
		}
		s.hosts--
		p.emit(LogLine{"Planned move of unused host to the standby pool.", []any{
			"machine", c.machine.Name, "from", s.name, "hosts", s.hosts, "need", s.need,
		}})
		p.startTask(now, c.machine, 0, to)
	}
}

// arrivals returns the capacity that will join a pool, the earliest first.
func (p *Planner) arrivals(now time.Time, pool string) []*link.Arrival {
	var l []*link.Arrival
	for _, name := range sortedKeys(p.tasks) {
		t := p.tasks[name]
		returns := t.wave != 0 && t.machine.Pool == pool && !t.orderedAt.IsZero()
		if t.targetPool != pool && !returns {
			continue
		}
		// On average, half of the time to vacate a host is left.
		in := _vacateTime / 2
		if !t.orderedAt.IsZero() {
			in = -now.Sub(t.orderedAt)
		}
		if returns {
			in += p.settings.UpkeepTime
		} else {
			in += p.settings.MoveTime
		}
		l = append(l, &link.Arrival{MilliCpu: t.machine.Capacity.MilliCPU, InMs: max(0, in).Milliseconds() + _joinDelayMs})
	}
	slices.SortFunc(l, func(a, b *link.Arrival) int { return int(a.GetInMs() - b.GetInMs()) })
	return l
}

// _joinDelayMs is the time, in milliseconds, from a host's start until the owner of
// its pool can use the host. By then, the owner has found the host in the list and
// has received a message from it.
const _joinDelayMs = 300
