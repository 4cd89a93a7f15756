package broker

import (
	"math"
	"time"
)

const (
	// _burstTau is the time over which the urgent demand of a burst is seen.
	_burstTau = time.Second
	// _peakTau is how slowly the memory of a burst fades.
	_peakTau = 10 * time.Minute
	// _relaxedTau is the time over which the demand of relaxed work is seen.
	_relaxedTau = time.Minute
	// _relaxedHeadroom is what relaxed work may hold above its demand.
	_relaxedHeadroom = 1.25
	// _relaxedMost is the share of slots that the demand of relaxed work may
	// claim against the reserve.
	_relaxedMost = 0.5
	// _relaxedLeast is the share that aged relaxed work gets before urgent work.
	_relaxedLeast       = 1.0 / 8
	_defaultStartWithin = 1100 * time.Millisecond
)

// demand is the work that was asked for lately, in slots.
type demand struct {
	urgent  load
	steady  load
	relaxed load
	peak    float64
	peakAt  time.Time
}

// asked counts an ask, whether it is admitted or not.
func (d *demand) asked(now time.Time, r *request) {
	if r.class.Urgency == Relaxed {
		d.relaxed.add(now, r.cost, _relaxedTau)
		return
	}
	d.urgent.add(now, r.cost, _burstTau)
	d.steady.add(now, r.cost, _relaxedTau)
	if v := d.urgent.now(now, _burstTau); v > d.peakNow(now) {
		d.peak, d.peakAt = v, now
	}
}

func (d *demand) peakNow(now time.Time) float64 {
	return fade(d.peak, now.Sub(d.peakAt), _peakTau)
}

// relaxedCap returns how many slots relaxed work may hold. The reserve is what
// an urgent burst like the largest one remembered needs beyond the slots that
// relaxed work gives back within the time urgent work may wait. A new broker
// remembers none and expects one that fills the pool.
func (b *Broker) relaxedCap(now time.Time) int {
	s := float64(b.hosts.slots())
	within, urgent := b.startWithin()
	if !urgent {
		return int(s)
	}
	peak := max(b.demand.peakNow(now), fade(s, now.Sub(b.since), _peakTau))
	freed := min(1, within.Seconds()/b.relaxedRun().Seconds())
	reserve := 0.0
	if freed < 1 {
		reserve = (min(peak, s) - s*freed) / (1 - freed)
	}
	need := min(b.demand.relaxed.now(now, _relaxedTau)*_relaxedHeadroom, s*_relaxedMost)
	least := s * _relaxedLeast
	return int(math.Ceil(min(s, max(s-reserve, need, least))))
}

// startWithin returns how long urgent work may wait for a slot, and whether
// there is an urgent class at all.
func (b *Broker) startWithin() (time.Duration, bool) {
	d, urgent := time.Duration(0), false
	for _, c := range b.classes.all {
		if c.Urgency == Relaxed {
			continue
		}
		w := c.StartWithin
		if w == 0 {
			w = _defaultStartWithin
		}
		if !urgent || w < d {
			d, urgent = w, true
		}
	}
	return d, urgent
}

// band sums up the classes of one urgency.
type band struct {
	held int
	work time.Duration
	run  time.Duration
}

func (b *Broker) band(u Urgency) band {
	var (
		s band
		n int
	)
	for _, c := range b.classes.all {
		if c.Urgency != u {
			continue
		}
		k := c.held + len(c.line) + 1
		s.run += c.runs.typical() * time.Duration(k)
		n += k
		s.held += c.held
		s.work += c.work
	}
	if n > 0 {
		s.run /= time.Duration(n)
	}
	return s
}

func (b *Broker) relaxedRun() time.Duration {
	return max(b.band(Relaxed).run, _minRun)
}
