package scheduler

import (
	"slices"
	"time"
)

// vacate drains the given upstreams and makes all others available. It returns
// those that are vacant: nothing runs on them, and their results have been
// appended, as the upstream loses these when it ends. An upstream that hasn't
// answered this owner isn't vacant, because a former owner may have left tasks
// there. Tasks that end by themselves run to their end, except on the upstreams to evict.
func (s *Scheduler) vacate(now time.Time, e LoadRequested) []string {
	var vacant []string
	for _, h := range s.hosts.all() {
		if slices.Contains(e.Vacate, h.up.ID) {
			continue
		}
		h.reclaimable, h.reportedVacant = false, false
		if now.Before(h.drainedUntil) {
			h.drainedUntil = time.Time{}
			h.touch()
			s.replan = true
		}
	}
	for _, id := range e.Vacate {
		h := s.hosts.get(id)
		if h == nil {
			// Neither the list nor the former owners' records have this upstream.
			if now.Sub(s.loadedAt) > _unlistedGrace {
				vacant = append(vacant, id)
			}
			continue
		}
		h.drainedUntil = now.Add(_vacateLease)
		evicted := slices.Contains(e.Evict, id)
		s.evacuate(now, h, evicted)
		if evicted {
			s.evict(now, h)
		}
		if h.fenced && len(h.runs) == 0 && h.lastResult <= h.durableEnd {
			vacant = append(vacant, id)
			h.reportedVacant = true
		}
		was := h.reclaimable
		if h.reclaimable = slices.Contains(e.Reclaimable, id) && !evicted && !h.reportedVacant; h.reclaimable && !was {
			s.replan = true
		}
	}
	return vacant
}

// evacuate stops long-running tasks on an upstream, so that they start on others.
// It stops no more of them than their steps allow to be unavailable. Tasks that
// aren't long-running are left to complete. Those that were placed there for want of other room
// stay until there is some, or until the upstream has to be vacant.
func (s *Scheduler) evacuate(now time.Time, h *host, evicted bool) {
	p := &pass{s: s, now: now}
	for _, r := range h.cloneRuns() {
		if !r.task.step.def.GetLongRunning() || r.state != runRunning || !r.task.step.mayStop(r.task) {
			continue
		}
		if r.reclaimed && !evicted && !p.roomElsewhere(r) {
			continue
		}
		s.stop(now, r, stopEvacuated)
		r.keepable = true
	}
}

// roomElsewhere reports whether another upstream has room for the task of a run.
func (p *pass) roomElsewhere(r *run) bool {
	found := slices.ContainsFunc(p.s.hosts.order, func(h *host) bool {
		return h != r.host && h.usable(p.now) && p.allowed(r.task, h) && fitsIn(r.task.step.def, h.free())
	})
	if !found {
		p.requestAdvice(r.task)
	}
	return found
}

// leaveDueHosts stops long-running tasks on hosts that a wave will take down, as far as others
// have room for them and their steps allow it. A step whose tasks have to move one after the other
// may need most of the wave's time limit for that.
func (s *Scheduler) leaveDueHosts(now time.Time) {
	p := &pass{s: s, now: now}
	for _, h := range s.hosts.order {
		if !h.waveDue || !h.usable(now) {
			continue
		}
		for _, r := range h.cloneRuns() {
			t := r.task
			if t.step.def.GetLongRunning() && r.state == runRunning && t.step.mayMove(t) && p.roomOffWave(t) {
				s.stop(now, r, stopHostDue)
				r.keepable = true
			}
		}
	}
}

// roomOffWave reports whether a host that isn't due has room for a task, and none of its step.
func (p *pass) roomOffWave(t *task) bool {
	found := slices.ContainsFunc(p.s.hosts.order, func(h *host) bool {
		return !h.waveDue && h.usable(p.now) && h.countStep(t.step) == 0 && p.allowed(t, h) && fitsIn(t.step.def, h.free())
	})
	if !found {
		p.requestAdvice(t)
	}
	return found
}

// evict stops the tasks on an upstream that would end by themselves, so that they start on
// others. The members of a gang, which would wait for one another in vain, are all stopped.
func (s *Scheduler) evict(now time.Time, h *host) {
	for _, r := range h.cloneRuns() {
		st := r.task.step
		if r.state != runRunning || st.def.GetLongRunning() {
			continue
		}
		s.logNote("Task is stopped, because its host is due.", st.occurrence.job.def.GetId(), "task", r.task.name,
			"run", r.number, "upstream", h.up.ID, "ranMs", now.Sub(r.started).Milliseconds())
		if !st.def.GetGang() {
			s.stop(now, r, stopEvicted)
			continue
		}
		for i := range st.tasks {
			s.stopAll(now, &st.tasks[i], stopEvicted)
		}
	}
}
