package scheduler

import (
	"net/http"
	"slices"
	"time"

	"fescuelanding/platform"
)

// A call names an upstream by its ID, so that any incarnation under the ID may take it. Which one has a run is known
// from its list, which names the incarnation, and from the clock in the answer to the start: clocks of incarnations
// begin anywhere. What ends an incarnation ends only what it is known to have. A run that may be in a later one
// waits for that one's first answer, for the proof that there is none, or until it has certainly ended.

// location is what is known of the incarnation that has carried out the start of a run.
type location uint8

const (
	// locationUnknown: the start had no answer, or one without a clock.
	locationUnknown location = iota
	// locationPresent: the incarnation that the owner knows has listed the run or confirmed its start.
	locationPresent
	// locationLater: the start was confirmed by a clock that can't be that of the incarnation that the owner knows.
	locationLater
)

// String returns the name of the location, for the log.
func (l location) String() string { return [...]string{"unknown", "present", "later"}[l] }

// ending is the evidence for the end of an upstream's incarnation.
type ending struct {
	// why is one of a few fixed texts.
	why string
	// replaced is set if no later incarnation has the upstream's ID.
	replaced bool
	// ordered is set if an order ended the incarnation.
	ordered bool
	// allBefore is set if all incarnations have ended that answered anything before a time.
	allBefore time.Time
}

// _otherUpstream is why an incarnation has ended whose address another upstream serves.
const _otherUpstream = "address serves another upstream"

// ends reports whether the evidence shows that a run has ended, or that its start was never sent.
func (e ending) ends(r *run) bool {
	switch {
	case e.replaced || r.held:
		return true
	case r.repeated:
		return false // Another copy of the start may still be carried out.
	case r.location == locationPresent:
		return true
	}
	return !r.started.IsZero() && r.started.Before(e.allBefore)
}

// mayHaveCrashed reports whether the run may have been in the ended incarnation. A start without an answer counts:
// the upstream may have crashed while it carried it out.
func (e ending) mayHaveCrashed(r *run) bool { return e.ends(r) || r.location == locationUnknown }

// _lateOrder is how long a start without an answer keeps its task from others, if a later incarnation of its upstream
// doesn't show. It leaves a long-running task, which may be idle for 6 s, the time to start.
const _lateOrder = 5 * time.Second

// longestLease returns how long a lease lasts at most after it was granted, on the slowest clock.
func (s *Scheduler) longestLease() time.Duration {
	return time.Duration(float64(max(s.set.MaxLease, _lease))/_slowestClockRate) + _leaseLapseMargin
}

// followed reports whether the known incarnation has a successor that hasn't answered a poll yet.
func (h *host) followed() bool { return !h.followedSince.IsZero() }

// expectSuccessor notes that the known incarnation has a successor. Nothing is placed on the upstream, and no lease
// is renewed, until a poll was answered.
func (s *Scheduler) expectSuccessor(now time.Time, h *host, why string) {
	if h.followed() {
		return
	}
	s.logNote("Upstream has a later incarnation that isn't known yet.", "", "upstream", h.up.ID, "runs", len(h.runs), "born", h.born, "why", why)
	h.followedSince, h.pollDue = now, now
	h.touch()
}

// applyClock applies the clock in the answer to a start, and notes which incarnation has answered. An answer to a
// start from before the present incarnation was known may be that of a former one.
func (s *Scheduler) applyClock(now time.Time, r *run, e Ordered, sent time.Time) {
	h := r.host
	if e.ClockMs <= 0 || h.clockReadAt.IsZero() || platform.Status(e.Err) == http.StatusMisdirectedRequest {
		return
	}
	former := sent.Before(h.knownSince)
	if h.mayShow(e.ClockMs, sent, now) {
		if e.Err == nil {
			r.location = locationPresent
		}
		if former {
			s.extendLongest(h, e.ClockMs)
			return
		}
		h.boundClock(now, e.ClockMs, sent)
		if e.ClockMs > h.clockNow(now) {
			h.clockMs, h.clockReadAt = e.ClockMs, now
		}
		return
	}
	if former {
		return
	}
	if e.Err == nil {
		r.location = locationLater
	}
	s.expectSuccessor(now, h, "clock in the answer to a start")
}

