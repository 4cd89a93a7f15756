package scheduler

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"fescuelanding/entry/link"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// configure replaces the queues of the pool, and of those that feed other pools. Jobs of a removed queue
// continue under the settings with which they were accepted.
func (s *Scheduler) configure(queues, others []platform.Queue) {
	clear(s.queues)
	clear(s.otherQueues)
	for _, q := range queues {
		s.queues[q.Name] = q
	}
	for _, q := range others {
		s.otherQueues[q.Name] = q
	}
	for _, j := range s.active {
		if q, ok := s.queueOf(j.def); ok {
			j.queue = q
		}
	}
	s.replan = true
}

// queueOf returns the settings of a job's queue, which may feed another pool by now.
func (s *Scheduler) queueOf(d *work.Job) (platform.Queue, bool) {
	if q, ok := s.queues[d.GetQueue()]; ok {
		return q, true
	}
	q, ok := s.otherQueues[d.GetQueue()]
	return q, ok
}

// load restores the state that former owners appended.
func (s *Scheduler) load(now time.Time, e Loaded) {
	s.loaded, s.loadedAt = true, now
	s.learned.restore(e.Learned)
	for _, d := range e.Jobs {
		j := s.restoreJob(d, e.Progress[d.GetId()])
		s.jobs[d.GetId()] = j
		if j.over() {
			s.past = append(s.past, j)
		} else {
			s.active = append(s.active, j)
			s.upcoming = append(s.upcoming, j)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(e.Progress)) {
		if s.jobs[id] == nil {
			s.restoreWithoutJob(now, id, e.Progress[id])
		}
	}
	for _, u := range e.Hosts {
		s.unpolled[u.ID] = now.Add(_formerOwnerTimeout)
		if s.hosts.get(u.ID) == nil {
			h := newHost(u, now)
			h.listed = false
			s.hosts.add(h)
		}
		h := s.hosts.get(u.ID)
		if u.StartUnixMs > h.born {
			// The list still has a former incarnation, whose clock is unrelated.
			h.setBorn(now, u.StartUnixMs)
			h.clockMs, h.clockReadAt = 0, time.Time{}
		}
		h.recordQueued, h.recordDurable = true, true
		if u.StartUnixMs != 0 && u.StartUnixMs < h.born {
			s.journal.forgetHost(h)
			s.recordInUse(now, h)
		}
	}
	s.homes.records = e.Homes
	s.settleHomes(now)
	s.restoreRuns(now)
	s.logNote("Journal loaded.", "", "jobs", len(e.Jobs), "open", len(s.active), "upstreams", len(e.Hosts))
	s.answerPending(now)
	s.replan = true
}

// restoreJob rebuilds a job from its records. Runs are numbered above any number
// that a former owner can have used without appending it.
func (s *Scheduler) restoreJob(d *work.Job, p *work.Progress) *job {
	q, _ := s.queueOf(d) // A removed queue has no settings.
	j := &job{
		def: d, queue: q, arrived: time.UnixMilli(d.GetAcceptedUnixMs()),
		durable: true, inherited: true,
		cancelled: p.GetCancelled(), failed: p.GetFailed(), completed: p.GetCompleted(),
	}
	j.objective = s.objective(j)
	j.durableState = endState(j)
	j.endedAt = time.UnixMilli(p.GetEndedUnixMs())
	s.restoreProgress(j, p)
	if !j.over() && !j.recurring() {
		// Its tasks may have run although nothing about them was appended.
		j.ensureOccurrence(0)
	}
	return j
}

// submit handles a caller's request to run a job. A repeated request for a known
// job isn't decided again.
func (s *Scheduler) submit(now time.Time, e Submitted) {
	if s.refuseOversized(e) {
		return
	}
	id := e.Job.GetId()
	if j := s.jobs[id]; j != nil {
		s.submitAgain(now, j, e)
		return
	}
	if !s.unknownJob(now, e) {
		return
	}
	j := &job{
		def: e.Job, queue: s.queues[e.Job.GetQueue()], arrived: now,
		acceptWaiters: []Ref{e.Ref},
	}
	t := s.firstAttempts.record(now, id)
	first, fresh := t.first, t.tries == 1
	if fresh {
		t.surplus = !s.contest.shares.Entitle(now, j.def.GetWorkspace(), s.jobWork(j))
	}
	j.surplus = t.surplus
	j.def.AcceptedUnixMs = first.UnixMilli()
	j.arrived = first
	j.objective = s.objective(j)
	v := s.admit(now, j)
	if v.outcome == link.Outcome_OUTCOME_OK {
		j.predicted, j.deferred = v.predicted, v.deferred
		s.boundWait(now, j, e.AnswerBy)
		if !s.awaits(now, j) {
			v.outcome, v.retry = link.Outcome_OUTCOME_UNAVAILABLE, s.storeRetry(now, id)
			v.reason = "can't wait for the journal"
		}
	}
	ok := v.outcome == link.Outcome_OUTCOME_OK
	if fresh || ok {
		s.demand.add(now, demandSample{work: s.jobWork(j), chain: s.criticalPath(j), fresh: fresh, accepted: ok})
	}
	if ok {
		s.accept(now, j)
		return
	}
	s.count(j, "refused")
	s.logNote("Job refused.", id, "queue", j.def.GetQueue(), "why", v.reason,
		"workspace", j.def.GetWorkspace(), "surplus", j.surplus, "try", t.tries,
		"sinceMs", now.Sub(first).Milliseconds(), "predictedMs", v.predicted.Milliseconds(),
		"objectiveMs", j.objective.Milliseconds(), "capacity", int64(v.backlog.capacity),
		"waiting", int64(v.backlog.waiting), "running", int64(v.backlog.running),
		"retryAfterMs", v.retry.Milliseconds(), "journalMs", s.journal.wait(now).Milliseconds(),
		"budgetMs", budgetMs(now, e.AnswerBy))
	s.reply(e.Ref, &link.Answer{Outcome: v.outcome, RetryAfterMs: v.retry.Milliseconds()})
}

// submitAgain handles a request to run a job that is known.
func (s *Scheduler) submitAgain(now time.Time, j *job, e Submitted) {
	switch {
	case j.def.GetWorkspace() != e.Job.GetWorkspace():
		s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_DENIED})
	case j.cancelledInAdvance():
		if s.unknownJob(now, e) {
			s.acceptCancelled(now, j, e)
		}
	case j.durable:
		s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_OK})
	default:
		s.addWaiter(now, j, e)
	}
}

