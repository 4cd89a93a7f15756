package site

import (
	"fmt"
	"slices"
	"strings"

	"fescuelanding/platform"
)

// taskLedger is what the site knows of a task, as its job was handed in.
type taskLedger struct {
	name      platform.TaskName
	behaviour Behaviour
	size      platform.Capacity
	lasts     bool
	policy    bool
	// open are runs that are running now.
	open []string
	// begun and done count the runs.
	begun, done int
}

// begin notes a run and reports whether it is to fail.
func (d *taskLedger) begin(u *Upstream, run int64) bool {
	u.site.mu.Lock()
	defer u.site.mu.Unlock()
	d.begun++
	name := fmt.Sprintf("%s/%d", d.name, run)
	if len(d.open) > 0 {
		u.site.wrong = append(u.site.wrong, fmt.Sprintf("%s runs beside %s", name, d.open[0]))
	}
	if d.done > 0 {
		u.site.wrong = append(u.site.wrong, fmt.Sprintf("%s started after the task was done", name))
	}
	d.open = append(d.open, name)
	return d.begun <= d.behaviour.Fails
}

// task returns the ledger of a task, by its name.
func (s *Site) task(name string) *taskLedger {
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
	if j == nil || n.Step >= len(j.Steps) {
		return nil
	}
	p := j.Steps[n.Step]
	d := &taskLedger{
		name: n, behaviour: j.behaviour, lasts: p.GetLongRunning(), policy: j.policy,
		size: platform.Capacity{MilliCPU: p.GetMilliCpu(), MemoryMB: p.GetMemoryMb()},
	}
	s.tasks[name] = d
	return d
}

// finish notes the end of a run.
func (s *Site) finish(task string, run int64, how platform.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.tasks[task]
	if d == nil {
		return
	}
	name := fmt.Sprintf("%s/%d", task, run)
	d.open = slices.DeleteFunc(d.open, func(x string) bool { return x == name })
	if how == platform.EndDone {
		d.done++
	}
}

// judge tells how often the tasks of a job were done, and what was wrong.
func (s *Site) judge(job string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	done, open := 0, 0
	for _, d := range s.tasks {
		if d.name.Job == job {
			done += d.done
			open += len(d.open)
		}
	}
	t := fmt.Sprintf("%d tasks done, %d running", done, open)
	if len(s.wrong) > 0 {
		t += "; wrong: " + strings.Join(s.wrong, "; ")
	}
	return t
}
