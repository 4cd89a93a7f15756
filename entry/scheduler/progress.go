package scheduler

import (
	"slices"
	"strconv"

	"fescuelanding/fleet/work"
)

// The progress of a job is appended in parts of consecutive tasks, so that no record outgrows the
// store's limit, and a change of one task of a large job isn't appended together with all others. The
// first part also has the state of the job; it is all that is appended of a job that has ended.

const (
	// _maxPartTasks is the number of tasks in a part, if the store's limit for a record allows it.
	_maxPartTasks = 256
	// _maxTaskBytes bounds what a record has of a task: its failed runs, its crashes, and a placement
	// on an upstream whose ID is as long as a key can be.
	_maxTaskBytes = 768
	// _maxStateBytes bounds the key and the rest of a record of progress.
	_maxStateBytes = 512
	// _maxFailures is the number of failed runs that are listed of a task. Earlier ones are only counted.
	_maxFailures = 32
)

// part identifies a part of a job's progress by the number of its first task.
type part struct {
	job   *job
	first int
}

// partQueue is a queue of parts, each of which it has once. The zero value is empty.
type partQueue struct {
	order []part
	has   map[part]struct{}
}

func (q *partQueue) add(p part) {
	if q.contains(p) {
		return
	}
	if q.has == nil {
		q.has = make(map[part]struct{})
	}
	q.has[p] = struct{}{}
	q.order = append(q.order, p)
}

func (q *partQueue) contains(p part) bool {
	_, ok := q.has[p]
	return ok
}

// pop removes the first part of a queue that isn't empty.
func (q *partQueue) pop() {
	delete(q.has, q.order[0])
	q.order = q.order[1:]
}

// partTasks returns the number of tasks in a part.
func (s *Scheduler) partTasks() int {
	return max(1, min(_maxPartTasks, (s.set.recordBytes()-_maxStateBytes)/_maxTaskBytes))
}

// partOf returns the part that has a task.
func (s *Scheduler) partOf(t *task) part {
	n := s.partTasks()
	return part{t.step.occurrence.job, t.number() / n * n}
}

// partsOf returns the parts that have the tasks of a step.
func (s *Scheduler) partsOf(st *step) []part {
	var l []part
	last := s.partOf(&st.tasks[len(st.tasks)-1])
	for p := s.partOf(&st.tasks[0]); p.first <= last.first; p.first += s.partTasks() {
		l = append(l, p)
	}
	return l
}

// partKey returns the key of the record of a part.
func partKey(pool, id string, first int) string {
	if first == 0 {
		return ProgressKey(pool, id)
	}
	return ProgressKey(pool, id) + "/" + strconv.Itoa(first)
}

// progress returns the durable progress of a part.
func (s *Scheduler) progress(p part) *work.Progress {
	j, m := p.job, &work.Progress{}
	if p.first == 0 {
		m.Cancelled, m.Failed, m.Completed = j.cancelled, j.failed, j.completed
	}
	switch {
	case j.over():
		m.EndedUnixMs = j.endedAt.UnixMilli()
		if j.cancelledInAdvance() {
			m.Workspace = j.def.GetWorkspace()
		}
	case j.size() <= s.partTasks():
		for _, o := range j.occurrences {
			m.Occurrences = append(m.Occurrences, occurrenceProgress(o))
		}
	default:
		m.Parts = []*work.Part{partProgress(p, s.partTasks())}
	}
	return m
}

func occurrenceProgress(o *occurrence) *work.Occurrence {
	w := &work.Occurrence{Number: int32(o.number)}
	for _, st := range o.steps {
		p := &work.StepProgress{}
		for i := range st.tasks {
			addProgress(p, i, len(st.tasks), &st.tasks[i])
		}
		w.Steps = append(w.Steps, p)
	}
	return w
}

// partProgress returns the progress of up to n tasks of a part, those whose occurrences have begun.
func partProgress(p part, n int) *work.Part {
	l := p.job.tasks(p.first, n)
	m := &work.Part{First: uint32(p.first), Count: uint32(len(l)), Tasks: &work.StepProgress{}}
	for i, t := range l {
		addProgress(m.Tasks, i, len(l), t)
	}
	return m
}

