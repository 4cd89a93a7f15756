package scheduler

import (
	"strings"
	"time"

	"fescuelanding/platform"
)

// recordEnds handles the listed ends that weren't seen before.
func (s *Scheduler) recordEnds(now time.Time, h *host, ends []platform.Ended) {
	before := h.seenEnd
	for _, e := range ends {
		if e.Number <= before {
			continue
		}
		h.seenEnd = max(h.seenEnd, e.Number)
		s.recordEnd(now, h, e)
	}
	if h.seenEnd > before {
		s.queueEnds(now, h)
	}
}

// findTask returns the task with the given name, or nil if there is none. The
// task's occurrence is created if necessary, because an upstream may list a run of
// an occurrence that isn't due by this entry's clock. The task's job may have
// ended.
func (s *Scheduler) findTask(name string) *task {
	n, ok := platform.ParseTaskName(name)
	if !ok {
		return nil
	}
	j := s.jobs[n.Job]
	if j == nil {
		return nil
	}
	o := j.ensureOccurrence(n.Occurrence)
	if o == nil || n.Step >= len(o.steps) || n.Index >= len(o.steps[n.Step].tasks) {
		return nil
	}
	return &o.steps[n.Step].tasks[n.Index]
}

// recordEnd handles the end of a run, whichever owner started it.
func (s *Scheduler) recordEnd(now time.Time, h *host, e platform.Ended) {
	t := s.findTask(e.Task)
	if t == nil {
		return
	}
	r := h.findRun(e.Task, e.Run)
	t.lastRun = max(t.lastRun, e.Run)
	t.step.occurrence.job.begun = true
	if e.Checkpoint != "" {
		s.saveCheckpoint(t, e.Checkpoint)
	}
	var took, lasted time.Duration
	if r != nil {
		if !r.started.IsZero() {
			took = now.Sub(r.started)
		}
		lasted = now.Sub(r.ordered)
		s.release(now, r)
	}
	if e.End == platform.EndDone || e.End == platform.EndFailed {
		h.lastResult = max(h.lastResult, e.Number)
	}
	switch {
	case e.End == platform.EndDone && !t.step.def.GetLongRunning():
		h.health.recordSuccess()
		s.finishTask(now, t, h, took)
	case e.End == platform.EndDone:
		s.recordExit(now, t, h, e, lasted)
	case e.End == platform.EndFailed:
		s.recordFailure(now, t, h, e, lasted)
	default:
		if !t.step.occurrence.job.over() {
			s.logNote("Run ended without a result.", t.step.occurrence.job.def.GetId(), "task", e.Task, "run", e.Run,
				"end", string(e.End), "upstream", h.up.ID)
		}
	}
}

// saveCheckpoint stores the checkpoint from which a task resumes. All members of
// a gang resume from the same checkpoint.
func (s *Scheduler) saveCheckpoint(t *task, checkpoint string) {
	if !t.step.def.GetCheckpointing() || t.checkpoint == checkpoint {
		return
	}
	// The text is part of the whole answer of the upstream.
	checkpoint = strings.Clone(checkpoint)
	t.checkpoint = checkpoint
	if t.step.def.GetGang() {
		for i := range t.step.tasks {
			t.step.tasks[i].checkpoint = checkpoint
		}
	}
}

// finishTask marks a task as done, and completes its job if it was the last one.
func (s *Scheduler) finishTask(now time.Time, t *task, h *host, took time.Duration) {
	st := t.step
	j := st.occurrence.job
	if t.done || j.over() {
		return
	}
	if took > 0 && t.checkpoint == "" {
		v := float64(took) / s.remoteFactor(st, h)
		st.took.add(v)
		st.longest = max(st.longest, v)
	}
	if st.def.GetGang() {
		for i := range st.tasks {
			st.tasks[i].setDone()
		}
		for _, p := range s.partsOf(st) {
			s.markDirty(now, p, _endDelay)
		}
	} else {
		t.setDone()
		s.markDirty(now, s.partOf(t), _endDelay)
	}
	if st.left == 0 && st.took.n > 0 {
		// Recorded only after the whole step: the first tasks to complete are the
		// shortest and would bias the estimate.
		s.learned.add(j.def.GetQueue(), st.def, st.took.mean, st.longest)
	}
	s.stopAll(now, t, stopTaskDone)
	s.replan = true
	if j.allDone() {
		j.completed = true
		s.endJob(now, j)
		s.markEnded(now, j, _endDelay)
	}
}

