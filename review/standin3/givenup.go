package main

import (
	"fmt"
	"time"
)

func init() { cases["givenup"] = givenUp }

// crashAfter is the time between the begin of a run and the crash of its executor.
const crashAfter = 1200 * time.Millisecond

// givenUp has the executor of a work item crash twice, each time soon after the work item has started.
func givenUp(s *site, trouble bool) string {
	s.begin(7, 3)
	id := "1f6bd0a7c25e9384"
	task := id + ".0.0.0"
	s.work[task] = work{takes: 2500 * time.Millisecond}
	s.submit(id, `{"spec":"boot check","phases":[{"count":1,"cpu":900,"memMb":1300,"estimateMs":2500}]}`)
	if trouble {
		s.crashUnder(task, 2)
	}
	time.Sleep(6 * time.Second)
	n := 0
	for _, r := range s.runsOf(task) {
		if r.how == "failed" {
			n++
		}
	}
	if v := s.state(prefix + id); v == "failed" && n < s.attempts {
		return fmt.Sprintf("LOST: job %s is shown as failed, though nobody cancelled it and %d of its runs ended failed; maxAttempts is %d", id, n, s.attempts)
	}
	return ""
}

// crashUnder has the executor of each run of a task crash, a number of times, and start again at once under its id.
func (s *site) crashUnder(task string, times int) {
	for range times {
		r, ok := s.awaitRun(task, 20*time.Second)
		if !ok {
			s.log("%s has no run for 20 s", task)
			return
		}
		time.Sleep(crashAfter)
		e := s.executor(r.executor)
		e.crash()
		time.Sleep(500 * time.Millisecond)
		e.start()
	}
}
