package site

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"fescuelanding/platform"
)

// taskLedger is what the site knows of a task, as its job was handed in.
type taskLedger struct {
	name      platform.TaskName
	behaviour Behaviour
	size      platform.Capacity
	lasts     bool
	// gang is how many tasks the gang has; zero for none.
	gang   int
	policy bool
	// open are runs that are running now.
	open []string
	// begun and done count the runs.
	begun, done int
}

// gang is one run of a gang.
type gang struct {
	members int
	// began is when the last member came.
	began atomic.Pointer[time.Time]
}

// join counts a member of a gang; the last has all work, and end, together.
func (s *Site) join(d *taskLedger, run int64, r *running) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := fmt.Sprintf("%s.%d.%d/%d", d.name.Job, d.name.Occurrence, d.name.Step, run)
	g := s.gangs[k]
	if g == nil {
		g = &gang{}
		s.gangs[k] = g
	}
	r.gang = g
	g.members++
	if g.members < d.gang {
		return
	}
	now := time.Now()
	g.began.Store(&now)
	for _, u := range s.upstreams {
		time.AfterFunc(r.lasts, u.stir)
	}
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
	if p.GetGang() {
		d.gang = int(p.GetCount())
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
