package emulator

import (
	"slices"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/entry/scheduler"
)

const (
	// _linkTimeout bounds an entry's call to the owner, and _callerTimeout a caller's call
	// to an entry. _ownerRetryDelay is how long an entry waits before it retries a call at
	// the current owner.
	_linkTimeout     = 1200 * time.Millisecond
	_ownerRetryDelay = 60 * time.Millisecond
	_callerTimeout   = 3 * time.Second
	// _submitAttempts is how often a caller tries to submit a job.
	_submitAttempts = 4
	_pollInterval   = time.Second
	// _visibilityDelay is how long after a job was accepted an entry may still answer that
	// the job is unknown.
	_visibilityDelay = 3 * time.Second
)

// request is a caller's call that one entry forwards to the owner.
type request struct {
	world *World
	entry *entry
	pool  string
	event func(scheduler.Ref) scheduler.Event
	// fixed is set if the pool doesn't follow from the entry's configuration, others are the pools to be
	// asked if this one has no such job.
	fixed  bool
	others []string
	// maybeExecuted is set once the owner may have executed the call.
	maybeExecuted bool
	deadline      time.Duration
	done          func(*link.Answer)
	// answeredBy is the entry whose owner answered.
	answeredBy *entry
}

// callOwner sends a call through a random entry, which forwards it to the owner of the
// pool and retries while the ownership changes. The answer is sure if neither the
// forwarding nor the answering entry had a recent fault.
func (w *World) callOwner(pool string, event func(scheduler.Ref) scheduler.Event, done func(a *link.Answer, sure bool)) {
	e := w.entries[w.rand.IntN(len(w.entries))]
	over := false
	r := &request{world: w, entry: e, pool: pool, event: event, deadline: w.now + _callerTimeout}
	r.done = func(a *link.Answer) {
		if !over {
			over = true
			done(a, e.withoutRecentFault() && (r.answeredBy == nil || r.answeredBy.withoutRecentFault()))
		}
	}
	w.after(w.delay(), func() { e.do(e.incarnation, r.try) })
	// The caller times out by itself if the entry is gone.
	w.after(_callerTimeout+w.delay(), func() { r.done(&link.Answer{Outcome: link.Outcome_OUTCOME_UNKNOWN}) })
}

func (r *request) try() {
	w, e := r.world, r.entry
	if !r.fixed {
		fed, ok := e.fedPool(r.pool)
		if !ok {
			// There is no such route. The caller tries again.
			r.done(&link.Answer{Outcome: link.Outcome_OUTCOME_UNKNOWN})
			return
		}
		r.pool = fed
	}
	if o := e.owners[r.pool]; o != nil {
		r.answeredBy = e
		o.submit(r.eventFor, r.answered)
		return
	}
	to := w.holderOf(w.partition(r.pool))
	if to == nil || to == e {
		r.answered(&link.Answer{Outcome: link.Outcome_OUTCOME_NOT_OWNER})
		return
	}
	call(e, to.name, _linkTimeout, func(answer func(*link.Answer, error)) {
		to.do(to.incarnation, func() {
			o := to.owners[r.pool]
			if o == nil {
				answer(&link.Answer{Outcome: link.Outcome_OUTCOME_NOT_OWNER}, nil)
				return
			}
			r.answeredBy = to
			o.submit(r.eventFor, func(a *link.Answer) { answer(a, nil) })
		})
	}, func(a *link.Answer, err error) {
		if err != nil {
			a = &link.Answer{Outcome: link.Outcome_OUTCOME_UNKNOWN}
		}
		r.answered(a)
	})
}

// eventFor returns the event for the owner.
func (r *request) eventFor(ref scheduler.Ref) scheduler.Event {
	return r.entry.underVersion(r.pool, r.event(ref))
}

// locate asks the next pool for a job that the pools so far don't have. It reports whether there is one.
func (r *request) locate(a *link.Answer) bool {
	if r.world.rerouting == nil || a.GetOutcome() != link.Outcome_OUTCOME_GONE || r.world.now >= r.deadline {
		return false
	}
	if !r.fixed {
		r.fixed = true
		for _, p := range r.world.pools {
			if p != r.pool {
				r.others = append(r.others, p)
			}
		}
	}
	if len(r.others) == 0 {
		return false
	}
	r.pool, r.others = r.others[0], r.others[1:]
	r.try()
	return true
}

// answered handles the owner's answer: it finishes the call or retries it.
func (r *request) answered(a *link.Answer) {
	switch a.GetOutcome() {
	case link.Outcome_OUTCOME_UNKNOWN:
		r.maybeExecuted = true
	case link.Outcome_OUTCOME_NOT_OWNER:
	case link.Outcome_OUTCOME_OVERLOADED, link.Outcome_OUTCOME_UNAVAILABLE:
		if !r.maybeExecuted {
			r.done(a)
			return
		}
	default:
		if !r.locate(a) {
			r.done(a)
		}
		return
	}
	if r.world.now < r.deadline {
		r.entry.after(_ownerRetryDelay, r.try)
		return
	}
	if !r.maybeExecuted {
		a = &link.Answer{Outcome: link.Outcome_OUTCOME_UNAVAILABLE}
	}
	r.done(a)
}

// holder returns the entry that owns the first pool according to the store, or nil.
func (w *World) holder() *entry { return w.holderOf(_firstPoolPartition) }

