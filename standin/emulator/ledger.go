package emulator

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// ledger records the tasks that upstreams run and the answers that callers receive, and
// checks them against the rules of Violation.
type ledger struct {
	world      *World
	tasks      map[string]*taskRecord
	jobs       map[string]*jobRecord
	violations []Violation
	// reported holds the rule and detail of the violations so far.
	reported map[string]bool
}

// Violation is a guarantee that a history broke. The rules are:
//
//	TWICE    a task runs once at a time, and a task that isn't long-running doesn't run
//	         again after an acknowledged completion, or, by an entry in touch with the
//	         platform, after its job was shown as completed
//	ORDER    a task starts after the steps it depends on, and not before it is due
//	UNASKED  only tasks of submitted jobs start, and none starts or runs on long after a
//	         cancellation; an accepted job isn't unknown to who cancels it
//	REFUSED  a job doesn't run if all attempts to submit it were refused
//	BUDGET   a task fails no more often than its queue allows, and is started at most twice
//	         more after three upstreams have crashed under it
//	LOST     entries don't lose an accepted job, its final state agrees with its runs, and
//	         its long-running tasks run while the platform is calm and has room
//	MIXED    a completed job has all its tasks done
//	AVAIL    orders make no more tasks of a step unavailable than its mayMiss allows
//	RECOVER  entries serve again some time after all of them have lost power
//	LIMIT    runs don't exceed the capacity of a host, and a wave takes no more hosts
//	         down at once than it allows
//	QUOTA    a start doesn't bring what a workspace has running above its limit
//	WAKE     a scheduler doesn't repeatedly request a wake-up for a time in the past
//	SIZE     an append keeps to the store's limits for sizes
//	DECODE   an owner can decode the records of the former owners
type Violation struct {
	Rule   string
	At     time.Duration
	Detail string
}

// String returns the violation as a line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %v: %s", v.Rule, v.At.Round(time.Millisecond), v.Detail)
}

// jobRecord is a job that a caller submits, with the answers that callers received.
type jobRecord struct {
	def *work.Job
	// failPercent is the share of runs that fail.
	failPercent int
	// accepted and cancelled are the times at which a caller received these answers; zero
	// if none did. maybeAccepted is set when an attempt is accepted or its outcome is
	// unknown, refused when an attempt is refused, and cancelRequested when a caller
	// sends a cancellation. lastState is the last state that a caller received, first at shownAt.
	accepted, cancelled time.Duration
	// cancelSent is when a caller first sent a cancellation.
	cancelSent      time.Duration
	maybeAccepted   bool
	refused         bool
	cancelRequested bool
	lastState       link.JobState
	shownAt         time.Duration
	// crashing is its task that crashes upstreams, or nil.
	crashing *crashing
	// runTimes are the mean run times of its tasks by step, if a load is replayed; took is
	// how long its caller waited for its end, zero if that wasn't seen.
	runTimes []time.Duration
	took     time.Duration
}

// taskRecord is a task with all its runs.
type taskRecord struct {
	name        platform.TaskName
	job         *jobRecord
	def         *work.Step
	cpu         int64
	duration    time.Duration
	longRunning bool
	runs        []*runRecord
	world       *World
}

// runRecord is a run of a task: its start and its end. upstream is the name of the
// upstream that runs it, startedBy the entry that ordered the start.
type runRecord struct {
	task      *taskRecord
	upstream  string
	startedBy string
	number    int64
	at        time.Duration
	// endedAt and outcome are when and how the run ended; an empty outcome means that
	// it is running.
	endedAt time.Duration
	outcome platform.End
	// acked is set once an owner has acknowledged the end.
	acked bool
	// lostWithUpstream is set if the upstream's incarnation ended before the end was
	// acknowledged.
	lostWithUpstream bool
	// stoppedByOrder is set if an order ended the run.
	stoppedByOrder bool
	// late is set if the upstream executed the start late, and crashedUpstream if the run
	// crashed the upstream.
	late, crashedUpstream bool
}

func (s *runRecord) String() string {
	return fmt.Sprintf("run %d on %s by %s at %v", s.number, s.upstream, s.startedBy, s.at.Round(time.Millisecond))
}

