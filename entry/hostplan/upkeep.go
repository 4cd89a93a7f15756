package hostplan

import (
	"time"

	"fescuelanding/platform"
)

const (
	// _vacateTime is how long a host usually takes to become vacant.
	_vacateTime = 2500 * time.Millisecond
	// _poolShare is the part of a pool that may be away for upkeep while there
	// is time.
	_poolShare = 4
)

// upkeeps begins the upkeep of hosts.
func (p *Planner) upkeeps(now time.Time) {
	for _, w := range p.waves {
		members := make(map[string]bool, len(w.Machines))
		for _, m := range w.Machines {
			members[m] = true
		}
		all := p.candidates(now, func(m platform.Machine) bool { return members[m.Name] && !w.begun[m.Name] })
		room := max(1, w.AtOnce) - p.busy(w)
		hurry := p.hurry(now, w, len(all))
		for _, c := range all {
			if room <= 0 {
				break
			}
			if !p.sparable(c, hurry) {
				continue
			}
			room--
			c.pool.away++
			p.emit(LogLine{"Upkeep begins.", []any{
				"wave", w.Number, "machine", c.machine.Name, "pool", c.machine.Pool,
				"runs", c.runs, "hurry", hurry, "leftMs", w.due.Sub(now).Milliseconds(),
			}})
			p.begin(now, c.machine, w.Number, "")
		}
	}
}

// busy counts the hosts of a wave about which something is under way, or that
// are down.
func (p *Planner) busy(w *wave) int {
	n := 0
	for _, m := range w.Machines {
		t := p.tasks[m]
		if t != nil && t.wave == w.Number || t == nil && p.byName[m].State == platform.MachineUpkeep {
			n++
		}
	}
	return n
}

// hurry reports whether the hosts that are left need all the time there is.
func (p *Planner) hurry(now time.Time, w *wave, left int) bool {
	rounds := (left + max(1, w.AtOnce) - 1) / max(1, w.AtOnce)
	need := time.Duration(rounds) * (p.set.UpkeepTime + _vacateTime)
	return now.Add(need + _hurryMargin).After(w.due)
}

// _hurryMargin covers orders that are lost or late.
const _hurryMargin = 5 * time.Second

// sparable reports whether a pool can do without one more host for a while. However
// late a wave is, the pool keeps the hosts that what lasts there needs.
func (p *Planner) sparable(c candidate, hurry bool) bool {
	ps := c.pool
	switch {
	case ps.standby:
		return true
	case ps.load == nil:
		return hurry
	case hurry:
		return ps.hosts-ps.away-1 >= ps.base
	case ps.away >= max(1, ps.hosts/_poolShare):
		return false
	}
	return ps.hosts-ps.away-1 >= ps.need
}

// standIns has pools with hosts of a wave get others beside those that they need, so
// that some can be away.
func (p *Planner) standIns() {
	for _, s := range p.pools {
		s.extra = 0
	}
	for _, w := range p.waves {
		for _, name := range w.Machines {
			s := p.pools[p.byName[name].Pool]
			if s != nil && !s.standby && !w.begun[name] && s.extra < max(1, s.base/_rotation) {
				s.extra++
			}
		}
	}
}

// _rotation is the part of the hosts for what lasts that a pool gets to stand in.
const _rotation = 6
