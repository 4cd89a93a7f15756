package site

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"fescuelanding/platform"
)

// _notice is how long a task is away for any cause before it counts as unavailable.
const _notice = 4500 * time.Millisecond

// taskRecord is a task of a submitted job with what its upstreams reported.
type taskRecord struct {
	name        platform.TaskName
	behaviour   Behaviour
	size        platform.Capacity
	longRunning bool
	// antiAffinity and mayMiss are those of the step.
	antiAffinity, mayMiss int
	// gang is the number of tasks in the gang; zero if the step isn't one.
	gang int
	// gangDone is set once a member of the task's gang is done.
	gangDone bool
	policy   bool
	spec     string
	// checkpointing is set if its runs report checkpoints; those so far, of all members of its gang, are
	// in checkpoints.
	checkpointing bool
	checkpoints   map[string]bool
	current       []runRecord
	// runCount counts all runs, done those that completed.
	runCount, done int
	// ends are the ends of completed runs.
	ends []*endRecord
	// startedAt is when the last run started, endedAt when one ended.
	startedAt, endedAt time.Time
	// startedBy is the entry that ordered the last run.
	startedBy string
	// late is set if the upstream carried out the last start late.
	late bool
	// removed is set if the last run ended because the system moved it.
	removed bool
}

// isOfStep reports whether the task belongs to the same step and occurrence as another.
func (d *taskRecord) isOfStep(o *taskRecord) bool {
	return d.name.Job == o.name.Job && d.name.Occurrence == o.name.Occurrence && d.name.Step == o.name.Step
}

// running reports whether a run is at work. Runs end when their upstream's lease does.
func (d *taskRecord) running(now time.Time) bool {
	d.current = slices.DeleteFunc(d.current, func(r runRecord) bool { return r.upstream.lapsed(now) })
	return len(d.current) > 0
}

// away reports whether the task counts as unavailable by the system's actions.
func (d *taskRecord) away(now time.Time) bool {
	return d.runCount > 0 && !d.running(now) && (d.removed || now.Sub(d.endedAt) >= _notice)
}

// runRecord is a current run.
type runRecord struct {
	// name is TASK/RUN.
	name     string
	upstream *Upstream
	// judged is set once it has been said that the run goes on after its job was cancelled.
	judged bool
}

// endRecord is the end of a run, which its upstream lists until it is acknowledged.
type endRecord struct {
	platform.Ended
	upstream *Upstream
	acked    bool
	// void is set if the upstream lost the end or its lease before the end was
	// acknowledged. The task may then run again.
	void bool
}

// isVoid reports whether the task may run again after this end.
func (e *endRecord) isVoid(now time.Time) bool {
	return e.void || !e.acked && e.upstream.lapsed(now)
}

// addViolation records a violation. The caller holds the lock.
func (s *Site) addViolation(format string, a ...any) {
	t := fmt.Sprintf(format, a...)
	s.violations = append(s.violations, t)
	s.log("VIOLATION " + t)
}

// log writes a line with the present time to the output of the entries.
func (s *Site) log(line string) {
	fmt.Fprintf(s.out, "%s site: %s\n", time.Now().Format("15:04:05.000"), line)
}

// gang is one run of a step whose tasks must all run at the same time.
type gang struct {
	members int
	// began is when the last member started; nil before that.
	began atomic.Pointer[time.Time]
	// broken is set once a member has ended without being done. The others end then.
	broken atomic.Bool
}

// gangOf returns the gang of a run, which it creates if needed. The caller holds the lock.
func (s *Site) gangOf(d *taskRecord, run int64) *gang {
	k := fmt.Sprintf("%s.%d.%d/%d", d.name.Job, d.name.Occurrence, d.name.Step, run)
	g := s.gangs[k]
	if g == nil {
		g = &gang{}
		s.gangs[k] = g
	}
	return g
}

// recordGangEnd records the end of a member of a gang. If it is done, the gang is. Otherwise
// the other members end. The caller holds the lock.
func (s *Site) recordGangEnd(d *taskRecord, e *endRecord) {
	if e.End == platform.EndDone {
		for _, o := range s.tasks {
			o.gangDone = o.gangDone || o.isOfStep(d)
		}
		return
	}
	if s.gangOf(d, e.Run).broken.Swap(true) {
		return
	}
	for _, u := range s.upstreams {
		go u.lockAndEndFinishedRuns()
	}
}

