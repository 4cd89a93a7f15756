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
	// durable is set once the job has been appended. The requests in
	// acceptWaiters are answered then.
	durable       bool
	acceptWaiters []Ref
	// answerBy is when the requests in acceptWaiters have to be answered, and waitUntil until
	// when the job may wait to be put into an append; zero for no limit.
	answerBy, waitUntil time.Time
	// cancelWaiters are answered once the cancellation has been appended.
	cancelWaiters []Ref

	cancelled bool
	failed    bool
	completed bool
	// durableState is the final state as it has been appended. Only then may
	// callers be told.
	durableState link.JobState
	endedAt      time.Time

	// begun is set once any task of the job has been started.
	begun bool
	// occurrences are those that have begun, by number.
	occurrences []*occurrence
	// done is the number of tasks that are done.
	done int
	// parts are the parts of its progress that may have records, besides the first.
	parts []int
	// inherited is set for jobs accepted by a former owner.
	inherited bool
	objective time.Duration
	// predicted is the duration predicted at admission; zero if there was no
	// prediction.
	predicted time.Duration
	// surplus is set if the job exceeds its workspace's entitlement, and deferred if it was
	// accepted although it will be late.
	surplus, deferred bool
}

// over reports whether the job has ended, so that none of its tasks may start.
func (j *job) over() bool { return j.cancelled || j.failed || j.completed }

func (j *job) longRunning() bool {
	for _, s := range j.def.GetSteps() {
		if s.GetLongRunning() {
			return true
		}
	}
	return false
}

// times returns the number of occurrences, at least one.
func (j *job) times() int { return max(1, int(j.def.GetOccurrences())) }

// recurring reports whether the job starts at set times rather than on arrival.
func (j *job) recurring() bool { return j.def.GetOccurrences() > 0 }

// due returns when an occurrence may start.
func (j *job) due(k int) time.Time {
	if !j.recurring() {
		return j.arrived
	}
	ms := j.def.GetFirstRunUnixMs() + int64(k)*j.def.GetIntervalMs()
	return time.UnixMilli(ms)
}

// tasksPerOccurrence returns the number of tasks of all steps.
func (j *job) tasksPerOccurrence() int {
	n := 0
	for _, d := range j.def.GetSteps() {
		n += int(d.GetCount())
	}
	return n
}

// size returns the number of tasks of all occurrences.
func (j *job) size() int { return j.times() * j.tasksPerOccurrence() }

// allDone reports whether every task of every occurrence is done.
func (j *job) allDone() bool { return j.done == j.size() }

// noteRecord notes that a part of the progress has a record.
func (j *job) noteRecord(first int) {
	if i, found := slices.BinarySearch(j.parts, first); first > 0 && !found {
		j.parts = slices.Insert(j.parts, i, first)
	}
}

// tasks returns up to n tasks of the occurrences that have begun, in the order of their numbers: that of
// occurrences, steps and indexes.
func (j *job) tasks(first, n int) []*task {
	var l []*task
	for k := first / j.tasksPerOccurrence(); k < len(j.occurrences) && len(l) < n; k++ {
		for _, st := range j.occurrences[k].steps {
			for i := max(0, first-st.first); i < len(st.tasks) && len(l) < n; i++ {
				l = append(l, &st.tasks[i])
			}
		}
	}
	return l
}

// state returns the state that callers are told.
func (j *job) state() link.JobState {
	if j.durableState != link.JobState_JOB_STATE_UNSPECIFIED {
		return j.durableState
	}
	if j.begun {
		return link.JobState_JOB_STATE_RUNNING
	}
	return link.JobState_JOB_STATE_QUEUED
}

// occurrence is one execution of the job's steps.
type occurrence struct {
	job    *job
	number int
	due    time.Time
	steps  []*step
	// open are the steps that are ready and not done, and openKnown is set while that is up to date.
	open      []*step
	openKnown bool
}

