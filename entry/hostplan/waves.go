package hostplan

import (
	"time"

	"fescuelanding/platform"
)

// wave is a wave that isn't completed.
type wave struct {
	platform.Wave
	due      time.Time
	begun    map[string]bool
	reported bool
}

func (p *Planner) began(number int64, machine string) {
	for _, w := range p.waves {
		if w.Number == number {
			w.begun[machine] = true
		}
	}
}

func (p *Planner) wave(number int64) *wave {
	for _, w := range p.waves {
		if w.Number == number {
			return w
		}
	}
	return nil
}

// down counts the hosts of a wave that are, or may be, down for it.
func (p *Planner) down(w *wave) int {
	n := 0
	for _, name := range w.Machines {
		t := p.tasks[name]
		ordered := t != nil && t.wave == w.Number && (t.ordering || !t.retryAt.IsZero() || !t.ordered.IsZero())
		if ordered || p.byName[name].State == platform.MachineUpkeep {
			n++
		}
	}
	return n
}

// finishWaves reports waves of which every host that stays has begun.
func (p *Planner) finishWaves(now time.Time) {
	var open []*wave
	for _, w := range p.waves {
		if !w.reported {
			w.reported = true
			p.emit(WaveReport{w.Number, false})
		}
		left := 0
		for _, m := range w.Machines {
			if _, there := p.byName[m]; there && !w.begun[m] {
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
