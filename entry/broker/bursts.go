package broker

import (
	"math"
	"slices"
	"time"
)

const (
	// A burst begins when the urgent demand exceeds _burstOn, as a share of
	// the slots, and ends when it falls below _burstOff.
	_burstOn  = 1.0
	_burstOff = 0.75
	// _quietPeriodsKept is the number of quiet periods kept, and
	// _minQuietPeriods the number needed for a prediction.
	_quietPeriodsKept = 8
	_minQuietPeriods  = 2
	// _runMargin is the number of mean run times that must fit into the rest
	// of a quiet period.
	_runMargin = 1.75
)

// bursts records the lengths of the quiet periods between bursts of urgent
// demand.
type bursts struct {
	active       bool
	endedAt      time.Time
	quietPeriods []time.Duration
}

// observe records the urgent demand, given as a share of the slots. The demand
// decays with _burstTau between asks, so the time at which it fell below
// _burstOff can be computed afterwards.
func (b *bursts) observe(now time.Time, level float64) {
	switch {
	case !b.active && level > _burstOn:
		b.active = true
		if !b.endedAt.IsZero() {
			b.quietPeriods = append(b.quietPeriods, now.Sub(b.endedAt))
			b.quietPeriods = b.quietPeriods[max(0, len(b.quietPeriods)-_quietPeriodsKept):]
		}
	case b.active && level < _burstOff:
		b.active = false
		b.endedAt = now.Add(-seconds(math.Log(_burstOff/level) * _burstTau.Seconds()))
	}
}

// expectsQuiet reports whether no burst is expected for the duration d. The
// next burst is expected after the shortest of the recorded quiet periods.
func (b *bursts) expectsQuiet(now time.Time, d time.Duration) bool {
	if b.active || len(b.quietPeriods) < _minQuietPeriods {
		return false
	}
	return now.Add(d).Before(b.endedAt.Add(slices.Min(b.quietPeriods)))
}
