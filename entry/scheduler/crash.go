package scheduler

import (
	"fmt"
	"strings"
	"time"
)

// _settleTime is how long a run has to last on a live upstream until it is unlikely that its
// start crashes the upstream.
const _settleTime = 400 * time.Millisecond

// settled reports whether the upstream has outlived the run's start by a time, as far as
// its answers to polls show.
func (r *run) settled(d time.Duration) bool { return r.survived >= d }

// noteSurvival records that the upstream listed the run when its clock was at clockMs.
func (r *run) noteSurvival(clockMs int64) {
	if r.startClockMs == 0 {
		r.startClockMs = clockMs
	}
	r.survived = max(r.survived, time.Duration(clockMs-r.startClockMs)*time.Millisecond)
}

// endsPlanned reports whether an upstream was about to leave, so that its end is no crash.
func (h *host) endsPlanned(now time.Time) bool {
	return h.up.Draining || now.Before(h.drainedUntil)
}

// recordCrash records the end of an upstream's incarnation that nobody ordered.
func (s *Scheduler) recordCrash(now time.Time, h *host, why string, lost []*run) {
	if len(lost) == 0 || h.endsPlanned(now) {
		return
	}
	var unsettled []string
	for _, r := range lost {
		if !r.settled(_settleTime) {
			unsettled = append(unsettled, fmt.Sprintf("%s/%d", r.task.name, r.number))
		}
	}
	s.logNote("Upstream crashed.", "", "upstream", h.up.ID, "machine", h.up.Machine, "why", why, "runs", len(lost),
		"unsettled", strings.Join(unsettled, " "), "seenMsAgo", now.Sub(h.lastAnsweredAt).Milliseconds())
	s.emit(CountCrash{Runs: len(lost)})
}
