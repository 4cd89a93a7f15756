package scheduler

import (
	"slices"
	"time"

	"fescuelanding/platform"
)

// list takes in the platform's list of the pool's upstreams.
func (s *Scheduler) list(now time.Time, all []platform.Upstream) {
	seen := make(map[string]bool, len(all))
	s.forgetDead(all)
	defer func() {
		if !s.listed {
			s.listed = true
			s.answerWaiting(now)
		}
	}()
	for _, u := range all {
		if born, ok := s.dead[u.ID]; ok && u.Born <= born {
			continue
		}
		seen[u.ID] = true
		h := s.hosts.get(u.ID)
		switch {
		case h == nil:
			s.hosts.add(newHost(u, now))
			s.note("Upstream listed.", "", "upstream", u.ID, "machine", u.Machine, "born", u.Born, "draining", u.Draining)
			s.replan = true
		case u.Born > h.born && h.born != 0:
			// What of this owner's is in the new life, a look will tell.
			h.list(u, now)
			h.gone = false
			h.lookDue, h.failed = now, max(h.failed, 1)
		default:
			s.relist(now, h, u)
		}
	}
	for _, h := range s.hosts.all() {
		id := h.up.ID
		if h.listed && !seen[id] {
			h.listed, h.unlistedAt = false, now
			h.lookDue = now
			s.note("Upstream no longer listed.", "", "upstream", id, "runs", len(h.runs))
		}
		if !h.listed {
			s.bury(h)
		}
	}
}

// forgetDead forgets upstreams that the list no longer has.
func (s *Scheduler) forgetDead(all []platform.Upstream) {
	for id := range s.dead {
		if !slices.ContainsFunc(all, func(u platform.Upstream) bool { return u.ID == id }) {
			delete(s.dead, id)
		}
	}
}

func (s *Scheduler) relist(now time.Time, h *host, u platform.Upstream) {
	if !h.listed || u.Draining != h.up.Draining {
		s.note("Upstream changed.", "", "upstream", u.ID, "draining", u.Draining)
		s.replan = true
	}
	h.list(u, now)
	if u.Draining {
		s.evacuate(now, h)
	}
}

// reborn ends the life of an upstream that started anew under its ID. Orders for
// the former life may have reached the new one: what that lists goes on, and what
// is still unanswered stays so.
func (s *Scheduler) reborn(now time.Time, h *host, l platform.Look) {
	s.note("Upstream was reborn.", "", "upstream", h.up.ID, "runs", len(h.runs), "was", h.born, "born", l.Born)
	for _, r := range h.running() {
		if r.state == runOrdered || listed(l, r) {
			continue
		}
		s.note("Run lost.", r.task.step.occurrence.job.def.GetId(), "task", r.task.name,
			"run", r.number, "upstream", h.up.ID, "why", "reborn")
		s.release(now, r)
	}
	h.born, h.fenced, h.gone = l.Born, false, false
	h.clockMs, h.clockAt, h.deadlineMs, h.lookClockMs = 0, time.Time{}, 0, 0
	if len(h.runs) > 0 {
		// Its lease was named on the former life's clock; the longest is granted.
		h.deadlineMs = l.ClockMs + max(s.set.MaxLease, _lease).Milliseconds()
	}
	h.seen, h.durable, h.telling, h.failed = 0, 0, 0, 0
	h.health = health{}
	h.lookDue = now
	delete(s.journal.ends, h)
	if s.journal.inFlight != nil {
		delete(s.journal.inFlight.ends, h)
	}
	delete(s.unheard, h.up.ID)
	s.replan = true
}

// listed reports whether a look lists a run as running or ended.
func listed(l platform.Look, r *run) bool {
	return slices.ContainsFunc(l.Running, func(n platform.Running) bool {
		return n.Run == r.number && n.Task == r.task.name
	}) || slices.ContainsFunc(l.Ended, func(n platform.Ended) bool {
		return n.Run == r.number && n.Task == r.task.name
	})
}

// over ends the life of an upstream for good.
func (s *Scheduler) over(now time.Time, h *host, why string) {
	if h.gone {
		return
	}
	s.note("Upstream's life is over.", "", "upstream", h.up.ID, "runs", len(h.runs), "why", why)
	h.gone = true
	s.loseRuns(now, h, why)
	delete(s.unheard, h.up.ID)
	s.replan = true
}

// bury forgets an upstream that isn't listed and runs nothing.
func (s *Scheduler) bury(h *host) {
	id := h.up.ID
	if _, waited := s.unheard[id]; waited || len(h.runs) > 0 || h.looking {
		return
	}
	if h.failed == 0 && !h.gone && h.fenced {
		return // It answers; its entry may come back.
	}
	s.hosts.drop(id)
	if h.inRoster {
		s.journal.others = append(s.journal.others, platform.Record{Key: HostKey(s.set.Pool, id)})
	}
}

// loseRuns has the tasks of an upstream placed again.
func (s *Scheduler) loseRuns(now time.Time, h *host, why string) {
	for _, r := range h.running() {
		s.note("Run lost.", r.task.step.occurrence.job.def.GetId(), "task", r.task.name,
			"run", r.number, "upstream", h.up.ID, "why", why)
		s.release(now, r)
	}
}

// release ends a run: its task may be placed again.
func (s *Scheduler) release(now time.Time, r *run) {
	r.host.remove(r)
	t := r.task
	t.drop(r)
	t.step.running--
	if len(t.runs) == 0 && !t.done {
		t.waitingSince = now
	}
	s.replan = true
}

// expire gives up what runs on an upstream whose leases have lapsed.
func (s *Scheduler) expire(now time.Time, h *host) {
	if len(h.runs) > 0 && h.failed > 0 && h.lapsed(now) {
		s.loseRuns(now, h, "lease lapsed")
	}
}

// hear forgets upstreams of a former owner whose leases are surely over.
func (s *Scheduler) hear(now time.Time) {
	for id, t := range s.unheard {
		if !now.Before(t) {
			delete(s.unheard, id)
			s.note("Upstream of a former owner given up.", "", "upstream", id)
			s.replan = true
		}
	}
}
