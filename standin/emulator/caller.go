package emulator

import (
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/entry/scheduler"
)

const (
	// _linkTimeout is an entry's for a call to the owner, _retryOwner its pause
	// before it looks for the owner again, _patience the caller's.
	_linkTimeout = 1200 * time.Millisecond
	_retryOwner  = 60 * time.Millisecond
	_patience    = 3 * time.Second
	// _attempts are a caller's to hand a job in.
	_attempts = 4
	_poll     = time.Second
	// _visible is when every entry must know an accepted job.
	_visible = 3 * time.Second
)

// request is a caller's call, on its way through one entry.
type request struct {
	world *World
	entry *entry
	event func(scheduler.Ref) scheduler.Event
	// sent is set once it may have been carried out.
	sent  bool
	until time.Duration
	done  func(*link.Answer)
	// by is the entry whose owner answered.
	by *entry
}

// ask has some entry pass a call on to the owner, as an entry does: while the
// pool changes hands it is looked for again. An answer is sure where the entries that
// gave it were in touch.
func (w *World) ask(event func(scheduler.Ref) scheduler.Event, done func(a *link.Answer, sure bool)) {
	e := w.entries[w.rand.IntN(len(w.entries))]
	over := false
	r := &request{world: w, entry: e, event: event, until: w.now + _patience}
	r.done = func(a *link.Answer) {
		if !over {
			over = true
			done(a, e.inTouch() && (r.by == nil || r.by.inTouch()))
		}
	}
	w.after(w.delay(), func() { e.do(e.life, r.try) })
	// The caller gives up by itself where the entry is gone.
	w.after(_patience+w.delay(), func() { r.done(&link.Answer{Outcome: link.Outcome_OUTCOME_UNKNOWN}) })
}

func (r *request) try() {
	w, e := r.world, r.entry
	if o := e.owner; o != nil {
		r.by = e
		o.ask(r.event, r.answered)
		return
	}
	to := w.holder()
	if to == nil || to == e {
		r.answered(&link.Answer{Outcome: link.Outcome_OUTCOME_NOT_OWNER})
		return
	}
	call(e, to.name, _linkTimeout, func(answer func(*link.Answer, error)) {
		to.do(to.life, func() {
			if to.owner == nil {
				answer(&link.Answer{Outcome: link.Outcome_OUTCOME_NOT_OWNER}, nil)
				return
			}
			r.by = to
			to.owner.ask(r.event, func(a *link.Answer) { answer(a, nil) })
		})
	}, func(a *link.Answer, err error) {
		if err != nil {
			a = &link.Answer{Outcome: link.Outcome_OUTCOME_UNKNOWN}
		}
		r.answered(a)
	})
}

// answered takes in what the owner said.
func (r *request) answered(a *link.Answer) {
	switch a.GetOutcome() {
	case link.Outcome_OUTCOME_UNKNOWN:
		r.sent = true
	case link.Outcome_OUTCOME_NOT_OWNER:
	case link.Outcome_OUTCOME_OVERLOADED, link.Outcome_OUTCOME_UNAVAILABLE:
		if !r.sent {
			r.done(a)
			return
		}
	default:
		r.done(a)
		return
	}
	if r.world.now < r.until {
		r.entry.after(_retryOwner, r.try)
		return
	}
	if !r.sent {
		a = &link.Answer{Outcome: link.Outcome_OUTCOME_UNAVAILABLE}
	}
	r.done(a)
}

// holder is the entry that the store says holds the pool.
func (w *World) holder() *entry { return w.holderOf(_partition) }

// planner is the entry that the store says plans for the hosts.
func (w *World) planner() *entry { return w.holderOf(_duty) }

func (w *World) holderOf(partition int) *entry {
	m := w.store.Owners(w.time(), _group)[partition]
	for _, e := range w.entries {
		if e.member() == m {
			return e
		}
	}
	return nil
}

