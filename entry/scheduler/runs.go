package scheduler

import (
	"slices"
	"time"

	"fescuelanding/fleet/permit"
	"fescuelanding/platform"
)

// reconcileRuns compares the runs that an upstream lists with the expected ones.
func (s *Scheduler) reconcileRuns(now time.Time, h *host, e Polled) {
	listed := make(map[*run]bool, len(e.Result.Running))
	h.unknownRuns = 0
	for _, n := range e.Result.Running {
		r := h.findRun(n.Task, n.Run)
		if r == nil {
			r = s.adoptRun(now, h, n)
		}
		if r != nil {
			listed[r] = true
			s.updateRun(now, r, n, e)
		} else {
			h.unknownRuns++
		}
	}
	full := len(e.Result.Ended) >= _maxListedEnds
	for _, r := range h.cloneRuns() {
		// If the list is full, the end of a missing run may be on the next one. Starts without an answer
		// are ruled out nevertheless, because no end is acknowledged before, and the list stays full.
		if !listed[r] && (!full || r.state == runUnconfirmed || r.state == runOrdered) {
			s.reconcileMissing(now, r, e)
		}
	}
}

// _orderLost is the age from which a start or a stop without any outcome counts as unanswered. It is
// above the permit and the longest timeout of an order.
const _orderLost = 4 * time.Second

// _maxListedEnds is the largest number of ends that an upstream lists at once.
const _maxListedEnds = 500

// adoptRun adds a run that isn't among the upstream's recorded runs. A former
// owner started it, or a start of this owner was carried out late. If the job is
// unknown, adoptRun stops the run and returns nil. It also stops a run that its
// task doesn't need, because the task is done or has another run.
func (s *Scheduler) adoptRun(now time.Time, h *host, n platform.Running) *run {
	t := s.findTask(n.Task)
	if t == nil {
		s.logNote("Upstream has a run of a job that isn't known; stopping it.", "", "task", n.Task, "run", n.Run, "upstream", h.up.ID)
		s.emit(Stop{
			Host: h.up.ID, Target: h.target, Task: n.Task, Run: n.Run, Token: s.set.Token,
			Permit: permit.New(now, _orderLife), Timeout: s.flow.timeout(_orderTimeout),
		})
		return nil
	}
	r := &run{task: t, number: n.Run, state: runRunning, started: now, adoptedAt: now, percent: -1, pace: 100}
	t.lastRun = max(t.lastRun, n.Run)
	t.step.occurrence.job.begun = true
	s.releaseSuperseded(now, t, n.Run)
	duplicate := len(t.runs) > 0
	s.attach(r, h)
	if t.done || t.step.occurrence.job.over() || duplicate {
		s.logNote("Upstream has a run that its task doesn't need; stopping it.", t.step.occurrence.job.def.GetId(), "task", t.name,
			"run", n.Run, "upstream", h.up.ID, "jobOver", t.step.occurrence.job.over(), "done", t.done)
		s.stop(now, r, stopSurplus)
	}
	return r
}

// releaseSuperseded ends the runs of a task that a former owner recorded and that it must have seen
// the end of, since it started the task again under a higher number.
func (s *Scheduler) releaseSuperseded(now time.Time, t *task, number int64) {
	for _, r := range slices.Clone(t.runs) {
		if r.inherited && r.number < number {
			s.release(now, r)
		}
	}
}

// updateRun applies the listed state of a run.
func (s *Scheduler) updateRun(now time.Time, r *run, n platform.Running, e Polled) {
	r.location = locationPresent
	s.noteSurvival(now, r, e.Result.ClockMs)
	if r.inherited {
		r.inherited, r.adoptedAt = false, now
	}
	// A run still listed after a stop would have taken effect wasn't stopped by a
	// former owner.
	if !e.Sent.Before(r.adoptedAt.Add(s.set.StopTimeout + _stopMargin)) {
		r.adoptedAt = time.Time{}
	}
	if r.state == runOrdered || r.state == runUnconfirmed {
		r.setState(runRunning)
		r.started = now
		r.task.step.occurrence.job.begun = true
	}
	if n.Checkpoint != "" {
		s.saveCheckpoint(r.task, n.Checkpoint)
	}
	if r.percent < 0 {
		r.follow(now, n.Percent)
	}
	if n.Percent != r.percent {
		r.percent, r.progressedAt = n.Percent, now
	}
	r.gauge = n.Gauge
	if r.state == runStopping {
		s.repeatStop(now, r, e.Sent)
	}
	if r.state == runRunning && s.stuck(now, r) {
		s.logNote("Run makes no progress; stopping it.", r.task.step.occurrence.job.def.GetId(), "task", r.task.name,
			"upstream", r.host.up.ID, "percent", r.percent, "sinceMs", now.Sub(r.progressedAt).Milliseconds())
		r.task.avoid = r.host.up.ID
		r.host.health.eject(now)
		s.stop(now, r, stopStuck)
	}
}

// _stuckAfter is the time without progress after which a run is considered stuck.
// Even a slow upstream advances by one percent within it.
const _stuckAfter = 1200 * time.Millisecond

// stuck reports whether a run makes no progress. Long-running tasks, best-effort
// tasks, members of a gang and runs with a speed limit are exempt.
func (s *Scheduler) stuck(now time.Time, r *run) bool {
	d := r.task.step.def
	if d.GetLongRunning() || d.GetFills() || d.GetGang() || r.pace < 100 {
		return false
	}
	return now.Sub(r.progressedAt) >= _stuckAfter
}

// reconcileMissing handles a run that a poll doesn't list.
func (s *Scheduler) reconcileMissing(now time.Time, r *run, e Polled) {
	sent := e.Sent
	switch r.state {
	case runRunning:
		if r.started.Before(sent) {
			s.release(now, r)
		}
	case runStopping:
		if !r.stopped.IsZero() && r.stopped.Before(sent) {
			s.release(now, r)
		}
	case runUnconfirmed:
		if r.ordered.Before(sent) {
			s.settleStart(now, r, e)
		}
	case runOrdered:
		// The start may still be on its way. Its answer is an event of its own, which may be
		// lost if the entry is overloaded.
		if !r.held && sent.Sub(r.ordered) > _orderLost {
			r.setState(runUnconfirmed)
		}
	}
}