// failsOn reports whether a run fails, as a function of the task and the run number only.
func (t *taskRecord) failsOn(number int64) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.name.String() + strconv.FormatInt(number, 10))) // A hash never fails.
	return int(h.Sum32()%100) < t.job.failPercent
}

// exitsAfter returns how long a run of a long-running task lasts if it ends by itself as done, as a function of the task
// and the run number only. One task in _exitLoops ends at once each time, the runs of the others after up to _maxExit.
func (t *taskRecord) exitsAfter(number int64) (time.Duration, bool) {
	if !t.world.settings.Exits {
		return 0, false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.name.String())) // A hash never fails.
	if h.Sum32()%_exitLoops == 0 {
		return 0, true
	}
	_, _ = h.Write([]byte("exit" + strconv.FormatInt(number, 10)))
	n := h.Sum32()
	return time.Duration(n/_exitRuns) % _maxExit, n%_exitRuns > 0
}

// With exits, one run of a long-running task in _exitRuns doesn't end by itself.
const (
	_exitLoops, _exitRuns = 4, 3
	_maxExit              = 3 * time.Second
)

// addViolation adds a violation, unless one with the same rule and detail was added before.
func (l *ledger) addViolation(rule, format string, a ...any) {
	v := Violation{rule, l.world.now, fmt.Sprintf(format, a...)}
	if l.reported == nil {
		l.reported = make(map[string]bool)
	}
	if l.reported[rule+v.Detail] {
		return
	}
	l.reported[rule+v.Detail] = true
	l.violations = append(l.violations, v)
	l.world.tracef("VIOLATION %v", v)
}

// task returns the record of the task that an order names. It reports a violation if
// no submitted job has such a task.
func (l *ledger) task(name, spec string) *taskRecord {
	if t := l.tasks[name]; t != nil {
		return t
	}
	n, ok := platform.ParseTaskName(name)
	j := l.jobs[n.Job]
	if !ok || j == nil || n.Step >= len(j.def.GetSteps()) || spec != j.def.GetSpec() {
		l.addViolation("UNASKED", "an order names task %s, but no submitted job has this task and spec", name)
		j = &jobRecord{def: &work.Job{Steps: make([]*work.Step, n.Step+1)}}
	}
	d := j.def.GetSteps()[n.Step]
	t := &taskRecord{
		name: n, job: j, def: d, cpu: d.GetMilliCpu(), longRunning: d.GetLongRunning(),
		duration: time.Duration(d.GetEstimateMs()) * time.Millisecond, world: l.world,
	}
	if len(j.runTimes) > 0 {
		t.duration = j.runTime(n)
	}
	l.tasks[name] = t
	return t
}

// recordStart records the start of a run and makes the checks that are possible then.
func (l *ledger) recordStart(t *taskRecord, u *upstream, number int64, by string) *runRecord {
	s := &runRecord{task: t, upstream: u.name(), startedBy: by, number: number, at: l.world.now}
	for _, o := range t.runs {
		if o.outcome == "" {
			l.addViolation("TWICE", "%s: %v started while %v was still running", t.name, s, o)
		}
	}
	for _, a := range t.def.GetAfter() {
		if n := l.done(t.job, t.name.Occurrence, int(a)); n < int(t.job.def.GetSteps()[a].GetCount()) {
			l.addViolation("ORDER", "%s: %v started while only %d tasks of step %d were done", t.name, s, n, a)
		}
	}
	if due := t.job.due(t.name.Occurrence); l.world.time().Before(due.Add(-_earlyTolerance)) {
		l.addViolation("ORDER", "%s: %v started too early: it is due at %v", t.name, s, due.Sub(_epoch))
	}
	if t.job.cancelled > 0 && l.world.now > t.job.cancelled+_cancelDelay {
		l.addViolation("UNASKED", "%s: %v started long after the job was cancelled at %v", t.name, s, t.job.cancelled)
	}
	l.checkAgainAfterShown(s, u)
	// The first start after the owner was killed ends the failover. Orders that were under
	// way at the kill arrive within _maxDelay.
	if w := l.world; w.killedAt > 0 && w.resumedAt == 0 && w.now > w.killedAt+_maxDelay {
		w.resumedAt = w.now
	}
	l.checkLimit(s)
	t.runs = append(t.runs, s)
	l.world.tracef("%s starts %v", t.name, s)
	return s
}

