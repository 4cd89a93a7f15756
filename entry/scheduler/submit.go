package scheduler

import (
	"slices"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// configure takes in the queues of the pool. Jobs of a queue that is no longer
// there go on as they were accepted.
func (s *Scheduler) configure(queues []platform.Queue) {
	clear(s.queues)
	for _, q := range queues {
		s.queues[q.Name] = q
	}
	for _, j := range s.active {
		if q, ok := s.queues[j.def.GetQueue()]; ok {
			j.queue = q
		}
	}
	s.replan = true
}

// load takes in what former owners appended.
func (s *Scheduler) load(now time.Time, e Loaded) {
	s.loaded, s.loadedAt = true, now
	s.learned.restore(e.Learned)
	for _, d := range e.Jobs {
		j := s.adopt(d, e.Progress[d.GetId()])
		s.jobs[d.GetId()] = j
		if j.over() {
			s.past = append(s.past, j)
		} else {
			s.active = append(s.active, j)
		}
	}
	for _, u := range e.Hosts {
		s.unheard[u.ID] = now.Add(_unheard)
		if s.hosts.get(u.ID) == nil {
			h := newHost(u, now)
			h.listed = false
			s.hosts.add(h)
		}
		h := s.hosts.get(u.ID)
		h.inRoster, h.enrolled = true, true
	}
	s.note("Journal loaded.", "", "jobs", len(e.Jobs), "open", len(s.active), "upstreams", len(e.Hosts))
	s.answerWaiting(now)
	s.replan = true
}

// adopt rebuilds a job from its records. Runs continue above any number that a
// former owner can have used without appending it.
func (s *Scheduler) adopt(d *work.Job, p *work.Progress) *job {
	j := &job{
		def: d, queue: s.queues[d.GetQueue()], arrived: time.UnixMilli(d.GetAcceptedUnixMs()),
		durable: true, inherited: true,
		cancelled: p.GetCancelled(), failed: p.GetFailed(), completed: p.GetCompleted(),
	}
	j.objective = s.objective(j)
	j.shown = endState(j)
	j.endedAt = time.UnixMilli(p.GetEndedUnixMs())
	for _, o := range p.GetOccurrences() {
		c := j.occurrence(int(o.GetNumber()))
		for i, sp := range o.GetSteps() {
			if c != nil && i < len(c.steps) {
				restore(c.steps[i], sp)
			}
		}
	}
	if !j.over() && !j.timed() {
		// Its tasks may have run, though nothing about them was appended.
		j.occurrence(0)
	}
	return j
}

// restore sets a step to what was appended about it.
func restore(st *step, p *work.StepProgress) {
	for i := range st.tasks {
		t := &st.tasks[i]
		if b := p.GetDone(); i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 {
			t.done = true
			st.left--
			st.occurrence.job.begun = true
		}
		t.last += int64(p.GetLastRun())
	}
	for _, f := range p.GetFailures() {
		if i := int(f.GetTask()); i < len(st.tasks) {
			st.tasks[i].failed = append(st.tasks[i].failed, int64(f.GetRun()))
		}
	}
}

// submit decides on a job that a caller hands in.
func (s *Scheduler) submit(now time.Time, e Submitted) {
	id := e.Job.GetId()
	if j := s.jobs[id]; j != nil {
		if j.durable {
			s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_OK})
			return
		}
		j.waiting = append(j.waiting, e.Ref)
		return
	}
	j := &job{
		def: e.Job, queue: s.queues[e.Job.GetQueue()], arrived: now,
		waiting: []Ref{e.Ref},
	}
	first, fresh := s.first.note(now, id)
	j.def.AcceptedUnixMs = first.UnixMilli()
	j.arrived = first
	j.objective = s.objective(j)
	if fresh {
		s.demand.note(now, s.workOf(j))
	}
	v := s.admit(now, j)
	if v.outcome != link.Outcome_OUTCOME_OK {
		s.note("Job refused.", id, "queue", j.def.GetQueue(), "why", v.why,
			"sinceMs", now.Sub(first).Milliseconds(), "predictedMs", v.predicted.Milliseconds(),
			"objectiveMs", j.objective.Milliseconds(), "capacity", int64(v.backlog.capacity),
			"waiting", int64(v.backlog.waiting), "running", int64(v.backlog.running),
			"retryAfterMs", v.retry.Milliseconds())
		s.reply(e.Ref, &link.Answer{Outcome: v.outcome, RetryAfterMs: v.retry.Milliseconds()})
		return
	}
	j.predicted = v.predicted
	s.jobs[id] = j
	s.active = append(s.active, j)
	s.journal.accepts = append(s.journal.accepts, j)
	s.journal.wake(now.Add(_acceptDelay))
}

