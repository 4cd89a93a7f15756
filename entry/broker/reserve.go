package broker

import (
	"math"
	"time"
)

const (
	// _burstTau is the time over which the urgent demand of a burst is seen.
	_burstTau = 500 * time.Millisecond
	// _peakTau is how slowly the memory of a burst fades.
	_peakTau = 10 * time.Minute
	// _steadyTau is the time over which the mean demand is seen.
	_steadyTau = time.Minute
	// _relaxedHeadroom is what relaxed work may hold above its demand.
	_relaxedHeadroom = 1.25
	// _relaxedMost is the share of slots that relaxed work which is pressed
	// for time may claim against the reserve.
	_relaxedMost = 0.25
	// _relaxedLeast is the share that aged relaxed work gets before urgent work.
	_relaxedLeast = 1.0 / 8
	// _quietShare is the share that relaxed work may hold in a quiet that is
	// expected to last.
	_quietShare = 0.9
	// Relaxed work is pressed for time between these shares of its wait.
	_pressedFrom        = 0.25
	_pressedTo          = 0.75
	_defaultStartWithin = 1100 * time.Millisecond
)

// demand is the work that was asked for lately, in slots.
type demand struct {
	urgent  load
	steady  load
	relaxed load
	// done is the relaxed work that ended.
	done   load
	peak   float64
	peakAt time.Time
	bursts bursts
	// unseen is the share of the pool that a first burst is expected to fill.
	unseen float64
}

// asked counts an ask, whether it is admitted or not.
func (d *demand) asked(now time.Time, r *request, slots int) {
	if r.class.Urgency == Relaxed {
		d.relaxed.add(now, r.cost, _steadyTau)
		return
	}
	d.bursts.see(now, d.urgent.now(now, _burstTau)/float64(max(slots, 1)))
	d.urgent.add(now, r.cost, _burstTau)
	d.steady.add(now, r.cost, _steadyTau)
	v := d.urgent.now(now, _burstTau)
	if v > d.peakNow(now) {
		d.peak, d.peakAt = v, now
	}
	d.bursts.see(now, v/float64(max(slots, 1)))
}

// ended counts work that was done.
func (d *demand) ended(now time.Time, c *class, run time.Duration) {
	if c.Urgency == Relaxed {
		d.done.add(now, run, _steadyTau)
	}
}

func (d *demand) peakNow(now time.Time) float64 {
	return fade(d.peak, now.Sub(d.peakAt), _peakTau)
}

// relaxedCap returns how many slots relaxed work may hold. In a quiet that is
// expected to outlast it that is most of the pool. Else there is a reserve: what
// an urgent burst like the largest one remembered needs beyond the slots that
// relaxed work gives back within the time urgent work may wait. A new broker
// remembers none and expects one that fills the pool. Relaxed work that is
// pressed for time claims what it needs against the reserve.
func (b *Broker) relaxedCap(now time.Time) int {
	s := float64(b.hosts.slots())
	return b.relaxedCapFor(now, max(b.demand.peakNow(now), b.unseenPeak(now, s)))
}

// relaxedCapSeen returns how many slots relaxed work may hold as far as bursts
// were seen. What a new broker merely expects is no ground to refuse for.
func (b *Broker) relaxedCapSeen(now time.Time) int {
	return b.relaxedCapFor(now, b.demand.peakNow(now))
}

// relaxedCapFor returns how many slots relaxed work may hold when an urgent
// burst may ask for as many as given.
func (b *Broker) relaxedCapFor(now time.Time, peak float64) int {
	s := float64(b.hosts.slots())
	within, urgent := b.startWithin()
	if !urgent {
		return int(s)
	}
	run := b.relaxedRun()
	asked := b.demand.urgent.now(now, _burstTau)
	b.demand.bursts.see(now, asked/max(s, 1))
	c := s - reserved(s, peak, within, run)
	if s*_relaxedLeast >= 1 {
		// One slot at least, so that its run time gets known; lost runs won't
		// tell.
		c = max(c, float64(1+b.band(Relaxed).lost))
	}
	if b.demand.bursts.quietFor(now, seconds(_runMargin*run.Seconds())) {
		c = max(c, s*_quietShare-asked)
	}
	if p := b.pressure(now); p > 0 {
		c = max(c, math.Ceil(p*min(b.relaxedNeed(now, s), s*_relaxedMost)))
	}
	return int(min(s, c))
}

// relaxedNeed returns the slots that relaxed work needs: by its demand, or, while
// nothing but ignorance keeps slots from it, for all that there is of it.
func (b *Broker) relaxedNeed(now time.Time, slots float64) float64 {
	n := b.demand.relaxed.now(now, _steadyTau) * _relaxedHeadroom
	if b.unseenPeak(now, slots) > b.demand.peakNow(now) {
		n = max(n, float64(b.band(Relaxed).held+b.waiting(Relaxed)))
	}
	return n
}

// unseenPeak returns the slots of a burst that is expected without having been
// seen.
func (b *Broker) unseenPeak(now time.Time, slots float64) float64 {
	return fade(slots*b.demand.unseen, now.Sub(b.since), _peakTau)
}

// reserved returns the slots that relaxed work, which runs for the time given,
// must leave to an urgent burst.
func reserved(slots, peak float64, within, run time.Duration) float64 {
	freed := within.Seconds() / run.Seconds()
	if freed >= 1 {
		return 0
	}
	return max(0, (min(peak, slots)-slots*freed)/(1-freed))
}

// expectsBurst returns the share of the pool that a burst may fill which hasn't
// been seen yet: all of it, or nothing where no service is urgent.
func (b *Broker) expectsBurst(ss []Service) float64 {
	for _, s := range ss {
		if c := b.classes.byName[s.Class]; c != nil && c.Urgency == Urgent {
			return 1
		}
	}
	if len(ss) == 0 {
		return 1
	}
	return 0
}

// pressure returns how far relaxed work is pressed for time, from 0 to 1.
func (b *Broker) pressure(now time.Time) float64 {
	p := 0.0
	for _, c := range b.classes.all {
		if c.Urgency == Urgent || len(c.line) == 0 {
			continue
		}
		r := c.line[0]
		p = max(p, now.Sub(r.asked).Seconds()/r.startBy.Sub(r.asked).Seconds())
	}
	return min(max((p-_pressedFrom)/(_pressedTo-_pressedFrom), 0), 1)
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
	lost int
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
		s.run += c.typicalRun() * time.Duration(k)
		n += k
		s.held += c.held
		s.lost += c.lost
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