// checkAgainAfterShown checks that an entry in touch with the platform doesn't start a task whose
// job was shown as completed.
func (l *ledger) checkAgainAfterShown(s *runRecord, u *upstream) {
	j := s.task.job
	if j.lastState != link.JobState_JOB_STATE_COMPLETED || l.world.now <= j.shownAt+_shownDelay || u.executingLate {
		return
	}
	if e := l.world.entryNamed(s.startedBy); e != nil && e.withoutRecentFault() {
		l.addViolation("TWICE", "%s: %v started though its job was shown as completed at %v", s.task.name, s, j.shownAt)
	}
}

// _shownDelay is how long after a job was shown as completed an entry may still start its tasks.
const _shownDelay = time.Second

// _cancelDelay is how long after a job was cancelled its tasks may still start. It
// includes _maxLate, since orders may be executed that late.
const _cancelDelay = 3*time.Second + _maxLate

// _earlyTolerance is how long before its due time a task may start.
const _earlyTolerance = 250 * time.Millisecond

// due returns when an occurrence may start; zero if the job has no schedule.
func (j *jobRecord) due(k int) time.Time {
	if j.def.GetOccurrences() == 0 {
		return time.Time{}
	}
	return time.UnixMilli(j.def.GetFirstRunUnixMs() + int64(k)*j.def.GetIntervalMs())
}

// done counts the tasks of a step that have a completed run. One completed member of a
// gang counts for all.
func (l *ledger) done(j *jobRecord, k, step int) int {
	n := 0
	for i := range int(j.def.GetSteps()[step].GetCount()) {
		t := l.tasks[platform.TaskName{Job: j.def.GetId(), Occurrence: k, Step: step, Index: i}.String()]
		if t != nil && slices.ContainsFunc(t.runs, func(s *runRecord) bool { return s.outcome == platform.EndDone }) {
			n++
		}
	}
	if n > 0 && j.def.GetSteps()[step].GetGang() {
		return int(j.def.GetSteps()[step].GetCount())
	}
	return n
}

// recordEviction records that an order for a host ends all runs on it.
func (l *ledger) recordEviction(u *upstream, by string) {
	for _, t := range sortedKeys(u.runs) {
		l.recordStop(u.runs[t].record, u, "an order for its host from "+by)
		u.runs[t].record.stoppedByOrder = true
	}
}

// recordLapse records that a run's lease lapses. That counts as an order, unless a fault may have kept the owner from
// renewing it.
func (l *ledger) recordLapse(s *runRecord, u *upstream) {
	if l.world.now-l.world.lastFaultEnd() >= _calmTime {
		l.recordStop(s, u, "the lapse of its lease")
	}
}

// _outageTolerance is how long a task may be down for a cause other than an order
// before it counts as unavailable.
const _outageTolerance = 4500 * time.Millisecond

// recordStop records that an order ends a run, and checks that fewer other tasks of the
// step than its mayMiss are unavailable. Orders that an upstream executes late are exempt,
// since no entry is at fault. So are runs that were starting up or stalled, and thus not
// available before the order.
func (l *ledger) recordStop(s *runRecord, u *upstream, by string) {
	t := s.task
	s.stoppedByOrder = true
	available := l.world.now-s.at >= _startupTime && l.world.now >= u.stalledUntil
	if t.def.GetMayMiss() == 0 || t.job.cancelRequested || !available || u.executingLate {
		return
	}
	missing := 0
	for i := range int(t.def.GetCount()) {
		n := t.name
		n.Index = i
		if o := l.tasks[n.String()]; i != t.name.Index && o != nil && o.unavailable() {
			missing++
		}
	}
	if missing >= int(t.def.GetMayMiss()) {
		l.addViolation("AVAIL", "%s: %v is ended by %s while %d other tasks of the step are unavailable", t.name, s, by, missing)
	}
}

