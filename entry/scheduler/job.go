package scheduler

import (
	"slices"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// job is an accepted job, or one that is being accepted.
type job struct {
	def     *work.Job
	queue   platform.Queue
	arrived time.Time
	// durable is set once the job has been appended; waiting are those who
	// want to know.
	durable bool
	acceptWaiters []Ref
	// cancelling wait for the cancellation to be appended.
	cancelWaiters []Ref

	cancelled bool
	failed    bool
	completed bool
	// shown is what callers may be told, as it has been appended.
	durableState   link.JobState
	endedAt time.Time

	begun bool
	// occurrences are those that are due, by number.
	occurrences []*occurrence
	// dirty is set while the progress has to be appended.
	dirty bool
	// inherited is set for jobs accepted by a former owner.
	inherited bool
	objective time.Duration
	// predicted is when it should be done, as of its admission; zero where nothing
	// was predicted.
	predicted time.Duration
}

// over reports whether no task of the job may start any more.
func (j *job) over() bool { return j.cancelled || j.failed || j.completed }

func (j *job) longRunning() bool {
	for _, s := range j.def.GetSteps() {
		if s.GetLongRunning() {
			return true
		}
	}
	return false
}

// times returns the number of occurrences.
func (j *job) times() int { return max(1, int(j.def.GetOccurrences())) }

func (j *job) timed() bool { return j.def.GetOccurrences() > 0 }

// due returns when an occurrence may start.
func (j *job) due(k int) time.Time {
	if !j.timed() {
		return j.arrived
	}
	ms := j.def.GetFirstRunUnixMs() + int64(k)*j.def.GetIntervalMs()
	return time.UnixMilli(ms)
}

// allDone reports whether every task of every occurrence has ended done.
func (j *job) allDone() bool {
	if len(j.occurrences) < j.times() {
		return false
	}
	for _, o := range j.occurrences {
		if !o.done() {
			return false
		}
	}
	return true
}

// state returns what callers are told.
func (j *job) state() link.JobState {
	if j.durableState != link.JobState_JOB_STATE_UNSPECIFIED {
		return j.durableState
	}
	if j.begun {
		return link.JobState_JOB_STATE_RUNNING
	}
	return link.JobState_JOB_STATE_QUEUED
}

// occurrence is one run of the job's steps.
type occurrence struct {
	job    *job
	number int
	due    time.Time
	steps  []*step
}

func newOccurrence(j *job, k int) *occurrence {
	o := &occurrence{job: j, number: k, due: j.due(k)}
	for i, d := range j.def.GetSteps() {
		s := &step{occurrence: o, number: i, def: d, left: int(d.GetCount())}
		s.tasks = make([]task, d.GetCount())
		s.name = platform.StepName(j.def.GetId(), k, i)
		for x := range s.tasks {
			n := platform.TaskName{Job: j.def.GetId(), Occurrence: k, Step: i, Index: x}
			s.tasks[x] = task{step: s, index: x, name: n.String()}
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// occurrence returns an occurrence by its number, and nil if the job has none of
// that number. Where a former owner may have begun it, runs continue above any number
// that it can have used without appending it.
func (j *job) occurrence(k int) *occurrence {
	if k >= j.times() {
		return nil
	}
	for i := len(j.occurrences); i <= k; i++ {
		o := newOccurrence(j, i)
		if j.inherited {
			o.skipRuns()
		}
		j.occurrences = append(j.occurrences, o)
	}
	return j.occurrences[k]
}

// skipRuns leaves out run numbers that a former owner may have used.
func (o *occurrence) skipRuns() {
	for _, st := range o.steps {
		for i := range st.tasks {
			st.tasks[i].last += _runNumberGap
		}
	}
}

// _runGap is above the number of runs that one owner gives a task before it
// appends something about the job.
const _runNumberGap = 16

func (o *occurrence) done() bool {
	for _, s := range o.steps {
		if s.left > 0 {
			return false
		}
	}
	return true
}

// waiting reports whether any of its tasks can be placed.
func (o *occurrence) waiting() bool { return slices.ContainsFunc(o.steps, (*step).waiting) }

// step is the step of an occurrence.
type step struct {
	occurrence *occurrence
	number     int
	name       string
	def        *work.Step
	tasks      []task
	// left counts the tasks that haven't ended done.
	left int
	// readyAt is when the steps before it were done.
	readyAt time.Time
	// running counts its runs.
	running int
	// took is how long its tasks have run, in nanoseconds.
	took average
	// longest of them.
	longest float64
	tickets tickets
}

// tickets are the policy's answer for a step.
type tickets struct {
	requested bool
	byHost map[string]string
	until  time.Time
	// askAt is when the policy may be asked again.
	retryAt time.Time
}

// ready reports whether all steps that it comes after are done.
func (s *step) ready() bool {
	for _, a := range s.def.GetAfter() {
		if s.occurrence.steps[a].left > 0 {
			return false
		}
	}
	return true
}

// waiting reports whether tasks of the step can be placed.
func (s *step) waiting() bool { return s.left > s.running && s.ready() }

// asks returns the processor that a task needs free, in thousandths of a core.
func (s *step) cpuRequest() int64 {
	if s.def.GetFills() {
		return 0
	}
	return s.def.GetMilliCpu()
}

// away counts the tasks other than t that aren't at work.
func (s *step) countUnavailable(t *task) int {
	n := 0
	for i := range s.tasks {
		if u := &s.tasks[i]; u != t && !u.available() {
			n++
		}
	}
	return n
}

// sparable reports whether a task may be taken away. One that wasn't at work
// when it was looked at last may be by now.
func (s *step) mayStop(t *task) bool {
	if s.occurrence.job.over() || s.def.GetMayMiss() == 0 {
		return true
	}
	return s.countUnavailable(t) < int(s.def.GetMayMiss())
}

// task is a task of a step.
type task struct {
	step  *step
	index int
	name  string
	done  bool
	// failed are the runs that failed.
	failed []int64
	// last is the highest run that was given.
	last       int64
	checkpoint string
	// runs that may be running.
	runs []*run
	// waitingSince is when it could first be placed.
	waitingSince time.Time
	// avoid is the upstream where it failed last.
	avoid string
}

// atWork reports whether a long-running task serves, as far as its upstream
// says so.
func (t *task) available() bool {
	for _, r := range t.runs {
		if r.state == runRunning && r.adoptedAt.IsZero() && r.percent >= 100 && r.host.failed == 0 && !r.host.gone {
			return true
		}
	}
	return false
}

func (t *task) drop(r *run) {
	for i, x := range t.runs {
		if x == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			return
		}
	}
}

// runState is how far a run is.
type runState uint8

const (
	// runOrdered: the start has not been answered.
	runOrdered runState = iota
	// runUnsure: the start may still be carried out.
	runUnknown
	// runRunning: the upstream has it.
	runRunning
	// runStopping: a stop has been ordered.
	runStopping
)

// _runStates is how many there are.
const _runStates = int(runStopping) + 1

// set changes how far a run is.
func (r *run) setState(v runState) {
	r.host.states[r.state]--
	r.state = v
	r.host.states[v]++
}

// run is one start of a task.
type run struct {
	task   *task
	host   *host
	number int64
	state  runState
	// started is when the upstream confirmed it.
	ordered time.Time
	started time.Time
	// met is when a run was found that this owner didn't start, until it has been listed
	// for longer than a stop takes: a former owner may have ordered it away.
	adoptedAt time.Time
	// stopped is when a stop was confirmed; zero before.
	stopped  time.Time
	stopSent bool
	stopDue  time.Time
	percent  int
	progressedAt    time.Time
	gauge    int64
	pace     int
}
