package scheduler

import (
	"slices"
	"time"

	"fescuelanding/entry/member"
)

// An entry that doesn't reach the store, or that stood still, may have a successor. It goes on giving orders for
// _storeTimeout; upstreams that the successor has reached refuse them. On an upstream that this
// entry doesn't reach, the successor may have renewed leases meanwhile. So a lease that has lapsed
// by this owner's count is known to have lapsed only if this entry still was the owner when it did.
//
// An upstream that restarts forgets the successor's token, and would start a task that the successor has
// started elsewhere. So starts need a more recent proof: a confirmation by the store that is too young for a
// successor, or that an upstream in use, which a successor fences off before it starts anything, has just accepted
// this owner's token. Renewed leases and stops do no harm there, as nothing runs on such an upstream.

// ownership is what is known of this entry's ownership of the pool. The zero value is that of
// a new owner.
type ownership struct {
	// confirmedAt is the latest time at which the group or the journal confirmed the ownership. Orders
	// are given for _storeTimeout after it.
	confirmedAt time.Time
	// provenAt is the latest time at which no other entry can have owned the pool since this
	// one does. Another owner claims the journal before it does anything else, which the store would
	// refuse an append for.
	provenAt time.Time
	// acceptedAt is the latest time at which a poll was sent that an upstream in use has answered: no other entry
	// can have started a task before.
	acceptedAt time.Time
	// generation is that of the group in the last join, which was sent at joinedAt.
	generation int64
	joinedAt   time.Time
	// interruptedAt is when a join showed that another entry may have owned the pool since the one
	// before; zero once an append has shown that none did.
	interruptedAt time.Time
	// resumedAt is when a suspension of the process was noticed last. How long ago something was sent
	// before that isn't known.
	resumedAt time.Time
	// awaited is set while something that has lapsed by this owner's count waits for an append.
	awaited bool
	// startsWait is set while starts wait for a proof of ownership; startsWaitAt is when that was logged last.
	startsWait   bool
	startsWaitAt time.Time
	// silent is set while no orders are given, because the ownership wasn't confirmed in time.
	silent bool
}

// joined notes that the group assigned the pool to this entry in a join sent at a time, and
// reports whether that confirms its ownership. It doesn't if the group has changed and the
// membership may have lapsed since the join before.
func (o *ownership) joined(now, at time.Time, generation int64) bool {
	if o.generation != 0 && generation != o.generation && now.Sub(o.joinedAt) >= member.TTL {
		o.interruptedAt = now
	}
	o.generation, o.joinedAt = generation, at
	if !o.interruptedAt.IsZero() {
		return false
	}
	o.confirm(at)
	return true
}

// appended notes an append, sent at some time, that the store has carried out.
func (o *ownership) appended(sent time.Time) {
	o.confirm(sent)
	if sent.After(o.provenAt) {
		o.provenAt = sent
	}
	if !sent.Before(o.interruptedAt) {
		o.interruptedAt = time.Time{}
	}
}

func (o *ownership) confirm(at time.Time) {
	if at.After(o.confirmedAt) {
		o.confirmedAt = at
	}
}

// suspended counts a suspension of the process, which the clock left out.
func (o *ownership) suspended(now time.Time, d time.Duration) {
	o.resumedAt = now
	o.confirmedAt = o.confirmedAt.Add(-d)
	o.provenAt = o.provenAt.Add(-d)
	o.acceptedAt = o.acceptedAt.Add(-d)
	o.joinedAt = o.joinedAt.Add(-d)
}

// confirmOwnership handles the group's confirmation of the ownership. If another entry may have
// been the owner in between, an append tells. A join that was sent before a suspension may be older
// than it seems; the next one follows soon.
func (s *Scheduler) confirmOwnership(now time.Time, e OwnershipConfirmed) {
	if e.At.Before(s.ownership.resumedAt) || s.ownership.joined(now, e.At, e.Generation) {
		return
	}
	at := now
	if s.mayOrder(now) {
		at = now.Add(_interruptionProbeDelay)
	}
	s.probeJournal(at)
}

// _interruptionProbeDelay is how long an append that tells who owns the pool is held back while
// orders may be given anyway. The group changes several times in a row after an outage of the store.
const _interruptionProbeDelay = time.Second

// ownedAt reports whether no other entry can have owned the pool before a time that has passed.
// If that isn't known, an append is sent to find out.
func (s *Scheduler) ownedAt(now, at time.Time) bool {
	if !s.ownership.provenAt.Before(at) {
		return true
	}
	s.ownership.awaited = true
	s.probeJournal(now)
	return false
}