// endIncarnation applies evidence that an upstream's incarnation has ended.
func (s *Scheduler) endIncarnation(now time.Time, h *host, e ending) {
	lost := slices.DeleteFunc(h.cloneRuns(), func(r *run) bool { return !e.ends(r) })
	if h.gone && len(lost) == 0 {
		s.awaitSuccessor(now, h, e)
		return
	}
	crashed := slices.DeleteFunc(h.cloneRuns(), func(r *run) bool { return !e.mayHaveCrashed(r) || h.gone && r.crashCounted })
	if e.replaced || !e.allBefore.IsZero() {
		h.followedSince = time.Time{}
	}
	s.logNote("Upstream incarnation ended.", "", "upstream", h.up.ID, "runs", len(h.runs), "lost", len(lost), "why", e.why, "replaced", e.replaced,
		"followed", h.followed())
	h.ended = true
	if !h.followed() {
		// What may be in a later incarnation has the upstream polled on.
		h.gone, h.failedPolls, h.pollDue = true, max(h.failedPolls, 1), now
		s.awaitSuccessor(now, h, e)
	}
	var hopeless []*job
	if e.ordered {
		h.expired = nil
	} else {
		hopeless = s.recordCrash(now, h, e.why, crashed)
	}
	for _, r := range lost {
		r.task.doubt()
	}
	s.loseRuns(now, lost, e.why)
	for _, r := range h.runs {
		r.keepStart()
	}
	s.giveUp(now, hopeless)
	s.replan = true
}

// awaitSuccessor bounds how long inherited jobs wait for an upstream of a former owner whose incarnation has ended.
// A later one, in which that owner may have started tasks, shows soon.
func (s *Scheduler) awaitSuccessor(now time.Time, h *host, e ending) {
	t, unpolled := s.unpolled[h.up.ID]
	switch {
	case !unpolled:
	case e.replaced || !e.allBefore.IsZero():
		delete(s.unpolled, h.up.ID)
	case now.Add(_successorWait).Before(t):
		s.unpolled[h.up.ID] = now.Add(_successorWait)
	}
}

// _successorWait is the time within which an upstream that began again before a report of its end, which
// may be older, is in the platform's list or answers a poll.
const _successorWait = 1500 * time.Millisecond

// keepStart makes a start of which a copy may still be carried out, beside the run that has ended with its
// incarnation, one without an answer.
func (r *run) keepStart() {
	if r.location != locationPresent {
		return
	}
	r.started, r.location = time.Time{}, locationUnknown
	if r.state == runRunning {
		r.setState(runUnconfirmed)
	}
}

// mayBeLater reports whether a run may be in a later incarnation than the known one, although that one has ended or
// may have.
func (r *run) mayBeLater() bool {
	return (r.host.gone || r.host.followed()) && r.location != locationPresent
}

// certainEnd returns when the run of an unreachable upstream has certainly ended, and can't begin any more.
func (s *Scheduler) certainEnd(r *run) time.Time {
	h := r.host
	if !r.mayBeLater() {
		return h.lapseTime()
	}
	granted := h.leaseSentAt.Add(_orderLife + _orderTimeout)
	if r.started.After(granted) {
		granted = r.started
	}
	lapsed, late := granted.Add(s.longestLease()), r.ordered.Add(_lateOrder)
	switch {
	case r.state != runOrdered && !r.unanswered():
		return lapsed
	case h.followed() && lapsed.After(late):
		return lapsed
	}
	return late
}

// certainlyEnded reports whether the run of an unreachable upstream has certainly ended.
func (s *Scheduler) certainlyEnded(now time.Time, r *run) bool {
	if !r.mayBeLater() {
		return r.host.lapsed(now)
	}
	return !now.Before(s.certainEnd(r))
}

// endedRuns returns the runs of an unreachable upstream that have certainly ended, and when the last of them had.
func (s *Scheduler) endedRuns(now time.Time, h *host) ([]*run, time.Time) {
	var l []*run
	var last time.Time
	for _, r := range h.runs {
		if s.certainlyEnded(now, r) {
			l = append(l, r)
			if t := s.certainEnd(r); t.After(last) {
				last = t
			}
		}
	}
	return l, last
}
