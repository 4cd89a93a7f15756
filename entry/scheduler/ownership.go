package scheduler

import "time"

// An entry that doesn't reach the store may have a successor. It goes on giving orders for
// _storeTimeout; upstreams that the successor has reached refuse them. On an upstream that this
// entry doesn't reach, the successor may have renewed leases meanwhile. So a lease that has lapsed
// by this owner's count is known to have lapsed only if this entry still was the owner when it did.

// ownership is what is known of this entry's ownership of the pool. The zero value is that of
// a new owner.
type ownership struct {
	// confirmedAt is the latest time at which this entry is known to have been the owner, with no
	// other one since it became the owner.
	confirmedAt time.Time
	// generation is that of the group at confirmedAt.
	generation int64
	// changed is the latest generation of the group, if another entry may have owned the pool
	// since confirmedAt, and changedAt the time at which this was learnt.
	changed   int64
	changedAt time.Time
	// resumedAt is when a suspension of the process was noticed last. How long ago something was sent
	// before that isn't known.
	resumedAt time.Time
	// awaited is set while something that has lapsed by this owner's count waits for a later
	// confirmation.
	awaited bool
	// silent is set while no orders are given, because the ownership wasn't confirmed in time.
	silent bool
}

// assigned notes that the group assigned the pool to this entry at a time, and reports whether
// that confirms its ownership. In another generation it doesn't: another entry may have owned the
// pool in between.
func (o *ownership) assigned(now, at time.Time, generation int64) bool {
	if o.generation == 0 {
		o.generation = generation
	}
	if generation != o.generation {
		if generation != o.changed {
			o.changed, o.changedAt = generation, now
		}
		return false
	}
	o.confirm(at)
	return true
}

// appended notes an append, sent at some time, that the store has carried out. Another owner
// claims the journal before it does anything else, which the store would have refused the
// append for.
func (o *ownership) appended(sent time.Time) {
	o.confirm(sent)
	if o.changed != 0 && !sent.Before(o.changedAt) {
		o.generation, o.changed = o.changed, 0
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
	o.changedAt = o.changedAt.Add(-d)
}

// confirmOwnership handles the group's confirmation of the ownership. If another entry may have
// been the owner in between, an append tells. A join that was sent before a suspension may be older
// than it seems; the next one follows soon.
func (s *Scheduler) confirmOwnership(now time.Time, e OwnershipConfirmed) {
	if e.At.Before(s.ownership.resumedAt) {
		return
	}
	if s.ownership.assigned(now, e.At, e.Generation) {
		s.touchLapsed(now)
		return
	}
	at := now
	if s.mayOrder(now) {
		at = now.Add(_generationProbeDelay)
	}
	s.probe(at)
}

// _generationProbeDelay is how long an append that tells who owns the pool is held back after a
// change of the group, as several changes often follow each other.
const _generationProbeDelay = time.Second

// ownedAt reports whether this entry is known to have been the owner at a time that has passed.
// If it isn't, an append is sent to find out.
func (s *Scheduler) ownedAt(now, at time.Time) bool {
	if !s.ownership.confirmedAt.Before(at) {
		return true
	}
	s.ownership.awaited = true
	s.probe(now)
	return false
}

// probe has an append sent at a time although there may be nothing to append. While the store
// refuses appends, they are repeated anyway.
func (s *Scheduler) probe(at time.Time) {
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
		if s.mayLapse(h) && h.lapsed(now) {
			h.touch()
		}
	}
}

// mayOrder reports whether this owner may start tasks and renew leases. It may
// for _storeTimeout after the store last confirmed the ownership. A later owner
// waits longer than that before it treats this owner's leases on unreachable
// upstreams as lapsed.
func (s *Scheduler) mayOrder(now time.Time) bool {
	return now.Sub(s.ownership.confirmedAt) < _storeTimeout
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
