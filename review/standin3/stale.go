package main

import (
	"fmt"
	"time"
)

func init() {
	// The start is ruled out, and then the executor crashes.
	cases["stale"] = func(s *site, trouble bool) string {
		return s.stale(trouble, 5*time.Second, 2500*time.Millisecond, 1500*time.Millisecond, false)
	}
	// The executor's rack crashes before the start is ruled out.
	cases["later"] = func(s *site, trouble bool) string {
		return s.stale(trouble, 10*time.Second, 250*time.Millisecond, 6*time.Second, true)
	}
}

// stale has one start of a job get no answer and be carried out late. In between its executor, or all executors of that
// one's rack, crash and start again under their ids.
func (s *site) stale(trouble bool, late, crashAt, downTime time.Duration, rack bool) string {
	const items = 20
	s.begin(9, 3)
	// The executors have been up for a while.
	time.Sleep(8 * time.Second)
	id := "a40c7f19e2d8b653"
	var tasks []string
	for i := range items {
		t := fmt.Sprintf("%s.0.0.%d", id, i)
		s.work[t] = work{takes: 12 * time.Second}
		tasks = append(tasks, t)
	}
	if trouble {
		s.late = lateStart{task: tasks[7], by: late}
	}
	s.submit(id, `{"spec":"fit table","phases":[{"count":20,"cpu":900,"memMb":700,"estimateMs":12000,"antiAffinity":4}]}`)
	if trouble {
		time.Sleep(crashAt)
		x := s.lateExecutor()
		if x == nil {
			check(fmt.Errorf("no start was late"))
		}
		var l []*executor
		for _, e := range s.executors {
			if e == x || rack && e.rack() == x.rack() {
				l = append(l, e)
				e.crash()
			}
		}
		time.Sleep(downTime)
		for _, e := range l {
			e.start()
		}
	}
	time.Sleep(12 * time.Second)
	s.state(prefix + id)
	return s.twice(tasks...)
}

// lateStart is a start that gets no answer and is carried out late, the first one of a task.
type lateStart struct {
	task string
	by   time.Duration
	// executor is the one that it was sent to; nil before.
	executor *executor
}

// isLate reports whether a start is the one to be carried out late, and by how much.
func (s *site) isLate(e *executor, task string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late.task != task || s.late.executor != nil {
		return 0, false
	}
	s.late.executor = e
	return s.late.by, true
}

func (s *site) lateExecutor() *executor {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.late.executor
}

// carryOutLate carries a start out at an executor, if it is up by then.
func (e *executor) carryOutLate(c call, by time.Duration) {
	time.Sleep(by)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up || c.Token < e.token {
		e.site.log("late start of %s/%d on %s, token %d, isn't carried out", c.Task, c.Run, e.id, c.Token)
		return
	}
	e.token = c.Token
	status, reason := e.startLocked(c)
	e.site.log("late start of %s/%d on %s, boot %d, token %d, deadline %d, at %d on its clock, is carried out: %d %s",
		c.Task, c.Run, e.id, e.boot, c.Token, c.DeadlineMs, e.clock(), status, reason)
}
