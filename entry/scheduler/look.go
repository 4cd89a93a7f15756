package scheduler

import (
	"context"
	"errors"
	"net/http"
	"time"

	"fescuelanding/fleet/permit"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// wantsPoll reports whether an upstream has to be polled at all.
func (s *Scheduler) wantsPoll(h *host) bool {
	if h.gone {
		_, unpolled := s.unpolled[h.up.ID]
		return unpolled || len(h.runs) > 0
	}
	// An upstream that isn't idle, or hasn't answered this owner yet, is polled as
	// long as the platform lists it or it is in use.
	if !h.fenced || len(h.runs) > 0 || h.failedPolls > 0 || h.unknownRuns > 0 {
		return h.listed || len(h.runs) > 0 || h.recordQueued
	}
	if !h.listed {
		return true // The answer decides whether the upstream is dropped.
	}
	// An upstream that has run something is polled while idle too: if it drops
	// out of the platform's list, the time of its last answer decides whether
	// tasks may still be placed on it.
	return h.durableEnd > 0
}

// _repeatPollDelay is the pause between polls that list the same ends while the
// journal doesn't answer.
const _repeatPollDelay = 120 * time.Millisecond

// pollTime returns when an upstream is polled next. The poll is delayed while its
// ends are being appended, because it would return the same ends at once.
func (s *Scheduler) pollTime(h *host) time.Time {
	if h.seenEnd <= h.durableEnd || len(h.runs) == 0 || h.failedPolls > 0 {
		return h.pollDue
	}
	if t := h.lastAnsweredAt.Add(_repeatPollDelay); t.After(h.pollDue) {
		return t
	}
	return h.pollDue
}

// poll polls an upstream and renews its leases if that is due. While an earlier
// poll still waits for a run to end, a concurrent second poll is sent only to
// confirm the state of runs at once, or because the earlier one may be lost.
func (s *Scheduler) poll(now time.Time, h *host) {
	overdue := s.pollOverdue(now, h)
	if h.concurrentPoll || h.polling && !h.needsConfirmation() && !overdue || !s.wantsPoll(h) || now.Before(s.pollTime(h)) {
		return
	}
	d := s.pollWait(h)
	if overdue {
		d = 0
	}
	s.sendPoll(now, h, d)
}

// sendPoll sends a poll that waits up to d for a run to end, beside another one that may be waiting.
func (s *Scheduler) sendPoll(now time.Time, h *host, d time.Duration) {
	hold := platform.Hold{Token: s.set.Token, Acked: h.acknowledgeable(now), Wait: d}
	p := permit.New(now, _orderLife)
	h.polledAt = now
	h.touch()
	// Leases of an unreachable upstream aren't renewed, so that its tasks can be
	// placed elsewhere once the current lease has lapsed.
	if s.mayOrder(now) && !h.clockReadAt.IsZero() && len(h.runs) > 0 && h.failedPolls == 0 && !h.followed() {
		hold.DeadlineMs = h.extendLease(now, s.leaseTime())
		p = permitUntil(now, s.ownership.confirmedAt.Add(_storeTimeout))
	}
	l := Poll{Host: h.up.ID, Concurrent: h.polling, Target: h.target, Hold: hold, Permit: p, Timeout: hold.Wait + s.flow.timeout(_pollTimeout)}
	if l.Concurrent {
		h.concurrentPoll = true
	} else {
		h.polling, h.promptPoll = true, d == 0
	}
	s.emit(l)
}

const (
	// _pollHedge is the time after which a second poll backs an unanswered one.
	_pollHedge = 250 * time.Millisecond
	// _lossMemory is how long polls are backed after a call had no answer.
	_lossMemory = 10 * time.Second
)

// hedgeTime returns when a second poll backs an unanswered one. Without it, an upstream
// whose answer is lost stands idle until the poll times out, because the ends of its
// runs are unknown. It is zero while answers arrive, and if no run is expected to end.
func (s *Scheduler) hedgeTime(now time.Time, h *host) time.Time {
	if !h.polling || h.concurrentPoll || now.Sub(s.answerLostAt) > _lossMemory || len(h.runs) == h.longRunning() || !s.wantsPoll(h) {
		return time.Time{}
	}
	if t := s.pollTime(h); t.After(h.polledAt.Add(_pollHedge)) {
		return t
	}
	return h.polledAt.Add(_pollHedge)
}

// noteLostAnswer notes that a call to an upstream had no answer in time.
func (s *Scheduler) noteLostAnswer(now time.Time) {
	if now.Sub(s.answerLostAt) > _lossMemory {
		// All unanswered polls are backed from now on.
		for _, h := range s.hosts.order {
			h.touch()
		}
	}
	s.answerLostAt = now
}

func (s *Scheduler) pollOverdue(now time.Time, h *host) bool {
	t := s.hedgeTime(now, h)
	return !t.IsZero() && !now.Before(t)
}

// timedOut reports whether a call had no answer in time. Connections that are refused
// or reset don't count: their calls are known to be lost at once.
func timedOut(err error) bool { return errors.Is(err, context.DeadlineExceeded) }

// needsConfirmation reports whether only a poll can confirm the state of the upstream
// or of some run: the upstream was removed from the list, a start had no answer, or a
// stop was answered and its run may have ended.
func (h *host) needsConfirmation() bool {
	if h.states[runUnconfirmed] > 0 || h.unlistedUnanswered() || h.followed() || h.gone {
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

// unlistedUnanswered reports whether the upstream was removed from the list and hasn't
// answered a poll since.
func (h *host) unlistedUnanswered() bool {
	return !h.listed && !h.gone && h.fenced && !h.lastAnsweredAt.After(h.unlistedAt)
}

func (s *Scheduler) leaseTime() time.Duration {
	if s.set.MaxLease > 0 {
		return min(_lease, s.set.MaxLease)
	}
	return _lease
}

// pollWait returns how long a poll may wait for a run to end.
func (s *Scheduler) pollWait(h *host) time.Duration {
	if len(h.runs) == 0 || !h.fenced {
		return 0
	}
	if h.needsConfirmation() {
		return 0
	}
	if h.hasServingAndBestEffort() {
		return _pacePollWait
	}
	if h.hasStartingTask() || h.onTrial() {
		return _startupPollWait
	}
	return _pollWait
}

// _startupPollWait is the wait of polls while a task that others depend on starts
// up, or a run is on trial. The upstream answers a waiting poll early only if a run ends, not if a task
// becomes available.
const _startupPollWait = 250 * time.Millisecond

// hasStartingTask reports whether a task is starting up while its step bounds how
// many tasks may be unavailable. Other tasks of the step can't be stopped until
// it is available. A run of a former owner counts as starting up while that owner
// may have stopped it.
func (h *host) hasStartingTask() bool {
	for _, r := range h.runs {
		if r.state == runRunning && (r.percent < 100 || !r.adoptedAt.IsZero()) && r.task.step.def.GetMayMiss() > 0 {
			return true
		}
	}
	return false
}

// polled handles the answer to a poll.
func (s *Scheduler) polled(now time.Time, e Polled) {
	h := s.hosts.get(e.Host)
	if h == nil {
		return
	}
	if e.Concurrent {
		h.concurrentPoll = false
	} else {
		h.polling = false
	}
	if e.Err != nil {
		s.pollFailed(now, h, e)
		return
	}
	if e.Wait == 0 {
		s.flow.answered(now, now.Sub(e.Sent), false)
	}
	if e.Result.StartUnixMs != 0 && h.born != 0 && e.Result.StartUnixMs != h.born {
		if e.Result.StartUnixMs < h.born && h.fenced {
			return
		}
		// Before its first answer to this owner, the known start is that of a report. An
		// incarnation from before it can't answer any more, so that the report was wrong.
		s.restartUpstream(now, e.Sent, h, e.Result)
	}
	if h.gone || h.followed() && h.born != 0 && e.Sent.Before(h.followedSince) {
		s.polledFormer(now, h, e)
		return
	}
	if h.born == 0 {
		h.setBorn(now, e.Result.StartUnixMs)
	}
	if e.Result.ClockMs < h.pollClockMs {
		// A later poll was answered first. Only the ends in the older answer are
		// still valid.
		s.recordEnds(now, h, e.Result.Ended)
		return
	}
	h.pollClockMs = e.Result.ClockMs
	if h.failedPolls > 0 {
		s.logNote("Upstream answers polls again.", "", "upstream", h.up.ID, "failed", h.failedPolls)
	}
	if !h.fenced || h.failedPolls > 0 || h.unknownRuns > 0 || s.suspectWaits {
		s.replan = true
	}
	if !h.fenced {
		s.setFirstDeadline(now, h, e.Result)
	}
	s.noteAnswer(now, h, e)
	delete(s.unpolled, h.up.ID)
	s.recordInUse(now, h)
	s.recordEnds(now, h, e.Result.Ended)
	s.reconcileRuns(now, h, e)
	s.pace(now, h)
	h.pollDue = now.Add(s.flow.pollGap())
	if s.pollWait(h) == 0 {
		h.pollDue = now.Add(_noWaitPollDelay)
	}
	if len(h.runs) == 0 && h.unknownRuns == 0 {
		h.pollDue = now.Add(_pollWait)
	}
}

// polledFormer handles an answer of an incarnation that has ended since. What it lists as running has ended too; of
// a gone one, all runs were given up.
func (s *Scheduler) polledFormer(now time.Time, h *host, e Polled) {
	h.pollDue = now.Add(_pollRetryDelay)
	if !h.gone {
		s.recordEnds(now, h, e.Result.Ended)
	}
}

// noteAnswer notes that the known incarnation has answered a poll.
func (s *Scheduler) noteAnswer(now time.Time, h *host, e Polled) {
	h.failedPolls, h.fenced, h.lastAnsweredAt, h.unansweredStarts, h.followedSince = 0, true, now, 0, time.Time{}
	h.clockMs, h.clockReadAt, h.expired = e.Result.ClockMs, now, nil
	h.ended = false
	h.boundClock(now, e.Result.ClockMs, e.Sent)
	if h.deadlineMs > 0 && e.Sent.Before(h.knownSince) {
		s.extendLongest(h, e.Result.ClockMs)
	}
	s.accepted(h, e.Sent)
}

// setFirstDeadline sets the latest lease deadline that may have reached an upstream before its
// first answer to this owner.
func (s *Scheduler) setFirstDeadline(now time.Time, h *host, l platform.UpstreamStatus) {
	if s.set.MaxLease > 0 {
		// Deadlines so far counted from the listed clock, which may have been wrong. The
		// upstream shortens them.
		h.deadlineMs = min(h.deadlineMs, l.ClockMs+max(s.set.MaxLease, _lease).Milliseconds())
	}
	if len(l.Running) > 0 {
		s.logNote("Upstream has runs of a former owner.", "", "upstream", h.up.ID, "runs", len(l.Running),
			"waitedMs", now.Sub(s.loadedAt).Milliseconds(), "token", s.set.Token)
		// The runs may hold a lease that a former owner has just renewed.
		h.deadlineMs = max(h.deadlineMs, l.ClockMs+_lease.Milliseconds())
	}
	if h.recordQueued && s.young(now, h) {
		h.deadlineMs = max(h.deadlineMs, l.ClockMs+s.set.MaxLease.Milliseconds())
	}
}

// young reports whether an incarnation may hold a lease that it granted to a call which was meant for
// the one before it. The time at which it began is by another clock.
func (s *Scheduler) young(now time.Time, h *host) bool {
	return now.UnixMilli()-h.born < (s.set.MaxLease + _youngMargin).Milliseconds()
}

// _youngMargin allows for clocks that differ, and for calls that are carried out late.
const _youngMargin = 10 * time.Second

// _noWaitPollDelay is the pause between polls that don't wait for a run to end.
const _noWaitPollDelay = 60 * time.Millisecond

// recordInUse adds the upstream to the durable set of upstreams in use, which a
// later owner polls before it places inherited jobs.
func (s *Scheduler) recordInUse(now time.Time, h *host) {
	if h.recordQueued {
		return
	}
	h.recordQueued = true
	r := record(HostKey(s.set.Pool, h.up.ID),
		&work.Host{Id: h.up.ID, Address: h.up.Address, Machine: h.up.Machine, StartUnixMs: h.born})
	s.journal.others = append(s.journal.others, otherRecord{r, h})
	s.journal.schedule(now.Add(_acceptDelay))
}

func (s *Scheduler) pollFailed(now time.Time, h *host, e Polled) {
	if errors.Is(e.Err, platform.ErrExpired) {
		// This entry was late, which shows nothing about the upstream.
		h.pollDue = now
		return
	}
	if timedOut(e.Err) {
		s.noteLostAnswer(now)
		if h.lastAnsweredAt.After(e.Sent) {
			// A later poll was answered, so that only this one was lost.
			h.pollDue = now
			return
		}
	}
	switch platform.Status(e.Err) {
	case http.StatusMisdirectedRequest:
		if e.Sent.Before(h.knownSince) || e.Sent.Before(h.followedSince) {
			// The poll may have gone to the address of a former incarnation.
			h.pollDue = now
			return
		}
		s.endIncarnation(now, h, ending{why: _otherUpstream, allBefore: e.Sent})
	case http.StatusConflict:
		s.loseOwnership(h.up.ID)
		return
	}
	h.failedPolls++
	h.pollDue = now.Add(min(time.Duration(h.failedPolls)*_pollRetryDelay, _maxPollRetryDelay))
	if h.failedPolls == 1 {
		s.logNote("Upstream did not answer a poll; its leases are not renewed until it does.", "", "upstream", h.up.ID, "runs", len(h.runs), "err", e.Err)
	}
}
