package broker

import "time"

// _maxSkipped bounds the requests that one round skips because no host they
// may use has a free slot.
const _maxSkipped = 8

// _recheckInterval is the time between dispatches while relaxed requests wait
// and the reserve keeps slots free. The reserve changes with time even if
// nothing else happens.
const _recheckInterval = 100 * time.Millisecond

// dispatch grants free slots to queued requests. After a takeover it grants none
// until every expected entry has reported its holds or their runs must have
// ended, because any slot may still be taken.
func (b *Broker) dispatch(now time.Time) {
	if b.unreported.any() {
		return
	}
	var skipped []*request
	for len(skipped) < _maxSkipped && b.hosts.unused() > 0 {
		r := b.nextRequest(now)
		if r == nil {
			break
		}
		if r.startBy.Before(now) {
			b.removeRequest(r)
			b.refuse(now, r, Expired)
			b.readmitFollowers(now, r)
			continue
		}
		h := b.hosts.pickHost(r)
		if h == nil {
			skipped = append(skipped, r)
			continue
		}
		b.reserve(now, r, h.Name)
		if r.needsJournal() {
			b.grantKeyed(now, r)
			continue
		}
		b.grant(now, r)
	}
	for _, r := range skipped {
		r.class.push(r)
	}
	b.recheckAt = time.Time{}
	if b.relaxedWaits() && b.hosts.unused() > 0 {
		b.recheckAt = now.Add(_recheckInterval)
	}
}

// nextRequest removes the next request from the queue: first aged relaxed
// requests up to their minimum share, then urgent ones, then relaxed ones as
// far as the reserve allows.
func (b *Broker) nextRequest(now time.Time) *request {
	held := b.loadOf(Relaxed).held
	if b.relaxedAged(now, held) {
		if r := b.popUrgency(Relaxed); r != nil {
			return r
		}
	}
	if r := b.popUrgency(Urgent); r != nil {
		return r
	}
	if b.relaxedWaits() && held < b.relaxedCap(now) {
		return b.popUrgency(Relaxed)
	}
	return nil
}

func (b *Broker) relaxedWaits() bool {
	for _, c := range b.classes.all {
		if c.Urgency == Relaxed && len(c.waiting) > 0 {
			return true
		}
	}
	return false
}

// relaxedAged reports whether a relaxed request has waited for more than half
// of the time between its ask and its start deadline, while relaxed requests
// hold less than their minimum share.
func (b *Broker) relaxedAged(now time.Time, held int) bool {
	if float64(held) >= max(1, float64(b.hosts.slots())*_relaxedMinShare) {
		return false
	}
	for _, c := range b.classes.all {
		if c.Urgency == Urgent || len(c.waiting) == 0 {
			continue
		}
		r := c.waiting[0]
		if now.Sub(r.askedAt) > r.startBy.Sub(now) {
			return true
		}
	}
	return false
}

// popUrgency removes and returns the next request of one urgency, from the
// class whose first request has the earliest start deadline.
func (b *Broker) popUrgency(u Urgency) *request {
	var first *class
	for _, c := range b.classes.all {
		if c.Urgency != u || len(c.waiting) == 0 {
			continue
		}
		if first == nil || c.waiting[0].startBy.Before(first.waiting[0].startBy) {
			first = c
		}
	}
	if first == nil {
		return nil
	}
	if r := first.pop(); r != nil {
		return r
	}
	return b.popOther(u, first)
}

// popOther removes and returns the next request of any class but first. It is
// called when every waiting team of the first class has used up its quota.
func (b *Broker) popOther(u Urgency, first *class) *request {
	for _, c := range b.classes.all {
		if c.Urgency != u || c == first {
			continue
		}
		if r := c.pop(); r != nil {
			return r
		}
	}
	return nil
}
