package scheduler

import (
	"time"

	"fescuelanding/platform"
)

// retains reports whether a run must not be stopped, because its step can't miss the task now. A run
// beside another one of its task is never retained, nor is one of a former owner that no poll has listed:
// the task may run elsewhere, and the upstream rejects that owner's starts by now.
func (s *Scheduler) retains(r *run) bool {
	t := r.task
	return !t.done && len(t.runs) == 1 && !r.inherited && !t.step.def.GetGang() && !t.step.mayStop(t)
}

// settleStart settles a start that had no answer, and whose run a poll doesn't list. It may still be
// carried out. A stop rules that out, so that the task can be placed elsewhere, but ends the task if the
// start is carried out before it. The start of a retained run is sent again under its number instead, unless
// it is too late for all that were sent.
func (s *Scheduler) settleStart(now time.Time, r *run, e Polled) {
	tooLate := e.Result.ClockMs > r.deadlineMs
	switch {
	case tooLate || !s.retains(r):
		s.stop(now, r, stopUnconfirmed)
	case r.host.usable(now) && s.mayStart(now) && now.Sub(r.ordered) >= _repeatStartDelay:
		s.repeatStart(now, r)
	}
}

// _repeatStartDelay is the shortest time between two starts under the same number.
const _repeatStartDelay = 200 * time.Millisecond

// repeatStart sends a start again. An upstream that has the run already takes it for the same one.
func (s *Scheduler) repeatStart(now time.Time, r *run) {
	if r.host.states[runOrdered] == 0 {
		r.host.awaitingSince = now
	}
	r.repeated, r.ordered = true, now
	r.setState(runOrdered)
	s.emitStart(now, r)
}

// withdrawStop takes back a stop that isn't known to have been carried out. It may still be, so the run
// counts as unavailable until a poll lists it after that.
func (s *Scheduler) withdrawStop(now time.Time, r *run) {
	if r.started.IsZero() {
		r.setState(runUnconfirmed)
		return
	}
	r.setState(runRunning)
	r.adoptedAt = now
}

// doubtStart makes a start unconfirmed again if it was sent more than once, and a new incarnation doesn't
// list the run: the one that had no answer may still reach it.
func (r *run) doubtStart(l platform.UpstreamStatus) {
	if !r.repeated || lists(l, r) {
		return
	}
	r.started = time.Time{}
	if r.state == runRunning {
		r.setState(runUnconfirmed)
	}
}
