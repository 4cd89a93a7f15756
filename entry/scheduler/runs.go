package scheduler

import (
	"time"

	"fescuelanding/platform"
)

// takeRunning compares what runs on an upstream with what should.
func (s *Scheduler) takeRunning(now time.Time, h *host, e Polled) {
	listed := make(map[*run]bool, len(e.Result.Running))
	h.strangers = 0
	for _, n := range e.Result.Running {
		r := h.find(n.Task, n.Run)
		if r == nil {
			r = s.meet(now, h, n)
		}
		if r != nil {
			listed[r] = true
			s.watch(now, r, n, e.Sent)
		} else {
			h.strangers++
		}
	}
	if len(e.Result.Ended) >= _endsPage {
		return // More ends are to come.
	}
	for _, r := range h.running() {
		if !listed[r] {
			s.missing(now, r, e.Sent)
		}
	}
}

// _endsPage is how many ends an upstream lists at once.
const _endsPage = 500

// meet takes in a run that this owner didn't know: one of a former owner, or of
// an order that was carried out late.
func (s *Scheduler) meet(now time.Time, h *host, n platform.Running) *run {
	t := s.find(n.Task)
	if t == nil {
		s.emit(Stop{Host: h.up.ID, Target: h.target, Task: n.Task, Run: n.Run, Token: s.set.Token})
		return nil
	}
	r := &run{task: t, number: n.Run, state: runRunning, started: now, met: now, percent: -1, pace: 100}
	t.last = max(t.last, n.Run)
	t.step.occurrence.job.begun = true
	former := len(t.runs) > 0
	t.runs = append(t.runs, r)
	t.step.running++
	h.add(r)
	if t.done || t.step.occurrence.job.over() || former {
		s.stop(now, r)
	}
	return r
}

// watch follows a run that is listed.
func (s *Scheduler) watch(now time.Time, r *run, n platform.Running, sent time.Time) {
	if !sent.Before(r.met.Add(s.set.StopTimeout + _stopMargin)) {
		r.met = time.Time{}
	}
	if r.state == runOrdered || r.state == runUnsure {
		r.set(runRunning)
		r.started = now
	}
	if n.Checkpoint != "" {
		s.keep(r.task, n.Checkpoint)
	}
	if n.Percent != r.percent {
		r.percent, r.moved = n.Percent, now
	}
	r.gauge = n.Gauge
	if r.state == runRunning && s.stuck(now, r) {
		s.note("Run stands still.", r.task.step.occurrence.job.def.GetId(), "task", r.task.name,
			"upstream", r.host.up.ID, "percent", r.percent, "sinceMs", now.Sub(r.moved).Milliseconds())
		r.task.avoid = r.host.up.ID
		r.host.health.eject(now)
		s.stop(now, r)
	}
}

// _stillAfter is when a run that doesn't move is taken to be stuck. A slow
// upstream still moves by a percent within it.
const _stillAfter = 1200 * time.Millisecond

// stuck reports whether a run stands still.
func (s *Scheduler) stuck(now time.Time, r *run) bool {
	d := r.task.step.def
	if d.GetLongRunning() || d.GetFills() || d.GetGang() || r.pace < 100 {
		return false
	}
	return now.Sub(r.moved) >= _stillAfter
}

// missing decides about a run that a look doesn't list.
func (s *Scheduler) missing(now time.Time, r *run, sent time.Time) {
	switch r.state {
	case runRunning:
		if r.started.Before(sent) {
			s.release(now, r)
		}
	case runStopping:
		if !r.stopped.IsZero() && r.stopped.Before(sent) {
			s.release(now, r)
		}
	case runUnsure:
		if r.ordered.Before(sent) {
			s.stop(now, r)
		}
	case runOrdered:
	}
}
