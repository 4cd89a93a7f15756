package scheduler

import (
	"net/http"
	"time"

	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

func (s *Scheduler) wantsLook(h *host) bool {
	if h.gone {
		return false
	}
	if !h.fenced || len(h.runs) > 0 || h.failed > 0 || h.strangers > 0 {
		return h.listed || len(h.runs) > 0 || h.inRoster
	}
	if !h.listed {
		return true // Whether it is still there decides if it is forgotten.
	}
	// One that ran something is looked at while idle, too: while the list lacks it, its
	// last look tells whether it is used.
	return h.durable > 0
}

// _lookAgain is the pause between looks that list the same ends, while the
// journal doesn't answer.
const _lookAgain = 120 * time.Millisecond

// lookTime returns when an upstream is looked at next. While its ends are being
// appended that waits, as it would list the same ends at once.
func (s *Scheduler) lookTime(h *host) time.Time {
	if h.seen <= h.durable || len(h.runs) == 0 || h.failed > 0 {
		return h.lookDue
	}
	if t := h.lastSeen.Add(_lookAgain); t.After(h.lookDue) {
		return t
	}
	return h.lookDue
}

// look extends the leases of an upstream if that is due.
func (s *Scheduler) look(now time.Time, h *host) {
	if h.peeking || h.looking && !h.undecided() || !s.wantsLook(h) || now.Before(s.lookTime(h)) {
		return
	}
	hold := platform.Hold{Token: s.set.Token, Acked: h.forgettable(now), Wait: s.lookWait(h)}
	// What doesn't answer gets no longer lease, so that its tasks can be placed
	// elsewhere once the one it has is over.
	if s.mayOrder(now) && !h.clockAt.IsZero() && len(h.runs) > 0 && h.failed == 0 {
		hold.DeadlineMs = h.lease(now, s.leaseTime())
	}
	l := Poll{Host: h.up.ID, Concurrent: h.looking, Target: h.target, Hold: hold}
	if l.Concurrent {
		h.peeking = true
	}
	h.looking = true
	s.emit(l)
}

// undecided reports whether a look would tell if a run is there.
func (h *host) undecided() bool {
	if h.states[runUnsure] > 0 {
		return true
	}
	if h.states[runStopping] == 0 {
		return false
	}
	for _, r := range h.runs {
		if r.state == runStopping && !r.stopped.IsZero() {
			return true
		}
	}
	return false
}

func (s *Scheduler) leaseTime() time.Duration {
	if s.set.MaxLease > 0 {
		return min(_lease, s.set.MaxLease)
	}
	return _lease
}

// lookWait returns how long the answer may wait for an end.
func (s *Scheduler) lookWait(h *host) time.Duration {
	if len(h.runs) == 0 || !h.fenced {
		return 0
	}
	if h.undecided() {
		return 0
	}
	if h.shared() {
		return _paceLook
	}
	if h.starting() {
		return _startLook
	}
	return _lookWait
}

// _startLook is how long a look waits while something starts up that others wait for:
// no end tells that it is at work.
const _startLook = 250 * time.Millisecond

// starting reports whether a task starts up here before whose time others of its step
// can't be taken away.
func (h *host) starting() bool {
	for _, r := range h.runs {
		if r.state == runRunning && (r.percent < 100 || !r.met.IsZero()) && r.task.step.def.GetMayMiss() > 0 {
			return true
		}
	}
	return false
}

// looked takes in the answer to a look.
func (s *Scheduler) looked(now time.Time, e Polled) {
	h := s.hosts.get(e.Host)
	if h == nil {
		return
	}
	if e.Concurrent {
		h.peeking = false
	} else {
		h.looking = false
	}
	if e.Err != nil {
		s.lookFailed(now, h, e.Err)
		return
	}
	if e.Result.Born != 0 && h.born != 0 && e.Result.Born != h.born {
		if e.Result.Born < h.born {
			return
		}
		s.reborn(now, h, e.Result)
	}
	if h.born == 0 {
		h.born = e.Result.Born
	}
	if e.Result.ClockMs < h.lookClockMs {
		// A later look was answered before: only ends are news that stay true.
		s.takeEnds(now, h, e.Result.Ended)
		return
	}
	h.lookClockMs = e.Result.ClockMs
	if h.failed > 0 {
		s.note("Upstream answers again.", "", "upstream", h.up.ID, "failed", h.failed)
	}
	if !h.fenced || h.failed > 0 || h.strangers > 0 {
		s.replan = true
	}
	if !h.fenced && len(e.Result.Running) > 0 {
		// What runs may hold a lease that a former owner has just given.
		h.deadlineMs = max(h.deadlineMs, e.Result.ClockMs+_lease.Milliseconds())
	}
	h.failed, h.fenced, h.lastSeen, h.unanswered, h.anew = 0, true, now, 0, false
	h.clockMs, h.clockAt = e.Result.ClockMs, now
	delete(s.unheard, h.up.ID)
	s.enroll(now, h)
	s.takeEnds(now, h, e.Result.Ended)
	s.takeRunning(now, h, e)
	s.pace(now, h)
	h.lookDue = now
	if s.lookWait(h) == 0 {
		h.lookDue = now.Add(_pollStopping)
	}
	if len(h.runs) == 0 && h.strangers == 0 {
		h.lookDue = now.Add(_lookWait)
	}
}

// _pollStopping is the pause between looks that can't wait for an end.
const _pollStopping = 60 * time.Millisecond

// enroll appends the upstream to those that a later owner has to hear.
func (s *Scheduler) enroll(now time.Time, h *host) {
	if h.inRoster {
		return
	}
	h.inRoster = true
	s.journal.others = append(s.journal.others, record(HostKey(s.set.Pool, h.up.ID),
		&work.Host{Id: h.up.ID, Address: h.up.Address, Machine: h.up.Machine}))
	s.journal.enrolling = append(s.journal.enrolling, h)
	s.journal.wake(now.Add(_acceptDelay))
}

func (s *Scheduler) lookFailed(now time.Time, h *host, err error) {
	switch platform.Status(err) {
	case http.StatusMisdirectedRequest:
		s.over(now, h, "address serves another upstream")
		return
	case http.StatusConflict:
		s.lose(h.up.ID)
		return
	}
	h.failed++
	h.lookDue = now.Add(min(time.Duration(h.failed)*_retryLook, _maxRetryLook))
	if h.failed == 1 {
		s.note("Upstream doesn't answer.", "", "upstream", h.up.ID, "runs", len(h.runs), "err", err)
	}
}
