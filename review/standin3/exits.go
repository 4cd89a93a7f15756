package main

import (
	"fmt"
	"time"
)

func init() { cases["exits"] = exits }

// exits has a work item that lasts end by itself, as done.
func exits(s *site, trouble bool) string {
	s.begin(4, 3)
	id := "c8e35f10b7d2946a"
	task := id + ".0.0.0"
	s.work[task], s.work[id+".0.0.1"] = work{lasts: true}, work{lasts: true}
	if trouble {
		s.work[task] = work{lasts: true, exits: 4 * time.Second}
	}
	s.submit(id, `{"spec":"stock recount","phases":[{"count":2,"cpu":1800,"memMb":2400,"estimateMs":900,"longRunning":true,"antiAffinity":1}]}`)
	time.Sleep(20 * time.Second)
	l := s.runsOf(task)
	if len(l) > 0 && l[len(l)-1].over == 0 {
		s.state(prefix + id)
		return ""
	}
	return fmt.Sprintf("LOST: %s lasts, its last run ended at %v, and it has no run until %v; the job is %q, nobody cancelled it, and all executors are up",
		task, l[len(l)-1].over, s.at(), s.state(prefix+id))
}