// partition returns the partition of a pool.
func (w *World) partition(pool string) int {
	return _firstPoolPartition + slices.Index(w.pools, pool)
}

// planner returns the entry that plans for the hosts according to the store, or nil.
func (w *World) planner() *entry { return w.holderOf(_plannerPartition) }

func (w *World) holderOf(partition int) *entry {
	m := w.store.Owners(w.time(), _group)[partition]
	for _, e := range w.entries {
		if e.member() == m {
			return e
		}
	}
	return nil
}

// submit submits a job as a caller and retries up to _submitAttempts times while it isn't
// accepted.
func (w *World) submit(j *jobRecord, attempt int) {
	w.callOwner(j.def.GetPool(), func(r scheduler.Ref) scheduler.Event {
		return scheduler.Submitted{Ref: r, Job: j.def}
	}, func(a *link.Answer, _ bool) {
		again := false
		switch a.GetOutcome() {
		case link.Outcome_OUTCOME_OK:
			j.refused, j.maybeAccepted = false, true
			if j.accepted == 0 {
				j.accepted = w.now
				w.tracef("job %s is accepted", j.def.GetId())
				w.pollState(j)
				w.planRepeats(j)
			}
		case link.Outcome_OUTCOME_OVERLOADED, link.Outcome_OUTCOME_UNAVAILABLE:
			j.refused = true
			again = true
		default:
			j.maybeAccepted, again = true, true
		}
		if again && attempt < _submitAttempts {
			w.after(w.between(300*time.Millisecond, time.Second), func() { w.submit(j, attempt+1) })
		}
	})
}

// pollState polls the state of an accepted job until the history ends.
func (w *World) pollState(j *jobRecord) {
	id := j.def.GetId()
	w.callOwner(j.def.GetPool(), func(r scheduler.Ref) scheduler.Event {
		return scheduler.StateRequested{Ref: r, ID: id, Workspace: j.def.GetWorkspace()}
	}, func(a *link.Answer, sure bool) {
		switch {
		case !sure:
		case a.GetOutcome() == link.Outcome_OUTCOME_GONE && w.now > j.accepted+_visibilityDelay:
			w.ledger.addViolation("LOST", "job %s is unknown though it was accepted at %v", id, j.accepted)
		case a.GetOutcome() == link.Outcome_OUTCOME_OK:
			w.checkState(j, a.GetState())
		}
		w.after(_pollInterval, func() { w.pollState(j) })
	})
}

// checkState checks a job state that a caller received.
func (w *World) checkState(j *jobRecord, s link.JobState) {
	id := j.def.GetId()
	if ended(j.lastState) && s != j.lastState {
		w.ledger.addViolation("LOST", "job %s is reported %v after %v", id, s, j.lastState)
	}
	if s == j.lastState {
		return
	}
	j.lastState, j.shownAt = s, w.now
	switch s {
	case link.JobState_JOB_STATE_COMPLETED:
		if j.longRunning() {
			w.ledger.addViolation("MIXED", "job %s is reported completed, but has long-running tasks", id)
		}
		for k := range max(1, int(j.def.GetOccurrences())) {
			w.checkCompleted(j, k)
		}
	case link.JobState_JOB_STATE_FAILED:
		if j.failPercent == 0 && !w.ledger.mayBeGivenUp(j) {
			w.ledger.addViolation("LOST", "job %s is reported failed, but none of its runs fails", id)
		}
	case link.JobState_JOB_STATE_CANCELLED:
		if !j.cancelRequested {
			w.ledger.addViolation("LOST", "job %s is reported cancelled, but no caller cancelled it", id)
		}
	default:
	}
}

// checkCompleted checks that all tasks of an occurrence are done.
func (w *World) checkCompleted(j *jobRecord, k int) {
	for i, d := range j.def.GetSteps() {
		if n := w.ledger.done(j, k, i); n < int(d.GetCount()) {
			w.ledger.addViolation("MIXED", "job %s is reported completed with %d of %d tasks of step %d.%d done",
				j.def.GetId(), n, d.GetCount(), k, i)
		}
	}
}

func ended(s link.JobState) bool {
	return s == link.JobState_JOB_STATE_COMPLETED || s == link.JobState_JOB_STATE_FAILED ||
		s == link.JobState_JOB_STATE_CANCELLED
}

// cancel cancels a job as a caller and repeats the call until it is answered.
func (w *World) cancel(j *jobRecord) {
	if !j.cancelRequested {
		j.cancelRequested, j.cancelSent = true, w.now
	}
	w.callOwner(j.def.GetPool(), func(r scheduler.Ref) scheduler.Event {
		return scheduler.CancelRequested{Ref: r, ID: j.def.GetId(), Workspace: j.def.GetWorkspace(), InAdvance: true}
	}, func(a *link.Answer, _ bool) {
		switch a.GetOutcome() {
		case link.Outcome_OUTCOME_OK:
			if j.cancelled == 0 {
				j.cancelled = w.now
			}
		case link.Outcome_OUTCOME_GONE:
			w.ledger.checkGone(j)
			// None of its tasks starts, even if an attempt to submit it arrives later.
			if j.cancelled == 0 {
				j.cancelled = w.now
			}
		default:
			w.after(_pollInterval, func() { w.cancel(j) })
		}
	})
}