// unavailable reports whether a long-running task is unavailable: none of its current runs
// is past start-up. A task that was available until less than _outageTolerance ago counts
// only if an order ended its run. One that was never available counts that long after its first start.
func (t *taskRecord) unavailable() bool {
	now := t.world.now
	var last *runRecord
	for _, s := range t.runs {
		if s.outcome == "" && now-s.at >= _startupTime {
			return false
		}
		if s.outcome != "" && s.endedAt-s.at >= _startupTime {
			last = s // It was past its start-up.
		}
	}
	if last == nil {
		return len(t.runs) > 0 && now-t.runs[0].at >= _outageTolerance
	}
	return last.stoppedByOrder || now-last.endedAt >= _outageTolerance
}

// checkUpkeep checks, before a host goes down for upkeep, that the declared wave allows
// another one at the same time.
func (l *ledger) checkUpkeep(u *upstream) {
	down := 0
	for _, o := range l.world.upstreams {
		if o != u && o.host.state == platform.MachineUpkeep {
			down++
		}
	}
	if down >= l.world.declaredWave.MaxDown {
		l.addViolation("LIMIT", "upkeep of %s while %d hosts are down for upkeep", u.name(), down)
	}
}

// recordEnd records the end of a run.
func (l *ledger) recordEnd(s *runRecord, how platform.End) {
	s.endedAt, s.outcome = l.world.now, how
	l.world.tracef("%s %s: %v", s.task.name, how, s)
}

// findRun returns the run whose end an upstream lists. A former incarnation under the same ID
// may have run the same number before.
func (l *ledger) findRun(u *upstream, e platform.Ended) *runRecord {
	all := l.tasks[e.Task].runs
	for i, s := range slices.Backward(all) {
		if s.number == e.Run && s.upstream == u.name() {
			return all[i]
		}
	}
	return nil // Upstreams list only runs that were recorded.
}

// recordAck records that an owner acknowledged the end of a run to the upstream. It
// ignores the acknowledgement if the upstream's lease expired at or after the end: another
// upstream may then have started the task already.
func (l *ledger) recordAck(u *upstream, e platform.Ended) {
	if s := l.findRun(u, e); !s.lostWithUpstream && u.leaseExpired < s.endedAt {
		s.acked = true
	}
}

// recordLoss records that the end of a run was lost with the upstream's incarnation before
// an owner acknowledged it. The owner may not have seen it, so the task may run again.
func (l *ledger) recordLoss(u *upstream, e platform.Ended) { l.findRun(u, e).lostWithUpstream = true }

// checkAtEnd makes the checks that are possible only at the end of a history.
func (l *ledger) checkAtEnd() {
	for _, n := range sortedKeys(l.tasks) {
		t := l.tasks[n]
		l.checkRuns(t)
		l.checkCrashes(t)
		if t.job.refused && !t.job.maybeAccepted {
			l.addViolation("REFUSED", "%s started though all attempts to submit its job were refused", n)
		}
	}
	for _, id := range sortedKeys(l.jobs) {
		if j := l.jobs[id]; j.accepted > 0 && !j.cancelRequested && !j.longRunning() && !ended(j.lastState) {
			l.addViolation("LOST", "job %s is still %v at the end of the history, accepted at %v", id, j.lastState, j.accepted)
		}
	}
}

// checkRuns checks that no run of a task follows an acknowledged completion, and that none
// follows as many failed runs as the queue allows.
func (l *ledger) checkRuns(t *taskRecord) {
	for _, d := range t.runs {
		if d.outcome != platform.EndDone || !d.acked || t.longRunning {
			continue
		}
		for _, s := range t.runs {
			if s != d && s.at > d.endedAt {
				l.addViolation("TWICE", "%s: %v started after %v had completed at %v", t.name, s, d, d.endedAt)
			}
		}
	}
	if t.longRunning {
		return
	}
	failed := 0
	for _, s := range t.runs {
		if failed >= l.world.queueOf(t.job.def.GetPool()).Attempts {
			l.addViolation("BUDGET", "%s: %v started after %d runs had failed, which exhausts the attempts of the queue", t.name, s, failed)
		}
		if s.outcome == platform.EndFailed && s.acked {
			failed++
		}
	}
}

func (j *jobRecord) longRunning() bool {
	return slices.ContainsFunc(j.def.GetSteps(), (*work.Step).GetLongRunning)
}

// sortedKeys returns the keys in order. Map order is random, and a seed must give one
// history.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