// recordExit handles a run of a long-running task that has ended as done. The task is started again, as however else
// its runs end: only the cancellation of its job ends it.
func (s *Scheduler) recordExit(now time.Time, t *task, h *host, e platform.Ended, lasted time.Duration) {
	j := t.step.occurrence.job
	if j.over() {
		return
	}
	t.delayRestart(now, lasted)
	s.logNote("Run of a long-running task has ended; the task is started again.", j.def.GetId(), "task", e.Task, "run", e.Run,
		"upstream", h.up.ID, "lastedMs", lasted.Milliseconds(), "inMs", max(0, t.restartAt.Sub(now)).Milliseconds())
}

const (
	// _shortRun is how long a run of a long-running task lasts at least if the task serves at all. A task whose
	// runs are shorter starts again after a pause, from _restartDelay after the second such run in a row to
	// _maxRestartDelay, which is well below the time for which a task may be idle.
	_shortRun        = time.Second
	_restartDelay    = 100 * time.Millisecond
	_maxRestartDelay = time.Second
)

// delayRestart sets when a long-running task whose run has ended by itself may start again. The time from the order to
// the end is zero if it isn't known; the run then counts as long.
func (t *task) delayRestart(now time.Time, lasted time.Duration) {
	if lasted == 0 || lasted >= _shortRun {
		t.shortRuns, t.restartAt = 0, time.Time{}
		return
	}
	d := time.Duration(0)
	for range t.shortRuns {
		d = min(max(_restartDelay, 2*d), _maxRestartDelay)
	}
	t.shortRuns = min(t.shortRuns+1, _maxShortRuns)
	t.restartAt = now.Add(d)
}

// _maxShortRuns is the number of short runs in a row from which the pause is the longest.
const _maxShortRuns = 8

// recordFailure counts a failed run, and fails the job once the queue's limit of
// attempts is reached.
func (s *Scheduler) recordFailure(now time.Time, t *task, h *host, e platform.Ended, lasted time.Duration) {
	j := t.step.occurrence.job
	if j.over() || t.done {
		return
	}
	t.avoid = h.up.ID
	s.logNote("Run failed.", j.def.GetId(), "task", e.Task, "run", e.Run, "upstream", h.up.ID,
		"failures", t.failed.count()+1, "allowed", j.queue.Attempts)
	if t.step.def.GetLongRunning() {
		t.delayRestart(now, lasted)
		return // Long-running tasks have no limit of attempts.
	}
	if t.failed.has(e.Run) {
		return // already counted by a former owner
	}
	t.failed.add(e.Run)
	s.markDirty(now, s.partOf(t), _endDelay)
	if h.health.recordFailure(now, j.def.GetId()) {
		s.logNote("Upstream ejected after failed runs of several jobs; no tasks are placed on it for now.", "", "upstream", h.up.ID, "until", h.health.ejectedUntil)
	}
	if n := t.step.failures(t); j.queue.Attempts > 0 && n >= j.queue.Attempts {
		j.failed = true
		s.endJob(now, j)
		s.markEnded(now, j, _endDelay)
	}
}

// failures counts the failed runs that the limit of attempts applies to: those of
// the task, or of the gang. Members that failed in one run of the gang count once.
func (st *step) failures(t *task) int {
	if !st.def.GetGang() {
		return t.failed.count()
	}
	runs, earlier := make(map[int64]bool), 0
	for i := range st.tasks {
		f := &st.tasks[i].failed
		earlier = max(earlier, f.earlier)
		for _, n := range f.runs {
			runs[n] = true
		}
	}
	return earlier + len(runs)
}
