package broker

import (
	"math"
	"slices"
	"time"
)

const (
	// A burst begins once urgent work asks for more than _burstOn of the slots,
	// and ends below _burstOff.
	_burstOn  = 1.0
	_burstOff = 0.75
	// _quietPeriodsKept is the number of quiet times that are remembered, and _gapsLeast
	// the number from which on they are relied on.
	_quietPeriodsKept  = 8
	_minQuietPeriods = 2
	// _runMargin is how many mean runs must fit into what is left of a quiet.
	_runMargin = 1.75
)

// bursts remembers how long the quiet between bursts of urgent work lasted.
type bursts struct {
	active    bool
	endedAt time.Time
	quietPeriods  []time.Duration
}

// observe takes in the urgent demand as a share of the slots. The demand fades
// with _burstTau between asks, which tells when it fell below _burstOff.
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

// expectsQuiet reports whether the quiet is expected to last: it does for the
// shortest of the last ones.
func (b *bursts) expectsQuiet(now time.Time, d time.Duration) bool {
	if b.active || len(b.quietPeriods) < _minQuietPeriods {
		return false
	}
	return now.Add(d).Before(b.endedAt.Add(slices.Min(b.quietPeriods)))
}
