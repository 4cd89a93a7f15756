package broker

import (
	"math"
	"time"
)

const (
	_minSpread             = time.Second
	_maxSpread             = time.Minute
	_overloadGap           = time.Second
	_defaultOverloadLength = 5 * time.Second
	_overloadWeight        = 0.25
	// _retriedShare is the share of the pool that the retries of refused
	// requests may fill.
	_retriedShare = 0.5
	// _arrivalFactor scales the waiting work of another team to allow for
	// work that arrives before the request is granted.
	_arrivalFactor = 1.5
)

// admit returns ReasonNone if the request may be queued, or the reason to
// refuse it.
func (b *Broker) admit(now time.Time, r *request) Reason {
	if !b.retries.allow(r) {
		return RetryBudget
	}
	if r.startBy.Before(now) {
		return Overload
	}
	left := r.startBy.Sub(now)
	if b.quotaWait(r) > left {
		return Overload
	}
	if !b.unreported.any() && b.wait(now, r) > left {
		return Overload
	}
	if b.waiting(r.class.Urgency) >= _maxQueue {
		return b.displace(now, r)
	}
	return ReasonNone
}

// waiting returns the number of queued requests of one urgency.
func (b *Broker) waiting(u Urgency) int {
	n := 0
	for _, c := range b.classes.all {
		if c.Urgency == u {
			n += len(c.waiting)
		}
	}
	return n
}

// quotaWait returns the expected wait due to the team's own quota.
func (b *Broker) quotaWait(r *request) time.Duration {
	q := r.team.Quota
	l := r.class.byTeam[r.team]
	if q == 0 || l == nil {
		return 0
	}
	return l.work / time.Duration(q)
}

// wait returns the expected wait of a request that arrives now.
func (b *Broker) wait(now time.Time, r *request) time.Duration {
	if r.class.Urgency == Urgent {
		return b.urgentWait(r)
	}
	return b.relaxedWait(now, r)
}

// workAhead returns the work of the same urgency that is served before the
// request. Teams of its class are served in proportion to their weights, so a
// team with twice the weight of the request's team counts with at most twice
// the work that the request's team has waiting, the request included.
func (b *Broker) workAhead(r *request, s urgencyLoad) time.Duration {
	own := r.cost
	if l := r.class.byTeam[r.team]; l != nil {
		own += l.work
	}
	share := own / time.Duration(r.team.weight())
	work := s.work - r.class.work
	for _, l := range r.class.lanes {
		if l.team == r.team {
			work += l.work
			continue
		}
		most := time.Duration(_arrivalFactor * float64(l.work))
		work += min(most, share*time.Duration(l.team.weight()))
	}
	return work
}

// urgentWait estimates the wait of an urgent request. It assumes that slots
// become free at the rates at which urgent and relaxed runs end, and that a
// slot freed by a relaxed run then serves urgent requests. With a the number
// of starts per second now and c its growth per second, n requests have
// started after a time t where a*t + c*t*t/2 = n.
func (b *Broker) urgentWait(r *request) time.Duration {
	u, l := b.loadOf(Urgent), b.loadOf(Relaxed)
	run := u.meanRun.Seconds()
	unused := b.hosts.unused()
	n := b.workAhead(r, u).Seconds()/run + 1 - float64(unused)
	if n <= 0 {
		return 0
	}
	freed := float64(l.held) / max(l.meanRun, _minRun).Seconds()
	a := (float64(u.held)+float64(unused))/run + freed
	c := freed / run
	if a == 0 {
		return math.MaxInt64
	}
	t := n / a
	if c > 0 {
		t = (math.Sqrt(a*a+2*c*n) - a) / c
	}
	return seconds(t)
}

// relaxedWait estimates the wait of a relaxed request from the slots that
// relaxed requests are expected to hold. That is the number they may hold
// according to the observed bursts, but no more than urgent requests leave free
// on average. It is at least the number that relaxed requests used recently, and
// at least their minimum share.
func (b *Broker) relaxedWait(now time.Time, r *request) time.Duration {
	l := b.loadOf(Relaxed)
	most := b.relaxedCapObserved(now)
	if l.work == 0 && l.held < most && b.hosts.unused() > 0 {
		return 0
	}
	s := float64(b.hosts.slots())
	share := min(float64(most), s-b.demand.urgentMean.decayed(now, _meanTau))
	share = max(share, b.demand.relaxedDone.decayed(now, _meanTau), s*_relaxedMinShare, 1)
	return seconds(b.workAhead(r, l).Seconds() / share)
}

// seconds converts seconds to a duration, limited to the range of the type.
func seconds(s float64) time.Duration {
	const most = float64(math.MaxInt64 / time.Second)
	return time.Duration(min(s, most) * float64(time.Second))
}

// displace makes room in a full queue: it refuses the latest request of the
// team that has the most waiting work for its weight. If that is the team of
// r, it returns QueueFull.
func (b *Broker) displace(now time.Time, r *request) Reason {
	c := r.class
	own := r.cost
	if l := c.byTeam[r.team]; l != nil {
		own += l.work
	}
	worst, most := (*lane)(nil), own/time.Duration(r.team.weight())
	for _, l := range c.lanes {
		if w := l.work / time.Duration(l.team.weight()); w > most {
			worst, most = l, w
		}
	}
	if worst == nil {
		return QueueFull
	}
	v := worst.waiting[len(worst.waiting)-1]
	b.dequeue(now, v)
	b.refuse(now, v, Displaced)
	return ReasonNone
}

// overload tracks how long overloads last, for the retry-after times. An
// overload ends when no request was refused for _overloadGap.
type overload struct {
	since  time.Time
	last   time.Time
	length time.Duration
	work   time.Duration
}

// refused records a request that was refused for lack of slots.
func (o *overload) refused(now time.Time, cost time.Duration) {
	if o.since.IsZero() || now.Sub(o.last) > _overloadGap {
		o.begin(now)
	}
	o.last = now
	o.work += cost
}

// begin starts a new overload and adds the length of the last one to the
// mean.
func (o *overload) begin(now time.Time) {
	if o.length == 0 {
		o.length = _defaultOverloadLength
	} else {
		d := o.last.Sub(o.since)
		o.length += time.Duration(_overloadWeight * float64(d-o.length))
	}
	o.since, o.work = now, 0
}

// remaining returns how much longer the overload is expected to last.
func (o *overload) remaining(now time.Time) time.Duration {
	if o.since.IsZero() || now.Sub(o.last) > _overloadGap {
		return 0
	}
	return max(0, o.length-now.Sub(o.since))
}

// retryAfter returns when a refused request should be retried: after the
// overload, spread over the time that the pool needs for the refused work.
// The spread depends only on the request, so that a repeated ask gets the
// same answer.
func (b *Broker) retryAfter(now time.Time, r *request) time.Duration {
	s := max(float64(b.hosts.slots())*_retriedShare, 1)
	d := seconds(b.overload.work.Seconds() / s)
	if elapsed := now.Sub(b.overload.since); elapsed > 0 && elapsed < b.overload.length {
		d = time.Duration(float64(d) * float64(b.overload.length) / float64(max(elapsed, _overloadGap)))
	}
	d = min(max(d, _minSpread), _maxSpread)
	return b.overload.remaining(now) + time.Duration(r.spread()*float64(d)) + _minSpread
}
