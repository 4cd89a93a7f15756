package hostplan

import (
	"time"

	"fescuelanding/platform"
)

// wave is a wave that isn't completed.
type wave struct {
	platform.Wave
	due time.Time
	// begun are the hosts whose upkeep was ordered, or refused for good.
	begun map[string]bool
	// reported is set once the operator was informed that the wave has started.
	reported bool
}

func (p *Planner) markBegun(number int64, machine string) {
	for _, w := range p.waves {
		if w.Number == number {
			w.begun[machine] = true
		}
	}
}

func (p *Planner) findWave(number int64) *wave {
	for _, w := range p.waves {
		if w.Number == number {
			return w
		}
	}
	return nil
}

// hostsDown counts the hosts of a wave that are down for upkeep, of this wave or another
// one. It includes hosts for which this or a previous planner sent an order, since they
// may already be down.
func (p *Planner) hostsDown(w *wave) int {
	n := 0
	for _, name := range w.Machines {
		t := p.tasks[name]
		ordered := t != nil && t.wave != 0 && t.orderSent()
		if ordered || p.byName[name].State == platform.MachineUpkeep || p.priorOrderUnseen(name) {
			n++
		}
	}
	return n
}

// reportWaves reports the start of new waves and the completion of finished ones. A
// wave is completed once the upkeep of every host has begun, except of those that
// were removed for good. No wave is completed while the host list is empty.
func (p *Planner) reportWaves(now time.Time) {
	var open []*wave
	for _, w := range p.waves {
		if !w.reported {
			w.reported = true
			p.emit(WaveReport{w.Number, false})
		}
		left := 0
		for _, m := range w.Machines {
			if !w.begun[m] && !p.confirmedMissing(m) {
				left++
			}
		}
		if left > 0 || len(p.byName) == 0 {
			open = append(open, w)
			continue
		}
		p.emit(WaveReport{w.Number, true})
		p.emit(LogLine{"Wave completed.", []any{"wave", w.Number, "leftMs", w.due.Sub(now).Milliseconds()}})
	}
	p.waves = open
}