// submit plays the caller of a job.
func (w *World) submit(j *jobRecord, attempt int) {
	w.ask(func(r scheduler.Ref) scheduler.Event {
		return scheduler.Submitted{Ref: r, Job: j.def}
	}, func(a *link.Answer, _ bool) {
		again := false
		switch a.GetOutcome() {
		case link.Outcome_OUTCOME_OK:
			j.refused, j.asked = false, true
			if j.accepted == 0 {
				j.accepted = w.now
				w.say("job %s is accepted", j.def.GetId())
				w.follow(j)
			}
		case link.Outcome_OUTCOME_OVERLOADED, link.Outcome_OUTCOME_UNAVAILABLE:
			j.refused = true
			again = true
		default:
			j.asked, again = true, true
		}
		if again && attempt < _attempts {
			w.after(w.between(300*time.Millisecond, time.Second), func() { w.submit(j, attempt+1) })
		}
	})
}

// follow asks for the state of an accepted job, again and again.
func (w *World) follow(j *jobRecord) {
	id := j.def.GetId()
	w.ask(func(r scheduler.Ref) scheduler.Event {
		return scheduler.StateRequested{Ref: r, ID: id}
	}, func(a *link.Answer, sure bool) {
		switch {
		case !sure:
		case a.GetOutcome() == link.Outcome_OUTCOME_GONE && w.now > j.accepted+_visible:
			w.ledger.broken("LOST", "job %s isn't known, accepted at %v", id, j.accepted)
		case a.GetOutcome() == link.Outcome_OUTCOME_OK:
			w.shown(j, a.GetState())
		}
		w.after(_poll, func() { w.follow(j) })
	})
}

// shown checks a state that a caller was told.
func (w *World) shown(j *jobRecord, s link.JobState) {
	id := j.def.GetId()
	if ended(j.shown) && s != j.shown {
		w.ledger.broken("LOST", "job %s is %v after %v", id, s, j.shown)
	}
	if s == j.shown {
		return
	}
	j.shown = s
	switch s {
	case link.JobState_JOB_STATE_COMPLETED:
		for k := range max(1, int(j.def.GetOccurrences())) {
			w.completed(j, k)
		}
	case link.JobState_JOB_STATE_FAILED:
		if j.failing == 0 {
			w.ledger.broken("LOST", "job %s is failed, and no run of it fails", id)
		}
	case link.JobState_JOB_STATE_CANCELLED:
		if !j.wantsCancel {
			w.ledger.broken("LOST", "job %s is cancelled, and nobody asked for that", id)
		}
	default:
	}
}

// completed checks that an occurrence is done.
func (w *World) completed(j *jobRecord, k int) {
	for i, d := range j.def.GetSteps() {
		if n := w.ledger.done(j, k, i); n < int(d.GetCount()) {
			w.ledger.broken("MIXED", "job %s is completed with %d of %d tasks of step %d.%d",
				j.def.GetId(), n, d.GetCount(), k, i)
		}
	}
}

func ended(s link.JobState) bool {
	return s == link.JobState_JOB_STATE_COMPLETED || s == link.JobState_JOB_STATE_FAILED ||
		s == link.JobState_JOB_STATE_CANCELLED
}

// cancel plays a caller who cancels a job.
func (w *World) cancel(j *jobRecord) {
	j.wantsCancel = true
	w.ask(func(r scheduler.Ref) scheduler.Event {
		return scheduler.CancelRequested{Ref: r, ID: j.def.GetId()}
	}, func(a *link.Answer, _ bool) {
		switch a.GetOutcome() {
		case link.Outcome_OUTCOME_OK:
			if j.cancelled == 0 && a.GetState() == link.JobState_JOB_STATE_CANCELLED {
				j.cancelled = w.now
			}
		case link.Outcome_OUTCOME_GONE:
		default:
			w.after(_poll, func() { w.cancel(j) })
		}
	})
}
