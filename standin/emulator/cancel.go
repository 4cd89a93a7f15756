package emulator

import (
	"math/rand/v2"
	"time"
)

const (
	// _cancelTime is how long after a cancellation tasks of the job may start, _contactTime how long
	// the platform must have been without a fault for that to hold.
	_cancelTime  = 3 * time.Second
	_contactTime = 3 * time.Second
	// _cancelledJobs means that one job in so many is cancelled in a history with Cancels, up to
	// _cancelWithin after it is submitted. Its tasks run for _minCancelled to _maxCancelled.
	_cancelledJobs               = 2
	_cancelWithin                = 6 * time.Second
	_minCancelled, _maxCancelled = 2 * time.Second, 12 * time.Second
)

// newCancels returns what draws which jobs of a history are cancelled, apart from the rest, so that a
// seed gives the same jobs and faults with and without it.
func newCancels(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 6)) }

// planCancel draws whether a job that is submitted at a time is cancelled, and when.
func (w *World) planCancel(j *jobRecord, at time.Duration) {
	if w.cancels == nil || w.cancels.IntN(_cancelledJobs) > 0 {
		return
	}
	for _, s := range j.def.GetSteps() {
		s.EstimateMs = drawBetween(w.cancels, _minCancelled, _maxCancelled).Milliseconds()
	}
	w.after(at+drawBetween(w.cancels, 0, _cancelWithin), func() { w.cancel(j) })
}

// checkCancelledJobs checks periodically that no task of a cancelled job runs on.
func (w *World) checkCancelledJobs() {
	w.ledger.checkCancelled(w.lastFaultEnd())
	w.after(_idleCheckInterval, w.checkCancelledJobs)
}

// checkCancelled checks that no task of a cancelled job runs on, once the platform has been calm for as
// long as the end of the task may take. The last fault ended at calm.
func (l *ledger) checkCancelled(calm time.Duration) {
	for _, n := range sortedKeys(l.tasks) {
		t := l.tasks[n]
		for _, r := range t.runs {
			since := max(calm+_contactTime, t.job.cancelled, r.countsFrom())
			if t.job.cancelled > 0 && r.outcome == "" && l.world.now > since+_cancelTime+_stopTime {
				l.addViolation("UNASKED", "%s: %v runs on though the job was cancelled at %v", t.name, r, t.job.cancelled)
			}
		}
	}
}

// countsFrom returns from when a run has to be gone after a cancellation. A start that is executed late
// isn't known at once.
func (s *runRecord) countsFrom() time.Duration {
	if s.late {
		return s.at + _contactTime
	}
	return s.at
}

// checkGone checks an answer to a cancellation that there is no such job. A job that was cancelled before
// it was accepted is accepted as cancelled, and may be unknown to a former owner.
func (l *ledger) checkGone(j *jobRecord) {
	if j.accepted > 0 && j.accepted < j.cancelSent {
		l.addViolation("UNASKED", "a cancellation of job %s is answered as of an unknown job, though it was accepted at %v and first cancelled at %v",
			j.def.GetId(), j.accepted, j.cancelSent)
	}
}
