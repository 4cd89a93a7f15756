package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["dropped"] = dropped }

// dropped drops the route of a job, one of whose work items always fails, and then stops the entries in turn and starts
// them again.
func dropped(s *site, trouble bool) string {
	s.begin(4, 3)
	id := "b2e4710d9c58a63f"
	task := id + ".0.0.0"
	s.work[task] = work{takes: 1500 * time.Millisecond, fails: true}
	s.submit(id, `{"spec":"deposit release","phases":[{"count":1,"cpu":900,"memMb":1300,"estimateMs":1500}]}`)
	if trouble {
		if _, ok := s.awaitRun(task, 5*time.Second); !ok {
			check(fmt.Errorf("the job doesn't begin"))
		}
		s.configure(false)
		time.Sleep(300 * time.Millisecond)
		s.roll()
	}
	time.Sleep(25 * time.Second)
	n := 0
	for _, r := range s.runsOf(task) {
		if n >= s.attempts {
			return fmt.Sprintf("BUDGET: run %d of %s begins at %v on %s after %d runs have ended failed; maxAttempts is %d, and it has had %d runs",
				r.number, task, r.began, r.executor, n, s.attempts, len(s.runsOf(task)))
		}
		if r.how == "failed" && r.noted > 0 {
			n++
		}
	}
	s.state(otherPrefix + id)
	return ""
}

// roll stops the owner of the pool with SIGTERM, and starts it again.
func (s *site) roll() {
	e := s.owner()
	s.signal(e, syscall.SIGTERM)
	select {
	case <-e.done:
	case <-time.After(6 * time.Second):
		_ = e.process.Process.Kill()
		<-e.done
	}
	s.log("entry %s has ended", e.name)
	s.launch(e)
}
