package broker

import (
	"math"
	"time"
)

const (
	// _burstTau is the time constant of the urgent demand during a burst.
	_burstTau = 500 * time.Millisecond
	// _peakTau is the time constant with which the remembered peak of the
	// urgent demand decays.
	_peakTau = 10 * time.Minute
	// _meanTau is the time constant of the mean demand.
	_meanTau = time.Minute
	// _relaxedHeadroom is multiplied by the mean demand of relaxed requests to
	// get the number of slots that they need.
	_relaxedHeadroom = 1.25
	// Relaxed requests close to their start deadline may claim slots from the
	// reserve until they hold the share _relaxedPressedShare of all slots.
	_relaxedPressedShare = 0.25
	// _relaxedMinShare is the share of slots that aged relaxed requests get
	// before urgent ones.
	_relaxedMinShare = 1.0 / 8
	// _relaxedQuietShare is the share of slots that relaxed requests may hold
	// while no burst is expected.
	_relaxedQuietShare = 0.9
	// The pressure of a relaxed request rises from 0 to 1 while its wait
	// grows from _pressedFrom to _pressedTo, as shares of the longest wait
	// that its start deadline allows.
	_pressedFrom = 0.25
	_pressedTo   = 0.75
	// _defaultStartWithin applies to urgent classes without StartWithin.
	_defaultStartWithin = 1100 * time.Millisecond
)

// demand tracks the work that arrived or completed recently. It measures work
// by the number of slots that it keeps busy.
type demand struct {
	// urgent is the urgent work that arrived, with time constant _burstTau.
	urgent load
	// urgentMean is the urgent work that arrived, with time constant _meanTau.
	urgentMean load
	// relaxed is the relaxed work that arrived.
	relaxed load
	// relaxedDone is the relaxed work that completed.
	relaxedDone load
	// peak is the remembered peak of urgent, as of peakAt.
	peak   float64
	peakAt time.Time
	bursts bursts
	// assumedBurst is the share of the pool that a burst is assumed to fill
	// until one is observed.
	assumedBurst float64
}

// addArrival counts the work of a new request, whether it is admitted or not.
func (d *demand) addArrival(now time.Time, r *request, slots int) {
	if r.class.Urgency == Relaxed {
		d.relaxed.add(now, r.cost, _meanTau)
		return
	}
	// Observe the decayed demand first, since the new request may hide that a
	// burst has ended.
	d.bursts.observe(now, d.urgent.decayed(now, _burstTau)/float64(max(slots, 1)))
	d.urgent.add(now, r.cost, _burstTau)
	d.urgentMean.add(now, r.cost, _meanTau)
	v := d.urgent.decayed(now, _burstTau)
	if v > d.peakNow(now) {
		d.peak, d.peakAt = v, now
	}
	d.bursts.observe(now, v/float64(max(slots, 1)))
}

// addCompleted counts the work of a completed run.
func (d *demand) addCompleted(now time.Time, c *class, run time.Duration) {
	if c.Urgency == Relaxed {
		d.relaxedDone.add(now, run, _meanTau)
	}
}

func (d *demand) peakNow(now time.Time) float64 {
	return decay(d.peak, now.Sub(d.peakAt), _peakTau)
}

// relaxedCap returns how many slots relaxed requests may hold. If no burst is
// expected while they run, that is most of the pool. Otherwise they leave a
// reserve for an urgent burst as large as the remembered peak. The reserve is
// smaller than the burst, because some relaxed runs end while urgent requests
// can still wait. A new broker has no remembered peak and assumes a burst that
// fills the pool. Relaxed requests close to their start deadline may claim
// slots from the reserve.
func (b *Broker) relaxedCap(now time.Time) int {
	s := float64(b.hosts.slots())
	return b.relaxedCapForPeak(now, max(b.demand.peakNow(now), b.assumedPeak(now, s)))
}

// relaxedCapObserved returns how many slots relaxed requests may hold
// according to the observed bursts only. Admission uses it, since a burst
// that is merely assumed is no reason to refuse requests.
func (b *Broker) relaxedCapObserved(now time.Time) int {
	return b.relaxedCapForPeak(now, b.demand.peakNow(now))
}

