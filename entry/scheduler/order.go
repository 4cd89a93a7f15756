package scheduler

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"fescuelanding/fleet/permit"
	"fescuelanding/platform"
)

// start starts a task on an upstream under the next run number.
func (s *Scheduler) start(now time.Time, t *task, h *host, trial time.Duration) {
	s.startAs(now, t, h, t.lastRun+1, trial)
}

// startAs starts a task under a run number, on trial for some time. The start of a suspect, or of
// a doubted task, is sent once the journal has it.
func (s *Scheduler) startAs(now time.Time, t *task, h *host, n int64, trial time.Duration) {
	st := t.step
	r := &run{
		task: t, number: n, checkpoint: t.checkpoint, state: runOrdered, ordered: now, percent: -1, progressedAt: now,
		pace: 100, trial: trial,
	}
	t.lastRun = n
	if h.states[runOrdered] == 0 {
		h.awaitingSince = now
	}
	s.attach(r, h)
	s.chargeStart(st)
	s.unloggedStarts = append(s.unloggedStarts, unloggedStart{t.index, n, h.up.ID})
	if t.crashes.upstreams > 0 || trial > 0 || t.doubted {
		s.hold(now, r)
		return
	}
	s.recordWithNext(t)
	s.emitStart(now, r)
}

// attach adds a run to its task and its upstream.
func (s *Scheduler) attach(r *run, h *host) {
	r.task.runs = append(r.task.runs, r)
	r.task.step.running++
	h.add(r)
	s.countRun(r, 1)
}

func (s *Scheduler) emitStart(now time.Time, r *run) {
	t, h := r.task, r.host
	o := platform.Start{
		Task: t.name, Run: r.number, Spec: t.step.occurrence.job.def.GetSpec(), Token: s.set.Token,
		DeadlineMs: h.extendLease(now, s.leaseTime()), Checkpoint: r.checkpoint,
	}
	if t.step.advised() {
		o.Ticket = t.step.advice.ticket(now, h)
	}
	r.deadlineMs = max(r.deadlineMs, o.DeadlineMs)
	s.emit(Start{
		Host: h.up.ID, At: now, Target: h.target, Order: o,
		Permit: permitUntil(now, s.startsUntil()), Timeout: s.flow.timeout(_orderTimeout),
	})
}

// permitUntil returns a permit for an order that is given as the owner of the pool, which this entry may be until some
// time.
func permitUntil(now, until time.Time) permit.Permit {
	return permit.New(now, max(0, min(_orderLife, until.Sub(now))))
}

// unloggedStart is a start that wasn't logged yet.
type unloggedStart struct {
	task     int
	run      int64
	upstream string
}

// logStarts logs the starts of a step in one line, each as index/run@upstream.
func (s *Scheduler) logStarts(now time.Time, st *step) {
	if len(s.unloggedStarts) == 0 {
		return
	}
	var b strings.Builder
	for i, p := range s.unloggedStarts {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%d/%d@%s", p.task, p.run, p.upstream)
	}
	s.logNote("Tasks placed.", st.occurrence.job.def.GetId(), "step", st.name, "tasks", b.String(),
		"waitedMs", now.Sub(st.waitingSince).Milliseconds(), "left", st.left)
	s.unloggedStarts = s.unloggedStarts[:0]
}

// orderAnswered handles the answer to a start, stop or pace.
func (s *Scheduler) orderAnswered(now time.Time, e Ordered) {
	switch o := e.Op.(type) {
	case Start:
		if h := s.hosts.get(o.Host); h != nil {
			r := h.findRun(o.Order.Task, o.Order.Run)
			if r != nil {
				s.applyClock(now, r, e, o.At)
				s.startAnswered(now, r, e.Err)
				if e.Err == nil {
					r.startClockMs = e.ClockMs
					s.endLate(now, r)
				}
			}
		}
	case Stop:
		if h := s.hosts.get(o.Host); h != nil {
			if r := h.findRun(o.Task, o.Run); r != nil {
				s.stopAnswered(now, r, o.At, e.Err)
			}
		}
	case Pace:
		s.paceAnswered(o, e.Err)
	}
}

// endLate gives up a run whose start was confirmed by an incarnation that is known to have ended since.
func (s *Scheduler) endLate(now time.Time, r *run) {
	if r.host.gone && (ending{}).ends(r) {
		r.task.doubt()
		s.loseRuns(now, []*run{r}, "upstream ended after its answer")
	}
}