// join adds a member to a gang. The work of all members begins when the last one joins.
func (s *Site) join(d *taskRecord, run int64, r *running) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gangOf(d, run)
	r.gang = g
	g.members++
	if g.members < d.gang {
		return
	}
	now := time.Now()
	g.began.Store(&now)
	for _, u := range s.upstreams {
		time.AfterFunc(r.duration, u.lockAndEndFinishedRuns)
	}
}

// recordStart records the start of a run that an entry ordered, and returns how many runs of the task have started.
func (d *taskRecord) recordStart(u *Upstream, entry string, run int64) int {
	u.site.mu.Lock()
	defer u.site.mu.Unlock()
	now := time.Now()
	name := fmt.Sprintf("%s/%d", d.name, run)
	if d.running(now) {
		u.site.addViolation("%s started while %s is running", name, d.current[0].name)
	}
	if slices.ContainsFunc(d.ends, func(e *endRecord) bool { return !e.isVoid(now) }) {
		u.site.addViolation("%s started after the task was done", name)
	}
	u.site.log(fmt.Sprintf("%s starts on %s, ordered by %s", name, u.machine, entry))
	d.runCount++
	d.startedAt, d.startedBy, d.late, d.removed = now, entry, false, false
	d.current = append(d.current, runRecord{name: name, upstream: u})
	return d.runCount
}

// recordLate records that a start was carried out late, at a time. The run may have been there before.
func (s *Site) recordLate(task string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.tasks[task]; d != nil && !d.startedAt.Before(at) {
		d.late = true
	}
}

// task returns the record of a task by its name, or nil if no submitted job has it.
func (s *Site) task(name string) *taskRecord {
	n, ok := platform.ParseTaskName(name)
	if !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.tasks[name]; d != nil {
		return d
	}
	j := s.jobs[n.Job]
	if j == nil || n.Step >= len(j.Steps) || n.Index >= int(j.Steps[n.Step].GetCount()) || n.Occurrence >= max(1, int(j.GetOccurrences())) {
		return nil
	}
	p := j.Steps[n.Step]
	d := &taskRecord{
		name: n, behaviour: j.behaviour, spec: j.spec, checkpointing: p.GetCheckpointing(), checkpoints: make(map[string]bool), longRunning: p.GetLongRunning(), policy: j.policy,
		antiAffinity: int(p.GetAntiAffinity()), mayMiss: int(p.GetMayMiss()),
		size: platform.Capacity{MilliCPU: p.GetMilliCpu(), MemoryMB: p.GetMemoryMb()},
	}
	if p.GetGang() {
		d.gang = int(p.GetCount())
		for _, o := range s.tasks {
			if o.isOfStep(d) {
				d.checkpoints = o.checkpoints
			}
		}
	}
	s.tasks[name] = d
	return d
}

// checkAsked checks an order to start a task, whose record is nil if no caller has submitted it.
func (s *Site) checkAsked(d *taskRecord, entry string, o platform.Start) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case d == nil:
		s.addViolation("%s/%d was ordered by %s, but no caller has submitted it", o.Task, o.Run, entry)
	case o.Spec != d.spec:
		s.addViolation("%s/%d was ordered by %s with another spec: %q", o.Task, o.Run, entry, o.Spec)
	case o.Checkpoint != "" && !d.checkpoints[o.Checkpoint]:
		s.addViolation("%s/%d was ordered by %s with the checkpoint %q, which no run of it has reported", o.Task, o.Run, entry, o.Checkpoint)
	}
}

// recordCheckpoint records that a run reports a checkpoint.
func (s *Site) recordCheckpoint(task, checkpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tasks[task].checkpoints[checkpoint] = true
}

// recordEnd records the end of a run.
func (s *Site) recordEnd(e *endRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.tasks[e.Task]
	if d == nil {
		return
	}
	name := fmt.Sprintf("%s/%d", e.Task, e.Run)
	d.current = slices.DeleteFunc(d.current, func(r runRecord) bool { return r.name == name })
	d.endedAt = time.Now()
	s.log(fmt.Sprintf("%s on %s ends: %s", name, e.upstream.machine, e.End))
	if e.End == platform.EndDone && !d.longRunning {
		d.done++
		d.ends = append(d.ends, e)
	}
	if d.gang > 0 {
		s.recordGangEnd(d, e)
	}
}