// accept queues a job for the journal, and counts it in the sum of the backlog.
func (s *Scheduler) accept(now time.Time, j *job) {
	id := j.def.GetId()
	s.contest.places.Leave(id)
	if !j.longRunning() && !j.recurring() {
		w := s.jobWork(j)
		s.summed.waiting += w
		s.summed.undurable += w
		s.addContender(&s.summed, j, w)
		if v := s.summed.limited[j.def.GetWorkspace()]; v != nil {
			s.addJob(v, j)
		}
		s.summed.starts += int(j.def.GetSteps()[0].GetCount())
	}
	s.jobs[id] = j
	s.active = append(s.active, j)
	s.queueJob(now, j)
}

// refuseOversized refuses a job whose record the store would refuse. An entry with the same limits
// forwards none.
func (s *Scheduler) refuseOversized(e Submitted) bool {
	n := proto.Size(e.Job)
	if n <= MaxJobBytes(s.set.RecordBytes, s.set.CallBytes) {
		return false
	}
	s.logNote("Job refused.", e.Job.GetId(), "queue", e.Job.GetQueue(), "why", "exceeds the store's limit for a record", "bytes", n)
	s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_UNAVAILABLE})
	return true
}

// replyState replies with the state of a job.
func (s *Scheduler) replyState(e StateRequested) {
	j := s.jobs[e.ID]
	if j == nil || j.def.GetWorkspace() != e.Workspace || j.cancelledInAdvance() {
		s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_GONE})
		return
	}
	if !j.durable {
		s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_UNAVAILABLE})
		return
	}
	s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_OK, State: j.state()})
}

// cancel cancels a job. The caller is answered once the cancellation is durable.
func (s *Scheduler) cancel(now time.Time, e CancelRequested) {
	j := s.jobs[e.ID]
	switch {
	case j == nil && e.InAdvance:
		s.cancelInAdvance(now, e)
		return
	case j == nil || j.def.GetWorkspace() != e.Workspace:
		s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_GONE})
		return
	case j.durableState != link.JobState_JOB_STATE_UNSPECIFIED:
		s.logNote("Job has ended before it is cancelled.", e.ID, "state", j.durableState.String(), "runs", s.countRuns(j))
		s.reply(e.Ref, j.cancelAnswer())
		return
	}
	j.cancelWaiters = append(j.cancelWaiters, e.Ref)
	if !j.over() {
		j.cancelled = true
		s.endJob(now, j)
		s.logNote("Job cancelled.", e.ID, "queue", j.def.GetQueue(), "runs", s.countRuns(j))
	}
	s.markEnded(now, j, _acceptDelay)
}

// endJob removes a job that is over from the active ones, and stops its runs.
func (s *Scheduler) endJob(now time.Time, j *job) {
	j.endedAt = now
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			st.advice.forget()
			for i := range st.tasks {
				s.stopAll(now, &st.tasks[i], stopJobOver)
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

// countRuns counts the runs of a job that haven't been confirmed to have ended.
func (s *Scheduler) countRuns(j *job) int {
	n := 0
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			n += st.running
		}
	}
	return n
}

func (s *Scheduler) stopAll(now time.Time, t *task, why stopReason) {
	for _, r := range t.runs {
		s.stop(now, r, why)
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

// endState returns the final state of a job, or unspecified if it hasn't ended.
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
