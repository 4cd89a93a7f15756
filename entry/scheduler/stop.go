package scheduler

import (
	"errors"
	"net/http"
	"time"

	"fescuelanding/fleet/permit"
	"fescuelanding/platform"
)

// stopReason is why a run is stopped, for the log and the metrics.
type stopReason string

const (
	stopTaskDone    stopReason = "taskDone"
	stopJobOver     stopReason = "jobOver"
	stopSurplus     stopReason = "surplus"
	stopUnconfirmed stopReason = "startUnconfirmed"
	stopStuck       stopReason = "stuck"
	stopEvacuated   stopReason = "evacuated"
	stopHostDue     stopReason = "hostDue"
	stopEvicted     stopReason = "evicted"
	stopGang        stopReason = "gangIncomplete"
	stopRepeated    stopReason = "repeated"
)

// stop stops a run. Its task isn't placed again before the stop is confirmed.
func (s *Scheduler) stop(now time.Time, r *run, why stopReason) {
	if r.state == runStopping {
		return
	}
	s.noteStop(now, r, why)
	r.setState(runStopping)
	r.stopDue = now
	s.sendStop(now, r)
}

// noteStop counts a stop, and logs it if the step bounds its missing tasks.
func (s *Scheduler) noteStop(now time.Time, r *run, why stopReason) {
	s.emit(CountStop{Why: string(why)})
	st := r.task.step
	if st.def.GetMayMiss() == 0 || st.occurrence.job.over() {
		return
	}
	s.logNote("Run of a step that bounds its missing tasks is stopped.", st.occurrence.job.def.GetId(), "task", r.task.name,
		"run", r.number, "upstream", r.host.up.ID, "why", string(why), "missing", st.countUnavailable(r.task),
		"mayMiss", st.def.GetMayMiss(), "confirmed", !r.started.IsZero(), "orderedMsAgo", now.Sub(r.ordered).Milliseconds())
}

func (s *Scheduler) sendStop(now time.Time, r *run) {
	r.stopSent, r.stopDue = true, now
	r.host.touch()
	s.emit(Stop{
		Host: r.host.up.ID, At: now, Target: r.host.target, Task: r.task.name, Run: r.number, Token: s.set.Token,
		Permit: permit.New(now, _orderLife), Timeout: s.flow.timeout(_orderTimeout),
	})
}

// resendStops repeats the stops that failed.
func (s *Scheduler) resendStops(now time.Time, h *host) {
	if h.states[runStopping] == 0 {
		return
	}
	for _, r := range h.runs {
		if r.state == runStopping && !r.stopSent && !now.Before(r.stopDue) {
			if s.retains(r) {
				s.withdrawStop(now, r)
				continue
			}
			s.noteStop(now, r, stopRepeated)
			s.sendStop(now, r)
		}
	}
}

// repeatStop has a run stopped again that is listed by a poll although its stop must have taken effect, or
// has had no answer by then. The poll was sent at some time.
func (s *Scheduler) repeatStop(now time.Time, r *run, sent time.Time) {
	due := r.stopDue.Add(_orderLost)
	if !r.stopped.IsZero() {
		due = r.stopped.Add(s.set.StopTimeout + _stopMargin)
	}
	if !r.stopSent || sent.Before(due) {
		return
	}
	s.logNote("Run goes on after its stop; stopping it again.", r.task.step.occurrence.job.def.GetId(), "task", r.task.name,
		"run", r.number, "upstream", r.host.up.ID, "answered", !r.stopped.IsZero(), "sentMsAgo", now.Sub(r.stopDue).Milliseconds())
	r.stopped, r.stopSent, r.stopDue = time.Time{}, false, now
}

// stopAnswered handles the answer to a stop that was sent at some time.
func (s *Scheduler) stopAnswered(now time.Time, r *run, sent time.Time, err error) {
	h := r.host
	if sent.Before(h.knownSince) || platform.Status(err) == http.StatusMisdirectedRequest && sent.Before(h.followedSince) {
		// It went to a former incarnation, maybe at another address, and says nothing of this one.
		r.stopSent, r.stopDue = false, now
		return
	}
	if err == nil {
		r.stopped = now
		h.pollDue = now
		return
	}
	switch platform.Status(err) {
	case http.StatusConflict:
		s.loseOwnership(h.up.ID)
	case http.StatusMisdirectedRequest:
		s.endIncarnation(now, h, ending{why: _otherUpstream, allBefore: sent})
	default:
		if !errors.Is(err, platform.ErrNotSent) {
			r.stopTried = true
		}
		r.stopSent, r.stopDue = false, now.Add(_stopRetryDelay)
		if !r.stopTried && r.keepable && !r.task.step.occurrence.job.over() {
			// The tasks that may be unavailable are counted anew before the next stop.
			r.setState(runRunning)
		}
	}
}
