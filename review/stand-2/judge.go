package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// judge notes what ran, and finds broken rules by that.
type judge struct {
	rec *recorder
	mu  sync.Mutex
	// jobs has the behaviour of the work items, by job or by step.
	jobs   map[string]behaviour
	tasks  map[string]*taskRecord
	broken []string
}

// taskRecord is what is known of a work item.
type taskRecord struct {
	runs   int
	failed int
	// refused counts the starts that executors refused.
	refused int
	// failedAcked is the number of ends failed that were taken note of.
	failedAcked int
	// done is set once an end done was taken note of, ended once there was one.
	done, ended bool
	// running has the services on which it runs, by executor.
	running map[string]string
	// lastAt is when it last began or ended.
	lastAt time.Time
	// startsAfterFailed counts the starts after the given number of ends failed.
	startsAfterFailed map[int]int
}

func newJudge(r *recorder) *judge {
	return &judge{rec: r, jobs: make(map[string]behaviour), tasks: make(map[string]*taskRecord)}
}

// stepOf returns the name of the step of a work item.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// expect sets the behaviour of the work items of a job, or of a step.
func (j *judge) expect(name string, b behaviour) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[name] = b
}

// all returns the records of the first work items of all jobs.
func (j *judge) all() []taskRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	var l []taskRecord
	for id := range j.jobs {
		l = append(l, *j.task(id + ".0.0.0"))
	}
	return l
}

// behaviourOf returns the behaviour of a work item; ok is false if no consumer has sent its job.
func (j *judge) behaviourOf(task string) (behaviour, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if b, ok := j.jobs[stepOf(task)]; ok {
		return b, true
	}
	id, _, _ := strings.Cut(task, ".")
	b, ok := j.jobs[id]
	return b, ok
}

// task returns the record of a work item. The caller holds the lock.
func (j *judge) task(name string) *taskRecord {
	t := j.tasks[name]
	if t == nil {
		t = &taskRecord{running: make(map[string]string), startsAfterFailed: make(map[int]int)}
		j.tasks[name] = t
	}
	return t
}

// breakRule notes a broken rule.
func (j *judge) breakRule(format string, a ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breakLocked(format, a...)
}

func (j *judge) breakLocked(format string, a ...any) {
	t := fmt.Sprintf(format, a...)
	j.broken = append(j.broken, t)
	j.rec.printf("RULE BROKEN: %s", t)
}

// refuse counts a refused start, and returns how many there were of the work item.
func (j *judge) refuse(task string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.task(task)
	t.refused++
	return t.refused
}

// begin notes that a work item begins on an executor, and judges TWICE.
func (j *judge) begin(executor, service, task string, run int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.task(task)
	t.runs++
	t.startsAfterFailed[t.failed]++
	for e, s := range t.running {
		j.breakLocked("TWICE: %s runs on %s (service %s) and begins on %s (service %s)", task, e, s, executor, service)
	}
	if t.done {
		j.breakLocked("TWICE: %s begins on %s (service %s) after a run has ended done, which was taken note of", task, executor, service)
	}
	t.running[executor] = service
	t.lastAt = time.Now()
}

// end notes how a run ended.
func (j *judge) end(executor, task string, run int64, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.task(task)
	delete(t.running, executor)
	t.lastAt = time.Now()
	switch how {
	case "failed":
		t.failed++
	case "done":
		t.ended = true
	}
}

// acked notes that the system has taken note of an end.
func (j *judge) acked(executor string, e ended) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.task(e.task)
	switch e.how {
	case "done":
		t.done = true
	case "failed":
		t.failedAcked++
	}
}

// get returns a copy of the record of a work item.
func (j *judge) get(task string) taskRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := *j.task(task)
	m := make(map[string]string)
	for k, v := range t.running {
		m[k] = v
	}
	t.running = m
	return t
}
