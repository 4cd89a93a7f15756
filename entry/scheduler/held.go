package scheduler

import (
	"slices"
	"time"
)

// hold keeps a start back until the journal has it, and what is known of crashes under the task, so
// that a later owner counts the run if its upstream crashes too.
func (s *Scheduler) hold(now time.Time, r *run) {
	r.held = true
	s.held = append(s.held, r)
	s.markDirty(now, s.partOf(r.task), _acceptDelay)
}

// doubt has the next start of a task wait for the journal, and those of its gang, because the end
// of its run wasn't read. A later owner may have read that end, and noted that the task is done,
// before the upstream ended or restarted. It claims the journal first, so that the store refuses
// the append.
func (t *task) doubt() {
	t.doubted = true
	if t.step.def.GetGang() {
		for i := range t.step.tasks {
			t.step.tasks[i].doubted = true
		}
	}
}

// noteHeld notes that a batch has the held starts of a part.
func (s *Scheduler) noteHeld(p part, batch int64) {
	for _, r := range s.held {
		if s.partOf(r.task) == p {
			r.heldBatch = batch
		}
	}
}

// mayStart reports whether a held run may still start on its upstream.
func (r *run) mayStart(now time.Time) bool {
	return r.host.usable(now) || r.reclaimed && r.host.reclaims(now)
}

// sendHeld sends the held starts that a batch has made durable.
func (s *Scheduler) sendHeld(now time.Time, batch int64) {
	var due []*run
	s.held = slices.DeleteFunc(s.held, func(r *run) bool {
		if !slices.Contains(r.task.runs, r) || r.state != runOrdered {
			return true
		}
		if r.heldBatch == batch {
			due = append(due, r)
			return true
		}
		return false
	})
	s.sendStarts(now, due)
}

// sendProven sends the held starts for which the ownership wasn't proven, or has it proven. While it can't be, the
// starts are released.
func (s *Scheduler) sendProven(now time.Time) {
	if !slices.ContainsFunc(s.held, func(r *run) bool { return r.unproven }) {
		return
	}
	if s.mayOrder(now) && !s.mayStart(now) {
		s.seekAcceptance(now)
		return
	}
	var due []*run
	s.held = slices.DeleteFunc(s.held, func(r *run) bool {
		if r.unproven && slices.Contains(r.task.runs, r) {
			due = append(due, r)
		}
		return r.unproven
	})
	s.sendStarts(now, due)
}

// sendStarts sends held starts that are durable. Those whose tickets have lapsed are held until there
// are others, and all of them while the ownership isn't proven.
func (s *Scheduler) sendStarts(now time.Time, due []*run) {
	for _, r := range due {
		r.task.doubted = false
		if r.state != runOrdered {
			continue // stopped with another member of its gang
		}
		st := r.task.step
		if r.unticketed = !st.hasTicket(now, r.host) && !st.isDenied(r.host); r.unticketed {
			s.held = append(s.held, r)
			continue
		}
		if r.unproven = s.mayOrder(now) && !s.mayStart(now); r.unproven {
			s.held = append(s.held, r)
			continue
		}
		r.held, r.ordered = false, now
		if !r.mayStart(now) || !s.mayOrder(now) || !st.hasTicket(now, r.host) {
			s.releaseUnstarted(now, r)
			continue
		}
		r.host.awaitingSince = now
		s.emitStart(now, r)
	}
}
