package scheduler

import (
	"slices"
	"time"

	"fescuelanding/fleet/work"
)

const (
	// _trialPatience is how long a suspect waits for a trial. After that it starts like any other
	// task, unless more than _patientCrashes upstreams have crashed under it. So a suspect by chance isn't held up for long in a full pool.
	_trialPatience  = 1500 * time.Millisecond
	_patientCrashes = 1
	// _trialShare is the share of the upstreams that may have a run on trial at once.
	_trialShare = 0.5
	// _costBesideTrial is for each run that would be lost if a suspect crashed the upstream, and
	// _costServingBesideTrial for a long-running one.
	_costBesideTrial        = 0.2
	_costServingBesideTrial = 3.0
)

// trial returns for how long the next run of a task has to be on trial; zero if it may start
// anywhere.
func (p *pass) trial(t *task) time.Duration {
	c := t.suspicion()
	if c.upstreams <= _patientCrashes && p.now.Sub(t.waitingSince) >= _trialPatience {
		return 0
	}
	return c.trial()
}

// admits reports whether a run of a task may start on an upstream beside the others there, given
// for how long it has to be on trial. A task that is already to blame for a crash gets no company
// that may be what crashed the upstream.
func (p *pass) admits(t *task, h *host, trial time.Duration) bool {
	switch {
	case trial == 0:
		return true
	case t.suspicion().blamed > 0:
		trial = _trustTime
	}
	return h.settled(trial)
}

// mayTry reports whether another upstream may have a run on trial.
func (p *pass) mayTry() bool {
	return float64(p.trials) < max(1, _trialShare*float64(len(p.hosts)))
}

// trialCost is the cost of a trial on an upstream: what would be lost in a crash.
func (t *task) trialCost(h *host) float64 {
	c := _costBesideTrial*float64(len(h.runs)) + _costServingBesideTrial*float64(h.longRunning())
	if h.up.Machine == t.crashes.machine {
		c += _costFailedHere
	}
	return c
}

// hold keeps a start back until the journal has it, and what is known of crashes under the task, so
// that a later owner counts the run if its upstream crashes too.
func (s *Scheduler) hold(now time.Time, r *run) {
	r.held = true
	s.held = append(s.held, r)
	s.markDirty(now, r.task.step.occurrence.job, _acceptDelay)
}

// noteHeld notes that a batch has the held starts of a job.
func (s *Scheduler) noteHeld(j *job, batch int64) {
	for _, r := range s.held {
		if r.task.step.occurrence.job == j {
			r.heldBatch = batch
		}
	}
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
	for _, r := range due {
		if r.state != runOrdered {
			continue // stopped with another member of its gang
		}
		r.held, r.ordered = false, now
		if !r.host.usable(now) || !s.mayOrder(now) {
			s.releaseUnstarted(now, r)
			continue
		}
		r.host.awaitingSince = now
		s.emitStart(now, r)
	}
}

// encodeCrashes returns the durable form of what is known of crashes under a task, or nil.
func encodeCrashes(t *task) *work.Crashes {
	c := t.crashes
	if c.upstreams == 0 || t.done {
		return nil
	}
	return &work.Crashes{
		Task: uint32(t.index), Upstreams: uint32(c.upstreams), Blamed: uint32(c.blamed),
		LastedMs: uint32(c.lasted.Milliseconds()), GivenUp: c.givenUp,
	}
}

// encodePlacement returns where a task runs, if its run may still crash the upstream, or nil.
func encodePlacement(t *task) *work.Placement {
	if t.done || len(t.runs) == 0 || !t.runs[0].recorded() {
		return nil
	}
	r := t.runs[0]
	return &work.Placement{
		Task: uint32(t.index), Run: uint32(r.number), Upstream: r.host.up.ID, StartUnixMs: r.host.born,
		TrialMs: uint32(r.trial.Milliseconds()),
	}
}

// recorded reports whether the journal names the run, so that a later owner knows what ran on an
// upstream that has crashed meanwhile.
func (r *run) recorded() bool { return !r.settled(max(r.trial, _settleTime)) }

// restoreCrashes restores what former owners knew of crashes under the tasks of a step, and
// notes the runs that they may have started.
func (s *Scheduler) restoreCrashes(st *step, p *work.StepProgress) {
	for _, m := range p.GetCrashes() {
		if i := int(m.GetTask()); i < len(st.tasks) {
			st.tasks[i].crashes = crashes{
				upstreams: int(m.GetUpstreams()), blamed: int(m.GetBlamed()), lasted: milliseconds(m.GetLastedMs()),
				givenUp: m.GetGivenUp(),
			}
		}
	}
	for _, m := range p.GetPlacements() {
		if i := int(m.GetTask()); i < len(st.tasks) && !st.tasks[i].done {
			s.inheritedRuns = append(s.inheritedRuns, inheritedRun{&st.tasks[i], m})
		}
	}
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// inheritedRun is a run that a former owner may have started.
type inheritedRun struct {
	task      *task
	placement *work.Placement
}

// restoreRuns adds the runs that former owners may have started. If the upstream has crashed
// since, that counts against their tasks. An upstream that is no longer recorded was dropped after
// its end had been handled.
func (s *Scheduler) restoreRuns(now time.Time) {
	for _, x := range s.inheritedRuns {
		p := x.placement
		h := s.hosts.get(p.GetUpstream())
		if h == nil || x.task.step.occurrence.job.over() {
			continue
		}
		r := &run{
			task: x.task, number: int64(p.GetRun()), state: runUnconfirmed, ordered: now, progressedAt: now,
			percent: -1, pace: 100, trial: min(milliseconds(p.GetTrialMs()), _trustTime), inherited: true,
		}
		r.task.lastRun = max(r.task.lastRun, r.number)
		s.attach(r, h)
		if p.GetStartUnixMs() < h.born {
			hopeless := s.recordCrash(now, h, "restarted before the takeover", []*run{r})
			s.release(now, r)
			s.giveUp(now, hopeless)
		}
	}
	s.inheritedRuns = nil
}
