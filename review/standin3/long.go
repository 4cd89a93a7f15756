package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["long"] = long }

// long hands in a job whose work items take far longer than its estimate.
func long(s *site, trouble bool) string {
	const (
		finish = 14 * time.Second
		items  = 6
	)
	s.begin(items, 3)
	id := "3d81f0c4a69be752"
	for i := range items {
		k := work{takes: 2 * time.Second}
		if trouble {
			k.takes = 4 * time.Minute
		}
		s.work[fmt.Sprintf("%s.0.0.%d", id, i)] = k
	}
	s.submit(id, `{"spec":"season rebuild","phases":[{"count":6,"cpu":1900,"memMb":2000,"estimateMs":2000,"antiAffinity":1}]}`)
	traffic := s.at()
	time.Sleep(finish + 50*time.Second)
	if s.state(prefix+id) == "completed" {
		return ""
	}
	from, until := s.idle(id, traffic+finish)
	if until-from < 3*time.Second {
		return ""
	}
	n := 0
	for i := range items {
		n += len(s.runsOf(fmt.Sprintf("%s.0.0.%d", id, i)))
	}
	return fmt.Sprintf("LOST: from %v to %v nothing of job %s runs, more than %v after the last job was handed in; it had %d runs, all of which were stopped; all %d executors are up, and nothing else is there",
		from, until, id, finish, n, items)
}

// idle returns the longest time after some moment in which nothing of a job ran.
func (s *site) idle(id string, after time.Duration) (from, until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := s.at()
	since := after
	for t := after; t <= end; t += 10 * time.Millisecond {
		busy := false
		for _, r := range s.runs {
			if strings.HasPrefix(r.task, id+".") && r.began <= t && (r.over == 0 || r.over > t) {
				busy = true
			}
		}
		if busy {
			since = t
		} else if t-since > until-from {
			from, until = since, t
		}
	}
	return from, until
}