// probeJournal has an append sent at a time although there may be nothing to append. While the store
// refuses appends, they are repeated anyway.
func (s *Scheduler) probeJournal(at time.Time) {
	n := &s.journal
	n.commits.probe = true
	if n.commits.failingSince.IsZero() {
		n.schedule(at)
	}
}

// touchLapsed has upstreams looked at again whose leases have lapsed by this owner's count.
func (s *Scheduler) touchLapsed(now time.Time) {
	if !s.ownership.awaited {
		return
	}
	s.ownership.awaited = false
	for _, h := range s.hosts.order {
		if !s.mayLapse(h) {
			continue
		}
		if l, _ := s.endedRuns(now, h); len(l) > 0 {
			h.touch()
		}
	}
}

// mayOrder reports whether this owner may renew leases. It may
// for _storeTimeout after the store last confirmed the ownership. A later owner
// waits longer than that before it treats this owner's leases on unreachable
// upstreams as lapsed.
func (s *Scheduler) mayOrder(now time.Time) bool {
	return now.Sub(s.ownership.confirmedAt) < _storeTimeout
}

// mayStart reports whether this owner may start tasks.
func (s *Scheduler) mayStart(now time.Time) bool { return now.Before(s.startsUntil()) }

// startsUntil returns until when the present proof of ownership allows starts.
func (s *Scheduler) startsUntil() time.Time {
	o := s.ownership
	t := o.confirmedAt.Add(member.MaxConfirmationAge)
	if u := o.acceptedAt.Add(_acceptanceLife); u.After(t) {
		t = u
	}
	if u := o.confirmedAt.Add(_storeTimeout); u.Before(t) {
		t = u
	}
	return t
}

const (
	// _acceptanceLife is how long starts rely on an upstream's answer to a poll. It covers the round trip, and is
	// shorter than a takeover and the restart of an upstream after it.
	_acceptanceLife = 500 * time.Millisecond
	// _acceptancePolls is how many upstreams are polled at once for a proof of ownership.
	_acceptancePolls = 2
	// _startsWaitLogInterval is the shortest time between two log lines about starts that wait for a proof.
	_startsWaitLogInterval = time.Second
)

// accepted notes that the known incarnation of an upstream has answered a poll, sent at some time. It is in the
// journal, so that a successor fences it off, or waits for its leases to lapse, before it starts what this owner may
// start. A poll that was sent before a suspension may be older than it seems.
func (s *Scheduler) accepted(h *host, sent time.Time) {
	o := &s.ownership
	if h.recordDurable && sent.After(o.acceptedAt) && sent.After(o.resumedAt) {
		o.acceptedAt = sent
	}
}

// seekAcceptance polls the upstreams that answered last, as starts wait for a proof of ownership. The answer
// to each is an event, after which others are polled if need be.
func (s *Scheduler) seekAcceptance(now time.Time) {
	o := &s.ownership
	if !o.startsWait && now.Sub(o.startsWaitAt) >= _startsWaitLogInterval {
		o.startsWaitAt = now
		accepted := int64(-1)
		if !o.acceptedAt.IsZero() {
			accepted = now.Sub(o.acceptedAt).Milliseconds()
		}
		s.logNote("Starts wait until the store or an upstream in use confirms the ownership.", "", "token", s.set.Token,
			"confirmedMsAgo", now.Sub(o.confirmedAt).Milliseconds(), "acceptedMsAgo", accepted)
	}
	o.startsWait = true
	var l []*host
	left := _acceptancePolls
	for _, h := range s.hosts.order {
		switch {
		case !h.recordDurable || !h.fenced || h.gone || h.followed() || h.failedPolls > 0:
		case h.concurrentPoll || h.polling && h.promptPoll:
			left--
		default:
			l = append(l, h)
		}
	}
	slices.SortStableFunc(l, func(a, b *host) int { return b.lastAnsweredAt.Compare(a.lastAnsweredAt) })
	for _, h := range l[:max(0, min(left, len(l)))] {
		s.sendPoll(now, h, 0)
	}
}

// logSilence logs when this owner ceases to give orders, and when it gives them again.
func (s *Scheduler) logSilence(now time.Time) {
	silent := !s.mayOrder(now)
	if silent == s.ownership.silent {
		return
	}
	s.ownership.silent = silent
	what := "Owner gives orders again."
	if silent {
		what = "Owner gives no orders, because the store hasn't confirmed its ownership in time."
	}
	s.logNote(what, "", "token", s.set.Token, "confirmedMsAgo", now.Sub(s.ownership.confirmedAt).Milliseconds())
}
