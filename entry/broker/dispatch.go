package broker

import "time"

// _maxParked bounds the requests that are passed over in one round because no
// host that they may go to has a slot.
const _maxParked = 8

// _recheck is how soon relaxed work that waits beside unused slots is looked
// at again, as the reserve changes with time.
const _recheck = 100 * time.Millisecond

// dispatch grants slots to queued requests as far as there are any.
func (b *Broker) dispatch(now time.Time) {
	if b.missing.any() {
		return
	}
	var parked []*request
	for len(parked) < _maxParked && b.hosts.unused() > 0 {
		r := b.nextRequest(now)
		if r == nil {
			break
		}
		if r.startBy.Before(now) {
			b.forget(r)
			b.refuse(now, r, Expired)
			b.promote(now, r)
			continue
		}
		h := b.hosts.place(r)
		if h == nil {
			parked = append(parked, r)
			continue
		}
		b.reserve(now, r, h.Name)
		if r.journaled() {
			b.grantKeyed(now, r)
			continue
		}
		b.grant(now, r)
	}
	for _, r := range parked {
		r.class.push(r)
	}
	b.wake = time.Time{}
	if b.relaxedWaits() && b.hosts.unused() > 0 {
		b.wake = now.Add(_recheck)
	}
}

// nextRequest takes the next request out of the queue: relaxed work that has
// aged, up to its least share, then urgent work, then relaxed work as far as
// the reserve allows.
func (b *Broker) nextRequest(now time.Time) *request {
	held := b.band(Relaxed).held
	if b.aged(now, held) {
		if r := b.popBand(Relaxed); r != nil {
			return r
		}
	}
	if r := b.popBand(Urgent); r != nil {
		return r
	}
	if b.relaxedWaits() && held < b.relaxedCap(now) {
		return b.popBand(Relaxed)
	}
	return nil
}

func (b *Broker) relaxedWaits() bool {
	for _, c := range b.classes.all {
		if c.Urgency == Relaxed && len(c.line) > 0 {
			return true
		}
	}
	return false
}

// aged reports whether a relaxed request has waited for half of its time while
// relaxed work holds less than its least share.
func (b *Broker) aged(now time.Time, held int) bool {
	if float64(held) >= max(1, float64(b.hosts.slots())*_relaxedLeast) {
		return false
	}
	for _, c := range b.classes.all {
		if c.Urgency == Urgent || len(c.line) == 0 {
			continue
		}
		r := c.line[0]
		if now.Sub(r.asked) > r.startBy.Sub(now) {
			return true
		}
	}
	return false
}

// popBand takes out the next request of the classes of one urgency, from the
// class whose first request must start earliest.
func (b *Broker) popBand(u Urgency) *request {
	var first *class
	for _, c := range b.classes.all {
		if c.Urgency != u || len(c.line) == 0 {
			continue
		}
		if first == nil || c.line[0].startBy.Before(first.line[0].startBy) {
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

// popOther tries the classes other than the first, whose teams all hold their
// quotas.
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
