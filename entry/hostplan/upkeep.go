package hostplan

import (
	"cmp"
	"slices"
	"time"

	"fescuelanding/platform"
)

const (
	// _vacateTime is how long a host usually takes to become vacant.
	_vacateTime = 2500 * time.Millisecond
	// While upkeep isn't urgent, a pool may have one unavailable host for every
	// _upkeepDivisor hosts, and always at least one.
	_upkeepDivisor = 4
)

// planUpkeeps starts to vacate hosts for upkeep, in each wave at most MaxDown at a
// time.
func (p *Planner) planUpkeeps(now time.Time) {
	for _, w := range p.waves {
		members := make(map[string]bool, len(w.Machines))
		for _, m := range w.Machines {
			members[m] = true
		}
		all := p.candidates(now, func(m platform.Machine) bool { return members[m.Name] && !w.begun[m.Name] })
		room := max(1, w.MaxDown) - p.hostsInProgress(w)
		urgent := p.isUrgent(now, w, len(all))
		for _, c := range all {
			if room <= 0 {
				break
			}
			if !p.canTakeDown(c, urgent) {
				continue
			}
			room--
			c.pool.unavailable++
			p.emit(LogLine{"Vacating host for upkeep.", []any{
				"wave", w.Number, "machine", c.machine.Name, "pool", c.machine.Pool,
				"runs", c.runs, "hurry", urgent, "leftMs", w.due.Sub(now).Milliseconds(),
			}})
			p.startTask(now, c.machine, w.Number, "")
		}
	}
}

// giveUpUpkeeps gives up the upkeeps that haven't been ordered, of pools that have become too small for
// them since. A host may be vacated for as long as a task runs on it.
func (p *Planner) giveUpUpkeeps(now time.Time) {
	for _, name := range sortedKeys(p.tasks) {
		t := p.tasks[name]
		s := p.pools[t.machine.Pool]
		if t.wave == 0 || t.orderSent() || s == nil || s.standby || s.load == nil || s.hosts-s.unavailable >= s.leastHosts() {
			continue
		}
		delete(p.tasks, name)
		s.unavailable--
		p.emit(LogLine{"Host is not vacated for upkeep any longer, because its pool has too few others.", []any{
			"wave", t.wave, "machine", name, "pool", s.name, "sinceMs", now.Sub(t.since).Milliseconds(),
			"hosts", s.hosts, "away", s.unavailable, "least", s.leastHosts(),
		}})
	}
}

// hostsInProgress counts the hosts of a wave that have an upkeep task, for this wave or
// another one, or may be down for upkeep.
func (p *Planner) hostsInProgress(w *wave) int {
	n := 0
	for _, m := range w.Machines {
		t := p.tasks[m]
		down := p.byName[m].State == platform.MachineUpkeep || p.priorOrderUnseen(m)
		if t != nil && t.wave != 0 || t == nil && down {
			n++
		}
	}
	return n
}

// isUrgent reports whether the remaining hosts of a wave need all the time that is
// left.
func (p *Planner) isUrgent(now time.Time, w *wave, left int) bool {
	rounds := (left + max(1, w.MaxDown) - 1) / max(1, w.MaxDown)
	need := time.Duration(rounds) * (p.settings.UpkeepTime + _vacateTime)
	return now.Add(need + _urgentMargin).After(w.due)
}

// _urgentMargin allows for orders that are lost or late.
const _urgentMargin = 5 * time.Second

// evicted returns the upstreams of a pool whose hosts can't wait any longer for the tasks that
// run on them, because their upkeep has to begin within the time limit of a wave. If there are
// many, those with the fewest runs are chosen: the callers whose tasks are stopped wait longer,
// and the pool has to do the work again. A host that was vacated lately isn't among them, as
// most tasks end soon.
func (p *Planner) evicted(now time.Time, pool string) []string {
	s := p.pools[pool]
	var l []string
	for _, name := range sortedKeys(p.tasks) {
		t := p.tasks[name]
		w := p.findWave(t.wave)
		if s == nil || w == nil || t.machine.Pool != pool || t.machine.Upstream == "" || !t.orderedAt.IsZero() {
			continue
		}
		if now.Sub(t.since) >= _vacateTime && !now.Add(_evictTime).Before(w.due) {
			l = append(l, t.machine.Upstream)
		}
	}
	if s == nil || len(l) == 0 {
		return nil
	}
	slices.SortStableFunc(l, func(a, b string) int {
		x, _ := s.runs(a)
		y, _ := s.runs(b)
		return cmp.Compare(x, y)
	})
	return l[:min(len(l), max(1, s.hosts/_evictDivisor))]
}

const (
	// _evictTime is the time from the request to stop the tasks on a host until its upkeep
	// begins: some rounds of planning, the stop, and an order that is repeated.
	_evictTime = 2500 * time.Millisecond
	// _evictDivisor limits the hosts of a pool on which tasks are stopped at a time to one for
	// so many hosts of the pool. More would cost callers as much as a lost rack.
	_evictDivisor = 20
)

// canTakeDown reports whether the candidate's pool can do without it during an
// upkeep. Even if a wave is urgent, a pool keeps minNeed hosts available, so that its
// long-running tasks always have a host.
func (p *Planner) canTakeDown(c candidate, urgent bool) bool {
	ps := c.pool
	switch {
	case ps.standby:
		return true
	case ps.load == nil:
		return urgent
	case urgent:
		return ps.hosts-ps.unavailable-1 >= ps.minNeed
	case ps.unavailable >= max(1, ps.hosts/_upkeepDivisor):
		return false
	}
	return ps.hosts-ps.unavailable-1 >= ps.need
}

// dueHosts returns the hosts that waves have yet to take down.
func (p *Planner) dueHosts() map[string]bool {
	m := make(map[string]bool)
	for _, w := range p.waves {
		for _, name := range w.Machines {
			if !w.begun[name] {
				m[name] = true
			}
		}
	}
	return m
}

// updateWaveExtras raises the target of the pools that have hosts of a wave, so that
// extra hosts replace those that are down.
func (p *Planner) updateWaveExtras() {
	for _, s := range p.pools {
		s.waveExtra = 0
	}
	for _, w := range p.waves {
		for _, name := range w.Machines {
			s := p.pools[p.byName[name].Pool]
			if s != nil && !s.standby && !w.begun[name] && s.waveExtra < max(1, s.minNeed/_waveExtraDivisor) {
				s.waveExtra++
			}
		}
	}
}

// A pool gets at most minNeed/_waveExtraDivisor extra hosts, but always at least one
// if a wave has hosts of it.
const _waveExtraDivisor = 6