func newOccurrence(j *job, k int) *occurrence {
	o := &occurrence{job: j, number: k, due: j.due(k)}
	first := k * j.tasksPerOccurrence()
	for i, d := range j.def.GetSteps() {
		s := &step{occurrence: o, number: i, def: d, first: first, left: int(d.GetCount())}
		first += int(d.GetCount())
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

// ensureOccurrence returns an occurrence by its number and creates all up to it
// that don't exist yet. It returns nil if the job has fewer. If a former owner may
// have begun them, runs are numbered above any number that the former owner can
// have used without appending it.
func (j *job) ensureOccurrence(k int) *occurrence {
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

// skipRuns skips the run numbers that a former owner may have used.
func (o *occurrence) skipRuns() {
	for _, st := range o.steps {
		for i := range st.tasks {
			st.tasks[i].lastRun += _runNumberGap
		}
	}
}

// _runNumberGap is how many run numbers are skipped. One owner starts fewer runs
// of a task before it appends progress of the job.
const _runNumberGap = 16

// openSteps returns the steps that are ready and not done.
func (o *occurrence) openSteps() []*step {
	if !o.openKnown {
		o.open, o.openKnown = o.open[:0], true
		for _, s := range o.steps {
			if s.left > 0 && s.ready() {
				o.open = append(o.open, s)
			}
		}
	}
	return o.open
}

// waiting reports whether any of its tasks can be placed.
func (o *occurrence) waiting() bool { return slices.ContainsFunc(o.openSteps(), (*step).unplaced) }

// step is a step of an occurrence.
type step struct {
	occurrence *occurrence
	number     int
	name       string
	def        *work.Step
	// first is the number of its first task in the job.
	first int
	tasks []task
	// left counts the tasks that aren't done.
	left int
	// waitingSince is when a round of placement first visited the step.
	waitingSince time.Time
	// running counts the runs of the step.
	running int
	// took is the average run time of its tasks, in nanoseconds.
	took average
	// longest is the longest run time of its tasks, in nanoseconds.
	longest float64
	advice  advice
}

// ready reports whether all steps that this one depends on are done.
func (s *step) ready() bool {
	for _, a := range s.def.GetAfter() {
		if s.occurrence.steps[a].left > 0 {
			return false
		}
	}
	return true
}

// waiting reports whether tasks of the step can be placed.
func (s *step) waiting() bool { return s.unplaced() && s.ready() }

// unplaced reports whether tasks of the step neither run nor are done.
func (s *step) unplaced() bool { return s.left > s.running }

// cpuRequest returns the free CPU that a task needs, in millicores.
func (s *step) cpuRequest() int64 {
	if s.def.GetFills() {
		return 0
	}
	return s.def.GetMilliCpu()
}

// countUnavailable counts the unavailable tasks other than t.
func (s *step) countUnavailable(t *task) int {
	n := 0
	for i := range s.tasks {
		if u := &s.tasks[i]; u != t && !u.available() {
			n++
		}
	}
	return n
}

// mayStop reports whether a task may be stopped without leaving more tasks of the
// step unavailable than it allows. The task itself counts as available, because
// it may have become so since the last poll.
func (s *step) mayStop(t *task) bool {
	if s.occurrence.job.over() || s.def.GetMayMiss() == 0 {
		return true
	}
	return s.countUnavailable(t) < int(s.def.GetMayMiss())
}

// mayMove reports whether a task may be stopped although it could go on for some time. Of a
// step that doesn't bound the missing tasks, one at a time may, as nothing presses.
func (s *step) mayMove(t *task) bool {
	return s.mayStop(t) && (s.def.GetMayMiss() > 0 || s.countUnavailable(t) == 0)
}

// task is a task of a step.
type task struct {
	step   *step
	index  int
	name   string
	done   bool
	failed failures
	// lastRun is the highest run number used.
	lastRun    int64
	checkpoint string
	// runs are those that may be running.
	runs []*run
	// waitingSince is when the task could first be placed.
	waitingSince time.Time
	// avoid is the upstream on which the task failed last.
	avoid   string
	crashes crashes
	// shortRuns counts the short runs in a row of a long-running task. It starts again no earlier than restartAt.
	shortRuns int
	restartAt time.Time
	// doubted is set once a run was given up whose end wasn't read, until an append that was sent
	// later is durable. A later owner may have read that the task is done.
	doubted bool
}

// number returns the number of the task in its job.
func (t *task) number() int { return t.step.first + t.index }

// setDone marks a task as done.
func (t *task) setDone() {
	t.done = true
	t.step.left--
	t.step.occurrence.job.done++
	if t.step.left == 0 {
		t.step.occurrence.openKnown = false
		t.step.advice.forget()
	}
}

// available reports whether a long-running task is serving, as far as its
// upstream reports.
func (t *task) available() bool {
	for _, r := range t.runs {
		if r.state == runRunning && r.adoptedAt.IsZero() && r.percent >= 100 && r.host.failedPolls == 0 && !r.host.gone && !r.host.followed() {
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
