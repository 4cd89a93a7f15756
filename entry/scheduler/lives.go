package scheduler

import (
	"maps"
	"slices"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

// updateUpstreams applies the platform's list of the pool's upstreams.
func (s *Scheduler) updateUpstreams(now time.Time, all []platform.Upstream) {
	seen := make(map[string]bool, len(all))
	s.pruneEndedIncarnations(all)
	defer func() {
		if !s.listed {
			s.listed = true
			s.answerPending(now)
		}
	}()
	for _, u := range all {
		if born, ok := s.endedIncarnations[u.ID]; ok && u.StartUnixMs <= born {
			continue
		}
		seen[u.ID] = true
		h := s.hosts.get(u.ID)
		switch {
		case h == nil:
			s.hosts.add(newHost(u, now))
			s.logNote("Upstream listed.", "", "upstream", u.ID, "machine", u.Machine, "born", u.StartUnixMs, "draining", u.Draining)
			s.replan = true
		case u.StartUnixMs > h.born && (h.born != 0 || h.gone):
			// The next poll shows which of this owner's runs are in the new
			// incarnation.
			h.update(u, now)
			h.gone = false
			h.pollDue, h.failedPolls = now, max(h.failedPolls, 1)
			s.expectSuccessor(now, h, "list")
		default:
			s.updateUpstream(now, h, u)
		}
	}
	for _, h := range s.hosts.all() {
		id := h.up.ID
		if h.listed && !seen[id] {
			h.listed, h.unlistedAt = false, now
			h.pollDue = now
			h.touch()
			s.logNote("Upstream no longer listed.", "", "upstream", id, "runs", len(h.runs))
		}
		if !h.listed {
			s.dropIfUnused(now, h)
		}
	}
}

// pruneEndedIncarnations drops the ended incarnations that the list no longer
// has.
func (s *Scheduler) pruneEndedIncarnations(all []platform.Upstream) {
	for id := range s.endedIncarnations {
		if !slices.ContainsFunc(all, func(u platform.Upstream) bool { return u.ID == id }) {
			delete(s.endedIncarnations, id)
		}
	}
}

func (s *Scheduler) updateUpstream(now time.Time, h *host, u platform.Upstream) {
	if !h.listed || u.Draining != h.up.Draining {
		s.logNote("Upstream listed again, or its draining state changed.", "", "upstream", u.ID, "draining", u.Draining)
		s.replan = true
	}
	if u.Capacity != h.up.Capacity {
		s.logNote("Capacity of an upstream changed.", "", "upstream", u.ID, "was", h.up.Capacity.MilliCPU, "milliCPU", u.Capacity.MilliCPU,
			"used", h.used.MilliCPU)
		s.replan = true
	}
	h.update(u, now)
	if u.Draining {
		s.evacuate(now, h, true)
	}
}

// restartUpstream switches an upstream to a new incarnation under the same ID.
// Starts sent to the former incarnation may have reached the new one, so runs
// that the poll lists are kept, and so are starts without an answer and those that were
// confirmed after the poll was sent.
func (s *Scheduler) restartUpstream(now, sent time.Time, h *host, l platform.UpstreamStatus) {
	s.logNote("Upstream restarted under its ID.", "", "upstream", h.up.ID, "runs", len(h.runs), "was", h.born, "born", l.StartUnixMs)
	for _, r := range h.runs {
		r.doubtStart(l)
	}
	// A start without an answer counts too, although it may still reach the new incarnation: the
	// upstream may have crashed while it carried it out.
	hopeless := s.recordCrash(now, h, "upstream restarted", slices.DeleteFunc(h.cloneRuns(), func(r *run) bool {
		return mayBeIn(l, r, sent) && (!r.unanswered() || lists(l, r)) || r.location == locationLater
	}))
	lost := 0
	for _, r := range h.cloneRuns() {
		if mayBeIn(l, r, sent) {
			// The present incarnation knows nothing of a stop that the former one answered.
			r.stopped, r.stopSent, r.stopDue = time.Time{}, false, now
			continue
		}
		r.task.doubt()
		lost++
		s.logLost(now, r, "upstream restarted")
		s.release(now, r)
	}
	if lost > 0 {
		s.emit(CountGivenUp{Why: "upstream restarted", Runs: lost})
	}
	s.giveUp(now, hopeless)
	h.setBorn(now, l.StartUnixMs)
	h.fenced, h.gone, h.followedSince = false, false, time.Time{}
	h.clockMs, h.clockReadAt, h.ceilingAt, h.pollClockMs = 0, time.Time{}, time.Time{}, 0
	if h.deadlineMs > 0 || h.recordQueued || len(l.Running) > 0 {
		// Calls that were meant for the former incarnation have deadlines by its clock, for which
		// the new one may have granted the longest lease: to whatever runs there, also later.
		h.deadlineMs = l.ClockMs + max(s.set.MaxLease, _lease).Milliseconds()
	}
	h.seenEnd, h.durableEnd, h.lastResult, h.failedPolls = 0, 0, 0, 0
	for _, r := range h.runs {
		r.startClockMs, r.survived, r.location = 0, 0, locationUnknown
	}
	s.journal.forgetHost(h)
	h.health = health{}
	h.pollDue = now
	delete(s.journal.ends, h)
	if s.journal.inFlight != nil {
		delete(s.journal.inFlight.ends, h)
	}
	delete(s.unpolled, h.up.ID)
	s.replan = true
}

// mayBeIn reports whether a run may be in the incarnation that answered a poll, sent at some
// time.
func mayBeIn(l platform.UpstreamStatus, r *run, sent time.Time) bool {
	return r.state == runOrdered || r.unanswered() || !r.started.Before(sent) || lists(l, r)
}

// unanswered reports whether the run's start had no answer, and no poll has listed the run since.
func (r *run) unanswered() bool {
	return r.state == runUnconfirmed || r.state == runStopping && r.started.IsZero()
}

// lists reports whether a poll lists a run as running or ended.
func lists(l platform.UpstreamStatus, r *run) bool {
	return slices.ContainsFunc(l.Running, func(n platform.Running) bool {
		return n.Run == r.number && n.Task == r.task.name
	}) || slices.ContainsFunc(l.Ended, func(n platform.Ended) bool {
		return n.Run == r.number && n.Task == r.task.name
	})
}

// endIncarnations ends the incarnations that the planner reports as ended.
func (s *Scheduler) endIncarnations(now time.Time, gone []*link.Gone) {
	for _, g := range gone {
		h := s.hosts.get(g.GetUpstream())
		if h == nil || h.born != g.GetStartUnixMs() {
			continue
		}
		if (h.ended || h.gone) && !g.GetReplaced() {
			continue
		}
		s.endedIncarnations[h.up.ID] = h.born
		s.endIncarnation(now, h, ending{why: "planner reported its end", replaced: g.GetReplaced(), ordered: g.GetOrdered()})
		if h.gone {
			h.listed = false
			s.dropIfUnused(now, h)
		}
	}
}

// dropIfUnused drops an upstream that isn't listed and runs nothing, and deletes its
// record.
func (s *Scheduler) dropIfUnused(now time.Time, h *host) {
	id := h.up.ID
	if _, unpolled := s.unpolled[id]; unpolled || len(h.runs) > 0 || h.polling {
		return
	}
	if h.failedPolls == 0 && !h.gone && h.fenced {
		return // It answers, so its list entry may come back.
	}
	if h.recordQueued && now.Before(s.loadedAt.Add(_formerOwnerTimeout)) {
		return // A former owner may still start a task in its next incarnation.
	}
	s.logNote("Upstream dropped.", "", "upstream", id, "gone", h.gone, "failed", h.failedPolls, "recorded", h.recordQueued)
	s.hosts.drop(id)
	if h.recordQueued {
		s.deleteRecords(now, HostKey(s.set.Pool, id))
	}
}

// loseRuns gives up runs on an upstream, so that their tasks are placed again.
func (s *Scheduler) loseRuns(now time.Time, l []*run, why string) {
	if len(l) > 0 {
		s.emit(CountGivenUp{Why: why, Runs: len(l)})
	}
	for _, r := range l {
		s.logLost(now, r, why)
		s.release(now, r)
	}
}

// logLost logs that a run is given up, and what is known of the incarnation that has it.
func (s *Scheduler) logLost(now time.Time, r *run, why string) {
	h, confirmed := r.host, int64(-1)
	if !r.started.IsZero() {
		confirmed = now.Sub(r.started).Milliseconds()
	}
	s.logNote("Run lost.", r.task.step.occurrence.job.def.GetId(), "task", r.task.name, "run", r.number, "upstream", h.up.ID, "why", why,
		"state", r.state.String(), "orderedMsAgo", now.Sub(r.ordered).Milliseconds(), "confirmedMsAgo", confirmed,
		"seenMsAgo", now.Sub(h.lastAnsweredAt).Milliseconds(), "location", r.location.String(), "followed", h.followed(), "born", h.born,
		"startClockMs", r.startClockMs, "clockMs", h.clockNow(now))
}

// release ends a run, so that its task may be placed again.
func (s *Scheduler) release(now time.Time, r *run) {
	r.host.remove(r)
	s.countRun(r, -1)
	t := r.task
	t.drop(r)
	t.step.running--
	if r.recorded() && !t.step.occurrence.job.over() {
		s.recordWithNext(t)
	}
	if len(t.runs) == 0 && !t.done {
		t.waitingSince = now
	}
	s.replan = true
}

// expire gives up the runs on an unreachable upstream once its leases have
// lapsed, and no later owner can have renewed them before that.
func (s *Scheduler) expire(now time.Time, h *host) {
	if !s.mayLapse(h) {
		return
	}
	l, at := s.endedRuns(now, h)
	if len(l) == 0 || !s.ownedAt(now, at) {
		return
	}
	s.logNote("Leases on an unreachable upstream have lapsed.", "", "upstream", h.up.ID, "runs", len(l), "left", len(h.runs)-len(l),
		"lapsedMsAgo", now.Sub(at).Milliseconds(), "seenMsAgo", now.Sub(h.lastAnsweredAt).Milliseconds(),
		"confirmedMsAgo", now.Sub(s.ownership.confirmedAt).Milliseconds())
	for _, r := range l {
		if r.location != locationLater {
			h.expired = append(h.expired, r)
		}
	}
	s.loseRuns(now, l, "lease lapsed")
}

// mayLapse reports whether runs on an upstream may end because their leases lapse. What a
// former owner left on an upstream that wasn't polled yet is left to expireUnpolled.
func (s *Scheduler) mayLapse(h *host) bool {
	_, unpolled := s.unpolled[h.up.ID]
	return len(h.runs) > 0 && h.failedPolls > 0 && !unpolled
}

// expireUnpolled stops waiting for the upstreams of a former owner once every
// lease on them has certainly lapsed, and no later owner can have renewed it before that.
func (s *Scheduler) expireUnpolled(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.unpolled)) {
		if t := s.unpolled[id]; !now.Before(t) && s.ownedAt(now, t) {
			delete(s.unpolled, id)
			if h := s.hosts.get(id); h != nil && !h.gone {
				h.expired = h.cloneRuns()
				s.loseRuns(now, h.cloneRuns(), "lease of a former owner lapsed")
			}
			s.logNote("Upstream of a former owner never answered; nothing of that owner runs there any more.", "", "upstream", id)
			s.replan = true
		}
	}
}

// _unpolledLogInterval is the time between two log lines about the upstreams that
// hold up inherited jobs.
const _unpolledLogInterval = time.Second

// logUnpolled logs which upstreams of a former owner hold up inherited jobs, and when
// none does any longer.
func (s *Scheduler) logUnpolled(now time.Time) {
	waited := now.Sub(s.loadedAt)
	if len(s.unpolled) == 0 {
		if !s.unpolledLoggedAt.IsZero() {
			s.logNote("No upstream of a former owner holds up inherited jobs any longer.", "", "waitedMs", waited.Milliseconds())
		}
		s.unpolledLoggedAt = time.Time{}
		return
	}
	if now.Sub(s.unpolledLoggedAt) >= _unpolledLogInterval {
		s.unpolledLoggedAt = now
		s.logNote("Inherited jobs wait for upstreams of a former owner.", "", "waitedMs", waited.Milliseconds(),
			"upstreams", slices.Sorted(maps.Keys(s.unpolled)))
	}
}