// ask tells a caller how far a job is.
func (s *Scheduler) ask(e StateRequested) {
	j := s.jobs[e.ID]
	if j == nil {
		s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_GONE})
		return
	}
	if !j.durable {
		s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_UNAVAILABLE})
		return
	}
	s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_OK, State: j.state()})
}

// cancel ends a job. The caller hears of it once it can't come back.
func (s *Scheduler) cancel(now time.Time, e CancelRequested) {
	j := s.jobs[e.ID]
	switch {
	case j == nil:
		s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_GONE})
		return
	case j.shown != link.JobState_JOB_STATE_UNSPECIFIED:
		s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_OK, State: j.shown})
		return
	}
	j.cancelling = append(j.cancelling, e.Ref)
	if !j.over() {
		j.cancelled = true
		s.end(now, j)
		s.note("Job cancelled.", e.ID, "queue", j.def.GetQueue())
	}
	s.soil(now, j, _acceptDelay)
}

// end stops what runs of a job that is over.
func (s *Scheduler) end(now time.Time, j *job) {
	j.endedAt = now
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			for i := range st.tasks {
				s.stopAll(now, &st.tasks[i])
			}
		}
	}
	for i, x := range s.active {
		if x == j {
			s.active = append(s.active[:i], s.active[i+1:]...)
			break
		}
	}
	s.past = append(s.past, j)
	s.replan = true
}

func (s *Scheduler) stopAll(now time.Time, t *task) {
	for _, r := range t.runs {
		s.stop(now, r)
	}
}

// countPending counts the accepted jobs of a queue of which no task has begun.
func (s *Scheduler) countPending(queue string) int64 {
	var n int64
	for _, j := range s.active {
		if j.durable && !j.begun && j.def.GetQueue() == queue {
			n++
		}
	}
	return n
}

// vacate keeps some upstreams free and uses all others. It returns those that are
// vacant: where nothing runs, as far as this owner has heard them, since a former
// one may have left tasks there, and whose ends have been appended, as they are
// lost with the upstream's life.
func (s *Scheduler) vacate(now time.Time, ids []string) []string {
	var vacant []string
	for _, h := range s.hosts.all() {
		if !slices.Contains(ids, h.up.ID) && now.Before(h.vacatedUntil) {
			h.vacatedUntil = time.Time{}
			s.replan = true
		}
	}
	for _, id := range ids {
		h := s.hosts.get(id)
		if h == nil {
			// The list has no such upstream, and nor had former owners.
			if now.Sub(s.loadedAt) > _unlisted {
				vacant = append(vacant, id)
			}
			continue
		}
		h.vacatedUntil = now.Add(_vacateLease)
		s.evacuate(now, h)
		if h.fenced && len(h.runs) == 0 && h.telling <= h.durable {
			vacant = append(vacant, id)
		}
	}
	return vacant
}

// _youngLife is how long before the planner saw that an upstream's life was over
// that life must have begun: clocks differ, and a host may come back under the ID
// that it had.
const _youngLife = 2500 * time.Millisecond

// bereave ends the lives of upstreams that the planner says are over.
func (s *Scheduler) bereave(now time.Time, gone []*link.Gone) {
	for _, g := range gone {
		h := s.hosts.get(g.GetUpstream())
		if h == nil || h.gone || h.born > g.GetAtUnixMs()-_youngLife.Milliseconds() {
			continue
		}
		s.over(now, h, "no host names it")
		h.listed = false
		s.dead[h.up.ID] = h.born
		s.bury(h)
	}
}

// evacuate stops long-running tasks that may be away, so that they start
// elsewhere. Others are waited for.
func (s *Scheduler) evacuate(now time.Time, h *host) {
	for _, r := range h.running() {
		if r.task.step.def.GetLongRunning() && r.state == runRunning && r.task.step.sparable(r.task) {
			s.stop(now, r)
		}
	}
}

// endState is the final state of a job, if it has one.
func endState(j *job) link.JobState {
	switch {
	case j.cancelled:
		return link.JobState_JOB_STATE_CANCELLED
	case j.failed:
		return link.JobState_JOB_STATE_FAILED
	case j.completed:
		return link.JobState_JOB_STATE_COMPLETED
	}
	return link.JobState_JOB_STATE_UNSPECIFIED
}
