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
	// _gapsKept is the number of quiet times that are remembered, and _gapsLeast
	// the number from which on they are relied on.
	_gapsKept  = 8
	_gapsLeast = 2
	// _runMargin is how many mean runs must fit into what is left of a quiet.
	_runMargin = 1.75
)

// bursts remembers how long the quiet between bursts of urgent work lasted.
type bursts struct {
	on    bool
	ended time.Time
	gaps  []time.Duration
}

// see takes in the urgent demand as a share of the slots. The demand fades
// with _burstTau between asks, which tells when it fell below _burstOff.
func (b *bursts) see(now time.Time, level float64) {
	switch {
	case !b.on && level > _burstOn:
		b.on = true
		if !b.ended.IsZero() {
			b.gaps = append(b.gaps, now.Sub(b.ended))
			b.gaps = b.gaps[max(0, len(b.gaps)-_gapsKept):]
		}
	case b.on && level < _burstOff:
		b.on = false
		b.ended = now.Add(-seconds(math.Log(_burstOff/level) * _burstTau.Seconds()))
	}
}

// quietFor reports whether the quiet is expected to last: it does for the
// shortest of the last ones.
func (b *bursts) quietFor(now time.Time, d time.Duration) bool {
	if b.on || len(b.gaps) < _gapsLeast {
		return false
	}
	return now.Add(d).Before(b.ended.Add(slices.Min(b.gaps)))
}