// relaxedCapForPeak returns how many slots relaxed requests may hold if an
// urgent burst may need peak slots.
func (b *Broker) relaxedCapForPeak(now time.Time, peak float64) int {
	s := float64(b.hosts.slots())
	within, urgent := b.startWithin()
	if !urgent {
		return int(s)
	}
	run := b.relaxedMeanRun()
	urgentLoad := b.demand.urgent.decayed(now, _burstTau)
	b.demand.bursts.observe(now, urgentLoad/max(s, 1))
	c := s - reserved(s, peak, within, run)
	if s*_relaxedMinShare >= 1 {
		// Allow at least one slot, so that the run time can be measured. Runs
		// whose end will not be reported yield no measurement, so their slots
		// come on top.
		c = max(c, float64(1+b.loadOf(Relaxed).lost))
	}
	if b.demand.bursts.expectsQuiet(now, seconds(_runMargin*run.Seconds())) {
		c = max(c, s*_relaxedQuietShare-urgentLoad)
	}
	if p := b.pressure(now); p > 0 {
		c = max(c, math.Ceil(p*min(b.relaxedNeed(now, s), s*_relaxedPressedShare)))
	}
	return int(min(s, c))
}

// relaxedNeed returns the slots that relaxed requests need: their mean demand
// with headroom. If the reserve is for an assumed burst that is larger than the
// observed ones, the result covers at least all running and waiting relaxed
// requests.
func (b *Broker) relaxedNeed(now time.Time, slots float64) float64 {
	n := b.demand.relaxed.decayed(now, _meanTau) * _relaxedHeadroom
	if b.assumedPeak(now, slots) > b.demand.peakNow(now) {
		n = max(n, float64(b.loadOf(Relaxed).held+b.waiting(Relaxed)))
	}
	return n
}

// assumedPeak returns the slots of a burst that is assumed but hasn't been
// observed.
func (b *Broker) assumedPeak(now time.Time, slots float64) float64 {
	return decay(slots*b.demand.assumedBurst, now.Sub(b.startedAt), _peakTau)
}

// reserved returns the number of slots r that relaxed requests must leave free
// for an urgent burst that needs peak slots. Urgent requests may wait for the
// time within, and run is the mean run time of relaxed requests. The share
// within/run of the other slots becomes free in time, so that
// r + (slots-r)*within/run = peak.
func reserved(slots, peak float64, within, run time.Duration) float64 {
	freed := within.Seconds() / run.Seconds()
	if freed >= 1 {
		return 0
	}
	return max(0, (min(peak, slots)-slots*freed)/(1-freed))
}

// assumedBurst returns the share of the pool that a burst is assumed to fill
// until one is observed. It is 0 if the services are known and none is urgent,
// and 1 otherwise.
func (b *Broker) assumedBurst(ss []Service) float64 {
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

// pressure returns how close relaxed requests are to their start deadline, from
// 0 to 1. The class with the highest pressure counts.
func (b *Broker) pressure(now time.Time) float64 {
	p := 0.0
	for _, c := range b.classes.all {
		if c.Urgency == Urgent || len(c.waiting) == 0 {
			continue
		}
		r := c.waiting[0]
		p = max(p, now.Sub(r.askedAt).Seconds()/r.startBy.Sub(r.askedAt).Seconds())
	}
	return min(max((p-_pressedFrom)/(_pressedTo-_pressedFrom), 0), 1)
}

// startWithin returns the shortest limit of the urgent classes on the wait for
// a slot, and whether there is an urgent class.
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

// urgencyLoad sums up the classes of one urgency.
type urgencyLoad struct {
	held int
	lost int
	work time.Duration
	// meanRun is the mean run time, weighted by the running and waiting
	// requests of each class.
	meanRun time.Duration
}

func (b *Broker) loadOf(u Urgency) urgencyLoad {
	var (
		s urgencyLoad
		n int
	)
	for _, c := range b.classes.all {
		if c.Urgency != u {
			continue
		}
		k := c.held + len(c.waiting) + 1
		s.meanRun += c.meanRun() * time.Duration(k)
		n += k
		s.held += c.held
		s.lost += c.lost
		s.work += c.work
	}
	if n > 0 {
		s.meanRun /= time.Duration(n)
	}
	return s
}

func (b *Broker) relaxedMeanRun() time.Duration {
	return max(b.loadOf(Relaxed).meanRun, _minRun)
}
