package scheduler

import (
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/fleet/work"
)

// A caller may cancel a job that its owner doesn't know: an attempt to submit it is still on its way, in
// a process that was suspended or behind a path that was cut, or was accepted by an owner that this one
// hasn't heard of yet. The caller is told that there is no such job, so that the job must not run from
// then on. The cancellation is therefore recorded like that of any other job, in all pools, because the
// job's queue may have been moved to another one. Its append also shows that no later owner has accepted
// the job.

// _maxInAdvance limits the number of jobs that are cancelled in advance.
const _maxInAdvance = 10_000

// cancelledInAdvance reports whether the job was cancelled before it was submitted. Nothing but its ID
// and its workspace is known of it.
func (j *job) cancelledInAdvance() bool { return len(j.def.GetSteps()) == 0 }

// cancelInAdvance records the cancellation of an unknown job. The caller is answered once it is durable.
func (s *Scheduler) cancelInAdvance(now time.Time, e CancelRequested) {
	if s.inAdvance >= _maxInAdvance {
		s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_UNAVAILABLE})
		return
	}
	j := newCancelledJob(e.ID, e.Workspace, now)
	j.cancelWaiters = []Ref{e.Ref}
	s.addCancelledJob(j)
	s.logNote("Unknown job is cancelled in advance.", e.ID, "workspace", e.Workspace)
	s.markEnded(now, j, _acceptDelay)
}

// newCancelledJob returns a job that was cancelled at some time before it was submitted.
func newCancelledJob(id, workspace string, at time.Time) *job {
	return &job{def: &work.Job{Id: id, Workspace: workspace}, arrived: at, endedAt: at, durable: true, cancelled: true}
}

func (s *Scheduler) addCancelledJob(j *job) {
	s.inAdvance++
	s.jobs[j.def.GetId()] = j
	s.past = append(s.past, j)
}

// restoreWithoutJob handles the progress of a job that has no other record: the job was cancelled in
// advance, or a former owner was about to delete its records.
func (s *Scheduler) restoreWithoutJob(now time.Time, id string, p *work.Progress) {
	if !p.GetCancelled() {
		s.deleteRecords(now, ProgressKey(s.set.Pool, id))
		for _, x := range p.GetParts() {
			s.deleteRecords(now, partKey(s.set.Pool, id, int(x.GetFirst())))
		}
		return
	}
	j := newCancelledJob(id, p.GetWorkspace(), time.UnixMilli(p.GetEndedUnixMs()))
	j.inherited = true
	j.durableState = endState(j)
	s.restoreProgress(j, p)
	s.addCancelledJob(j)
}

// acceptCancelled accepts a job that was cancelled in advance. Its record has its callers find it
// cancelled.
func (s *Scheduler) acceptCancelled(now time.Time, j *job, e Submitted) {
	s.logNote("Job is accepted as cancelled, because that came first.", e.Job.GetId(), "queue", e.Job.GetQueue(),
		"cancelledMsAgo", now.Sub(j.endedAt).Milliseconds())
	s.inAdvance--
	j.def, j.queue, j.durable = e.Job, s.queues[e.Job.GetQueue()], false
	j.def.AcceptedUnixMs = now.UnixMilli()
	j.acceptWaiters = append(j.acceptWaiters, e.Ref)
	s.queueJob(now, j)
}

// cancelAnswer returns the answer to a request to cancel a job whose final state is durable.
func (j *job) cancelAnswer() *link.Answer {
	if j.cancelledInAdvance() {
		return &link.Answer{Outcome: link.Outcome_OUTCOME_GONE}
	}
	return &link.Answer{Outcome: link.Outcome_OUTCOME_OK, State: j.durableState}
}
