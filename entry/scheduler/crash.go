package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// A task may crash each upstream that starts it. All runs on the upstream are lost with it, and the
// crash by itself doesn't tell which of them caused it. Those that had just started are suspects.
// A suspect starts on trial: on an upstream whose other runs have lasted, where nothing else starts
// until the run has lasted too. If that upstream crashes as well, the run is to blame, and the job of a
// task that is to blame twice is given up. A task that outlives its trial is treated like any other.
const (
	// _settleTime is how long a run has to last on a live upstream until it is unlikely that its
	// start crashes the upstream.
	_settleTime = 400 * time.Millisecond
	// _trustTime is how long a run has to last until no crash counts against its task. It bounds
	// how long a run is on trial.
	_trustTime = 3 * time.Second
	// _trialMargin is the interval of polls during a trial: a run may have lasted longer than
	// it was seen to by as much.
	_trialMargin = _startupPollWait
	// _suspectCrashes is the number of crashed upstreams from which a task is a suspect even if
	// its runs had lasted for _settleTime.
	_suspectCrashes = 2
	// A task is given up once it is to blame for _maxBlamed crashes, or for the latest of
	// _maxCrashes: former owners may not have seen which run was to blame.
	_maxBlamed  = 2
	_maxCrashes = 4
)

// crashes is what is known of the upstreams that crashed under a task. The zero value is for none.
type crashes struct {
	// upstreams counts them, and blamed those that no other run can have crashed.
	upstreams, blamed int
	// lasted is how long the longest run had lasted of those that were lost with them.
	lasted time.Duration
	// machine is the host of the last of them.
	machine string
	// givenUp is set once the task isn't started any more.
	givenUp bool
}

// suspect reports whether the task may be what crashes its upstreams.
func (c crashes) suspect() bool {
	return c.upstreams > 0 && c.lasted < _settleTime || c.upstreams >= _suspectCrashes
}

// trial returns how long the next run of the task is on trial: longer than the runs that were
// lost. It is zero if the task isn't a suspect.
func (c crashes) trial() time.Duration {
	if !c.suspect() {
		return 0
	}
	return min(max(_settleTime, 2*c.lasted+_trialMargin), _trustTime)
}

// hopeless reports whether the task is to be given up, after a crash that it is to blame for.
func (c crashes) hopeless() bool {
	return c.blamed >= _maxBlamed || c.upstreams >= _maxCrashes
}

// suspicion returns what is held against the next run of the task. The members of a gang start
// together, so that it is the same for all of them.
func (t *task) suspicion() crashes {
	if !t.step.def.GetGang() {
		return t.crashes
	}
	var c crashes
	for i := range t.step.tasks {
		if m := t.step.tasks[i].crashes; m.upstreams > c.upstreams || m.upstreams == c.upstreams && m.lasted < c.lasted {
			c = m
		}
	}
	return c
}

// settled reports whether the upstream has outlived the run's start by a time, as far as
// its answers to polls show.
func (r *run) settled(d time.Duration) bool { return r.survived >= d }

// onTrial reports whether nothing else may start on the run's upstream.
func (r *run) onTrial() bool { return !r.settled(r.trial) }

// noteSurvival records that the upstream listed the run when its clock was at clockMs.
func (s *Scheduler) noteSurvival(now time.Time, r *run, clockMs int64) {
	if r.startClockMs == 0 {
		r.startClockMs = clockMs
	}
	tried := r.onTrial()
	r.survived = max(r.survived, time.Duration(clockMs-r.startClockMs)*time.Millisecond)
	if tried && !r.onTrial() {
		s.replan = true
	}
	if t := r.task; t.crashes.upstreams > 0 && r.settled(_trustTime) {
		t.crashes = crashes{}
		s.markDirty(now, s.partOf(t), _endDelay)
	}
}

// onTrial reports whether a run on the upstream is on trial.
func (h *host) onTrial() bool { return h.tried > 0 && slices.ContainsFunc(h.runs, (*run).onTrial) }