// startAnswered handles the answer to a start.
func (s *Scheduler) startAnswered(now time.Time, r *run, err error) {
	if err == nil || platform.Status(err) > 0 || errors.Is(err, platform.ErrExpired) {
		s.flow.answered(now, now.Sub(r.ordered), true)
	}
	if s.flow.limited(now) {
		s.replan = true
	}
	if err == nil {
		r.host.unansweredStarts = 0
		r.host.awaitingSince = now
		r.task.step.advice.ticketAccepted(r.host)
		if r.state == runOrdered {
			r.setState(runRunning)
			r.started, r.progressedAt = now, now
			r.task.step.occurrence.job.begun = true
		}
		if r.host.pollDue.After(now) {
			r.host.pollDue = now
		}
		return
	}
	h := r.host
	code, reason := platform.Status(err), platform.Reason(err)
	s.logNote("Start was refused, or had no answer (status 0).", r.task.step.occurrence.job.def.GetId(), "task", r.task.name, "run", r.number,
		"upstream", h.up.ID, "status", code, "reason", reason, "err", err)
	switch {
	case errors.Is(err, platform.ErrNotSent):
		s.startNotSent(now, r, errors.Is(err, platform.ErrExpired))
	case code == http.StatusConflict && reason == platform.ReasonFence:
		s.loseOwnership(h.up.ID)
	case code == http.StatusConflict:
		s.startConflict(now, r, reason)
	case code == http.StatusMisdirectedRequest:
		s.startMisdirected(now, r)
	case code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable:
		h.health.eject(now)
		s.releaseUnstarted(now, r)
	case code == http.StatusBadRequest:
		r.task.avoid = h.up.ID
		s.releaseUnstarted(now, r)
	default:
		if timedOut(err) {
			s.noteLostAnswer(now)
		}
		if r.state == runOrdered {
			r.setState(runUnconfirmed)
		}
		h.pollDue = now
		s.countUnanswered(now, h)
	}
}

// startMisdirected handles a start whose address serves another upstream.
func (s *Scheduler) startMisdirected(now time.Time, r *run) {
	if r.ordered.Before(r.host.knownSince) || r.ordered.Before(r.host.followedSince) {
		// It went to the address of a former incarnation.
		s.releaseUnstarted(now, r)
		return
	}
	h := r.host
	s.releaseUnstarted(now, r)
	s.endIncarnation(now, h, ending{why: _otherUpstream, allBefore: r.ordered})
}

// startNotSent handles a start that wasn't sent, so that the run can't exist: its permit
// had expired, or there was no connection to the upstream.
func (s *Scheduler) startNotSent(now time.Time, r *run, expired bool) {
	h := r.host
	if !expired {
		r.task.avoid = h.up.ID
		s.countUnanswered(now, h)
	}
	if expired && r.task.step.def.GetGang() && r.state == runOrdered && s.mayStart(now) {
		// The other members may be waiting for this one.
		r.ordered = now
		s.emitStart(now, r)
		return
	}
	s.releaseUnstarted(now, r)
}

// releaseUnstarted ends a run that never began. The other members of its gang, which would
// wait for it in vain, are stopped. Of a start that was sent before without an answer, the
// refusal says nothing.
func (s *Scheduler) releaseUnstarted(now time.Time, r *run) {
	if r.repeated {
		if r.state == runOrdered {
			r.setState(runUnconfirmed)
		}
		return
	}
	s.release(now, r)
	if r.task.step.def.GetGang() {
		for i := range r.task.step.tasks {
			s.stopAll(now, &r.task.step.tasks[i], stopGang)
		}
	}
}

// _suspectAfter is how many consecutive unanswered starts make an upstream
// suspect. Healthy upstreams may lose or delay single requests.
const _suspectAfter = 3

// countUnanswered counts a start without an answer. A suspect upstream gets no
// tasks until it answers a poll, and is reported to the planner as doubtful.
func (s *Scheduler) countUnanswered(now time.Time, h *host) {
	h.unansweredStarts++
	if h.unansweredStarts >= _suspectAfter && h.failedPolls == 0 {
		h.failedPolls = 1
		s.logNote("Upstream is suspect: consecutive starts had no answer; no tasks are placed on it until it answers a poll.", "", "upstream", h.up.ID,
			"runs", len(h.runs), "unanswered", h.unansweredStarts, "seenMsAgo", now.Sub(h.lastAnsweredAt).Milliseconds())
	}
}

// startConflict handles a start refused with a reason.
func (s *Scheduler) startConflict(now time.Time, r *run, reason string) {
	h := r.host
	switch reason {
	case platform.ReasonOld:
		// The upstream has already seen this run number or a higher one.
		r.task.lastRun += _runNumberGap
		r.repeated = false
	case platform.ReasonTicket:
		s.ticketRefused(now, r)
	case platform.ReasonRoom:
		// The next poll lists the runs that take up the room.
		h.health.ejectedUntil = now.Add(_noRoomPause)
		h.pollDue = now
	}
	s.releaseUnstarted(now, r)
}

// _noRoomPause is how long an upstream gets no tasks after it had less room than
// expected.
const _noRoomPause = 200 * time.Millisecond
