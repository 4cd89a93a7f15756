package broker

import (
	"math"
	"time"
)

const (
	// _minSpread and _maxSpread bound the time over which the retries of
	// refused requests are spread. No retry is due sooner than _minSpread.
	_minSpread = time.Second
	_maxSpread = time.Minute
	// _overloadGap is the time without a refusal after which an overload has
	// ended.
	_overloadGap           = time.Second
	_defaultOverloadLength = 5 * time.Second
	// _overloadWeight is the weight of the latest overload in the mean length.
	_overloadWeight = 0.25
	// _retriedShare is the share of the pool that the retries of refused
	// requests may fill.
	_retriedShare = 0.5
	// _arrivalFactor multiplies the waiting work of another team, because more
	// of its work may arrive before the request is granted.
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
	// Until every expected entry has reported, the held slots aren't all known,
	// so the wait isn't estimated.
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
// request: all work of other classes, the waiting work of the request's own
// team, and a part of the work of the other teams. By the time that the request
// is served, its team has been served this waiting work and the request itself.
// Because of the round robin, another team gets at most the same work per unit
// of weight in that time, and at most its own waiting work times
// _arrivalFactor.
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
// slot freed by a relaxed run then serves urgent requests. The rate of starts
// therefore grows linearly: after the time t it is a + c*t per second. The
// unused slots serve the first requests at once. Another n starts, the
// request's own included, are complete when a*t + c*t*t/2 = n.
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

// relaxedWait estimates the wait of a relaxed request: the work ahead of it,
// divided by the number of slots that relaxed requests are expected to hold.
// Two limits bound this number: the slots that they may hold according to the
// observed bursts, and the slots that urgent requests leave free on average.
// Even so, relaxed requests are expected to hold at least as many slots as they
// used recently, and at least their minimum share.
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
	since       time.Time
	lastRefusal time.Time
	// meanLength is the mean length of the earlier overloads.
	meanLength time.Duration
	// refusedWork is the sum of the expected run times of the requests refused
	// in this overload.
	refusedWork time.Duration
}

// refused records a request that was refused for lack of slots.
func (o *overload) refused(now time.Time, cost time.Duration) {
	if o.since.IsZero() || now.Sub(o.lastRefusal) > _overloadGap {
		o.begin(now)
	}
	o.lastRefusal = now
	o.refusedWork += cost
}

// begin starts a new overload and adds the length of the previous one to the
// mean.
func (o *overload) begin(now time.Time) {
	if o.meanLength == 0 {
		o.meanLength = _defaultOverloadLength
	} else {
		d := o.lastRefusal.Sub(o.since)
		o.meanLength += time.Duration(_overloadWeight * float64(d-o.meanLength))
	}
	o.since, o.refusedWork = now, 0
}

// remaining returns how much longer the overload is expected to last.
func (o *overload) remaining(now time.Time) time.Duration {
	if o.since.IsZero() || now.Sub(o.lastRefusal) > _overloadGap {
		return 0
	}
	return max(0, o.meanLength-now.Sub(o.since))
}

// retryAfter returns how long a refused request should wait before a retry.
// Retries start after the expected end of the overload and are spread over the
// time that the pool needs for the refused work. The work refused so far is
// extrapolated to the expected length of the overload. The position in the
// spread depends only on the request, so that a repeated ask gets the same
// answer.
func (b *Broker) retryAfter(now time.Time, r *request) time.Duration {
	s := max(float64(b.hosts.slots())*_retriedShare, 1)
	d := seconds(b.overload.refusedWork.Seconds() / s)
	if elapsed := now.Sub(b.overload.since); elapsed > 0 && elapsed < b.overload.meanLength {
		d = time.Duration(float64(d) * float64(b.overload.meanLength) / float64(max(elapsed, _overloadGap)))
	}
	d = min(max(d, _minSpread), _maxSpread)
	return b.overload.remaining(now) + time.Duration(r.spread()*float64(d)) + _minSpread
}
