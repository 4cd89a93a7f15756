package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["frozen"] = frozen }

// rounds is how often the owner is frozen at most.
const rounds = 5

// frozen freezes the owner of a pool, up to some times.
func frozen(s *site, trouble bool) string {
	s.begin(3, 3)
	for n := range rounds {
		if broken := s.freezeOwner(fmt.Sprintf("5c0e7a21d94b36f%d", n), trouble); broken != "" {
			return broken
		}
	}
	return ""
}

// freezeOwner freezes the owner of a pool for 3.5 s while it waits for the end of a work item. The next owner carries
// the job on. Just before the freeze ends, the executors, which stand in one rack, have crashed and started again under
// their ids.
func (s *site) freezeOwner(id string, trouble bool) string {
	const (
		freeze   = 3500 * time.Millisecond
		downTime = 700 * time.Millisecond
		// lead is how long the executors have been back when the freeze ends.
		lead = 25 * time.Millisecond
	)
	s.work[id+".0.0.0"] = work{takes: 1200 * time.Millisecond}
	s.work[id+".0.1.0"] = work{takes: 300 * time.Millisecond}
	s.work[id+".0.1.1"] = work{takes: 2500 * time.Millisecond}
	s.submit(id, `{"spec":"kit hold","phases":[{"count":1,"cpu":1000,"memMb":256,"estimateMs":1200},{"count":2,"cpu":1000,"memMb":256,"estimateMs":1200,"after":[0]}]}`)
	if _, ok := s.awaitRun(id+".0.0.0", 5*time.Second); !ok {
		check(fmt.Errorf("the first step doesn't begin"))
	}
	time.Sleep(700 * time.Millisecond)
	if trouble {
		a := s.owner()
		at := time.Now()
		s.signal(a, syscall.SIGSTOP)
		time.Sleep(time.Until(at.Add(freeze - lead - downTime)))
		for _, e := range s.executors {
			e.crash()
		}
		time.Sleep(time.Until(at.Add(freeze - lead)))
		for _, e := range s.executors {
			e.start()
		}
		time.Sleep(time.Until(at.Add(freeze)))
		s.signal(a, syscall.SIGCONT)
	}
	time.Sleep(5 * time.Second)
	s.state(prefix + id)
	return s.twice(id+".0.0.0", id+".0.1.0", id+".0.1.1")
}

// twice returns how a task broke TWICE: two runs at the same time on executors that are up, or a start after a run
// has ended done whose end was taken note of.
func (s *site) twice(tasks ...string) string {
	for _, t := range tasks {
		l := s.runsOf(t)
		for i, a := range l {
			for _, b := range l[i+1:] {
				if a.how == "done" && a.noted > 0 && b.began > a.over {
					return fmt.Sprintf("TWICE: run %d of %s begins at %v on %s with token %d, though run %d had ended done at %v, which was taken note of at %v",
						b.number, t, b.began, b.executor, b.token, a.number, a.over, a.noted)
				}
				if b.began < a.over || a.over == 0 {
					return fmt.Sprintf("TWICE: run %d of %s begins at %v on %s with token %d, though run %d goes on on %s with token %d",
						b.number, t, b.began, b.executor, b.token, a.number, a.executor, a.token)
				}
			}
		}
	}
	return ""
}