// addProgress adds the progress of a task to that of n tasks, of which it is the one at index i.
func addProgress(p *work.StepProgress, i, n int, t *task) {
	if t.done {
		if p.Done == nil {
			p.Done = make([]byte, (n+7)/8)
		}
		p.Done[i/8] |= 1 << (i % 8)
	}
	for x, run := range t.failed.runs {
		f := &work.Failure{Task: uint32(i), Run: uint32(run)}
		if x == 0 {
			f.Earlier = uint32(t.failed.earlier)
		}
		p.Failures = append(p.Failures, f)
	}
	p.LastRun = max(p.LastRun, uint32(t.lastRun))
	if c := encodeCrashes(i, t); c != nil {
		p.Crashes = append(p.Crashes, c)
	}
	if c := encodePlacement(i, t); c != nil {
		p.Placements = append(p.Placements, c)
	}
}

// restoreProgress restores the appended progress of a job.
func (s *Scheduler) restoreProgress(j *job, p *work.Progress) {
	for _, x := range p.GetParts() {
		if x.GetFirst() > 0 {
			j.parts = append(j.parts, int(x.GetFirst()))
		}
	}
	if j.over() {
		return
	}
	for _, o := range p.GetOccurrences() {
		c := j.ensureOccurrence(int(o.GetNumber()))
		for i, sp := range o.GetSteps() {
			if c != nil && i < len(c.steps) {
				s.restoreTasks(sp, j.tasks(c.steps[i].first, len(c.steps[i].tasks)))
			}
		}
	}
	// All occurrences are created before run numbers are restored.
	for _, x := range p.GetParts() {
		if n := int(x.GetFirst()) + int(x.GetCount()); x.GetCount() > 0 && n <= j.size() {
			j.ensureOccurrence((n - 1) / j.tasksPerOccurrence())
		}
	}
	for _, x := range p.GetParts() {
		s.restoreTasks(x.GetTasks(), j.tasks(int(x.GetFirst()), int(x.GetCount())))
	}
}

// restoreTasks restores the appended progress of tasks.
func (s *Scheduler) restoreTasks(p *work.StepProgress, l []*task) {
	done := p.GetDone()
	for i, t := range l {
		// Earlier builds also recorded ended runs of long-running tasks so, which are to start again.
		if i/8 < len(done) && done[i/8]&(1<<(i%8)) != 0 && !t.done && !t.step.def.GetLongRunning() {
			t.setDone()
			t.step.occurrence.job.begun = true
		}
		// lastRun already contains the gap that ensureOccurrence left for the runs
		// of a former owner.
		t.lastRun += int64(p.GetLastRun())
	}
	for _, f := range p.GetFailures() {
		if i := int(f.GetTask()); i < len(l) {
			l[i].failed.restore(f)
		}
	}
	for _, m := range p.GetCrashes() {
		if i := int(m.GetTask()); i < len(l) {
			l[i].crashes = restoreCrashes(m)
		}
	}
	for _, m := range p.GetPlacements() {
		if i := int(m.GetTask()); i < len(l) && !l[i].done {
			s.inheritedRuns = append(s.inheritedRuns, inheritedRun{l[i], m})
		}
	}
}

// failures are the failed runs of a task. The zero value is for none.
type failures struct {
	// runs are the numbers of the latest ones, in order, and earlier is the number of others.
	runs    []int64
	earlier int
}

// add counts a failed run.
func (f *failures) add(run int64) {
	i, _ := slices.BinarySearch(f.runs, run)
	f.runs = slices.Insert(f.runs, i, run)
	if len(f.runs) > _maxFailures {
		f.runs = slices.Delete(f.runs, 0, 1)
		f.earlier++
	}
}

// restore counts a failed run that a former owner appended.
func (f *failures) restore(m *work.Failure) {
	if run := int64(m.GetRun()); !f.has(run) {
		f.earlier += int(m.GetEarlier())
		f.add(run)
	}
}

// has reports whether a failed run has been counted.
func (f *failures) has(run int64) bool {
	return slices.Contains(f.runs, run) || f.earlier > 0 && len(f.runs) > 0 && run < f.runs[0]
}

func (f *failures) count() int { return f.earlier + len(f.runs) }