// settled reports whether all runs on the upstream have lasted for a time.
func (h *host) settled(d time.Duration) bool {
	return !slices.ContainsFunc(h.runs, func(r *run) bool { return !r.settled(d) })
}

// recordCrash records the end of an upstream's incarnation that nobody ordered, and counts it
// against the tasks of the runs that were lost. It returns the jobs to be given up.
func (s *Scheduler) recordCrash(now time.Time, h *host, why string, lost []*run) []*job {
	lost = slices.DeleteFunc(slices.Concat(h.expired, lost), func(r *run) bool { return r.held })
	h.expired = nil
	if len(lost) == 0 || h.up.Draining {
		return nil // The planner ends an incarnation only once it is vacant.
	}
	var unsettled []string
	var hopeless []*job
	for _, r := range lost {
		if !r.settled(_settleTime) {
			unsettled = append(unsettled, fmt.Sprintf("%s/%d", r.task.name, r.number))
		}
		if s.countCrash(now, r, h.up.Machine, blamable(r, lost)) {
			hopeless = append(hopeless, r.task.step.occurrence.job)
		}
	}
	s.logNote("Upstream crashed.", "", "upstream", h.up.ID, "machine", h.up.Machine, "why", why, "runs", len(lost),
		"unsettled", strings.Join(unsettled, " "), "seenMsAgo", now.Sub(h.lastAnsweredAt).Milliseconds())
	s.emit(CountCrash{Runs: len(lost)})
	return hopeless
}

// blamable reports whether no other run than r can have crashed the upstream with which the
// given runs were lost. What else ran beside an inherited run is unknown, but for a trial. The
// members of a gang are tried together.
func blamable(r *run, lost []*run) bool {
	if (len(lost) > 1 || r.inherited) && !r.onTrial() {
		return false
	}
	return !slices.ContainsFunc(lost, func(o *run) bool {
		same := o.task.step == r.task.step && r.task.step.def.GetGang()
		return o != r && !same && !o.settled(max(r.trial, _settleTime))
	})
}

// countCrash counts a crash against the task of a run that was lost with it, and reports
// whether its job is to be given up. A long-running task rests alone: the others of its step
// serve on, and may not be stopped beyond what the step allows to be unavailable.
func (s *Scheduler) countCrash(now time.Time, r *run, machine string, blamed bool) bool {
	t := r.task
	j := t.step.occurrence.job
	if t.done || j.over() || r.settled(_trustTime) || r.crashCounted {
		return false
	}
	r.crashCounted = true
	c := &t.crashes
	c.upstreams++
	c.lasted, c.machine = max(c.lasted, r.lasted()), machine
	if blamed {
		c.blamed++
	}
	s.markDirty(now, s.partOf(t), _acceptDelay)
	if blamed || c.suspect() {
		s.logNote("Task is suspected of crashing its upstream.", j.def.GetId(), "task", t.name, "run", r.number,
			"upstream", r.host.up.ID, "ranMs", r.survived.Milliseconds(), "crashes", c.upstreams, "toBlame", c.blamed)
	}
	if !blamed || !c.hopeless() {
		return false
	}
	c.givenUp = true
	s.logNote("Task is given up, because it crashes its upstreams.", j.def.GetId(), "task", t.name)
	return !t.step.def.GetLongRunning()
}

// lasted returns how long a run had lasted when its upstream crashed. This owner may never have
// seen a run that a former one started; such a run counts as settled.
func (r *run) lasted() time.Duration {
	if r.inherited && !r.onTrial() {
		return max(r.survived, _settleTime)
	}
	return r.survived
}

// giveUp fails jobs of which a task was given up.
func (s *Scheduler) giveUp(now time.Time, jobs []*job) {
	for _, j := range jobs {
		if j.over() {
			continue
		}
		j.failed = true
		s.endJob(now, j)
		s.markEnded(now, j, _endDelay)
	}
}