// recordAck records that the system has acknowledged an end.
func (s *Site) recordAck(e *endRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.acked = !e.void
	s.log(fmt.Sprintf("end of %s/%d on %s acknowledged, void %v", e.Task, e.Run, e.upstream.machine, e.void))
}

// voidEnds records that an upstream lost some ends, or its lease before they were
// acknowledged.
func (s *Site) voidEnds(l []*endRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range l {
		e.void = !e.acked
	}
}

// recordOrder records that an order ends a run, and checks that not too many tasks of its
// step are away. A run on an upstream that is down isn't at work.
func (s *Site) recordOrder(task string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, d := time.Now(), s.tasks[task]
	if d == nil || d.mayMiss == 0 || down {
		return
	}
	d.removed = true
	if j := s.jobs[d.name.Job]; j == nil || j.cancelling {
		return
	}
	n := 0
	for _, o := range s.tasks {
		if o != d && o.isOfStep(d) && o.away(now) {
			n++
		}
	}
	if n >= d.mayMiss {
		s.addViolation("%s was stopped or moved while %d others of its step were away", task, n)
	}
}

// checkAntiAffinity checks that a task may start beside the others of its step on the
// upstream. The caller holds the upstream's lock.
func (u *Upstream) checkAntiAffinity(d *taskRecord) {
	n := 0
	for t := range u.runs {
		o, ok := platform.ParseTaskName(t)
		if ok && o.Job == d.name.Job && o.Occurrence == d.name.Occurrence && o.Step == d.name.Step && o != d.name {
			n++
		}
	}
	if d.antiAffinity == 0 || n < d.antiAffinity {
		return
	}
	u.site.mu.Lock()
	defer u.site.mu.Unlock()
	u.site.addViolation("%s started beside %d others of its step", d.name, n)
}

// Task is what the upstreams saw of a task.
type Task struct {
	Name string
	// Runs counts all runs.
	Runs int
	// Done is set once a run, or one of its gang, has completed.
	Done    bool
	Running bool
	// StartedAt is when the last run started, EndedAt when one last ended.
	StartedAt, EndedAt time.Time
	// StartedBy is the entry that ordered the last run.
	StartedBy string
	// Late is set if the upstream carried out the last start late.
	Late bool
}

// Tasks returns the tasks of a job that have started.
func (s *Site) Tasks(now time.Time, job string) []Task {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []Task
	for _, d := range s.tasks {
		if d.name.Job == job && d.runCount > 0 {
			l = append(l, Task{
				Name: d.name.String(), Runs: d.runCount, Done: d.done > 0 || d.gangDone, Running: d.running(now),
				StartedAt: d.startedAt, EndedAt: d.endedAt, StartedBy: d.startedBy, Late: d.late,
			})
		}
	}
	return l
}

// Violations returns what the site has found wrong so far.
func (s *Site) Violations() []string {
	s.checkWaves()
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// Counts returns how many runs have started and how many hosts were moved and taken down
// for upkeep.
func (s *Site) Counts() (runs, moves, upkeeps int) {
	runs = s.startedRuns()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.waves {
		upkeeps += len(w.begun)
	}
	return runs, s.moves, upkeeps
}

// countTasks returns the numbers of completed and current runs of a job.
func (s *Site) countTasks(job string) (done, running int) {
	for _, u := range s.upstreams {
		u.lockAndEndFinishedRuns()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.tasks {
		if d.name.Job == job {
			done += d.done
			if d.running(time.Now()) {
				running += len(d.current)
			}
		}
	}
	return done, running
}

// summary returns the numbers of completed and current runs of a job, and the violations of
// all jobs.
func (s *Site) summary(job string) string {
	done, running := s.countTasks(job)
	t := fmt.Sprintf("%d tasks done, %d running", done, running)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.violations) > 0 {
		t += "; violations: " + strings.Join(s.violations, "; ")
	}
	return t
}
