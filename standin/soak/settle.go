package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"fescuelanding/standin/site"
)

// settle waits until all jobs have ended and long-running tasks are at work. The last fault
// ended at the time calm.
func (k *Soak) settle(calm time.Time) {
	k.probe(calm)
	c := k.newCaller(1)
	defer c.close()
	missing := make(map[string]bool)
	for {
		left, inTime := 0, 0
		for _, j := range k.allJobs() {
			if j.longRunning || !j.open() {
				continue
			}
			c.look(j)
			left++
			d := time.Since(calm)
			switch {
			case d <= _finish+j.excess:
				inTime++
			case !missing[j.id]:
				missing[j.id] = true
				k.violate("%s hasn't ended %v after the last fault; %s", j.id, d.Round(time.Millisecond), k.progress(j))
			}
		}
		now := time.Now()
		for _, t := range k.missingTasks(now, calm) {
			if !missing[t] {
				missing[t] = true
				k.violate("%s", t)
			}
		}
		if left == 0 && now.Sub(calm) > _calm+_idle+time.Second {
			return
		}
		if left > 0 && inTime == 0 {
			return
		}
		time.Sleep(_poll)
	}
}

// probe checks that each entry accepts a job.
func (k *Soak) probe(calm time.Time) {
	for i, e := range k.entries {
		c := &caller{soak: k, r: rand.New(rand.NewPCG(k.Seed, uint64(100+i))), open: make(map[*entry]*conn)}
		ok := false
		for !ok && time.Since(calm) < _recovery {
			j, err := k.newJob(c.r, time.Now(), _anyKind)
			if err != nil {
				k.violate("%v", err)
				return
			}
			c.at = e
			ok = c.attempt(j)
			j.mu.Lock()
			j.givenUp = true
			j.mu.Unlock()
		}
		if !ok {
			k.violate("%s accepts no jobs %v after the last fault", e.name, time.Since(calm).Round(time.Millisecond))
		}
		c.close()
	}
}

// missingTasks returns the long-running tasks that should be at work, but aren't.
func (k *Soak) missingTasks(now, calm time.Time) []string {
	var l []string
	for _, j := range k.allJobs() {
		if !j.longRunning || !j.open() {
			continue
		}
		j.mu.Lock()
		since := j.accepted
		j.mu.Unlock()
		seen := k.site.Tasks(now, j.id)
		if len(seen) < j.tasks && overdue(now, calm, since) {
			l = append(l, fmt.Sprintf("%s: %d of %d tasks have never run", j.id, j.tasks-len(seen), j.tasks))
		}
		for _, t := range seen {
			if !t.Running && overdue(now, calm, t.EndedAt) {
				l = append(l, t.Name+" isn't at work, though the last fault is long past")
			}
		}
	}
	return l
}

// overdue reports whether a long-running task that has been missing since a time must be at
// work again.
func overdue(now, calm, since time.Time) bool {
	if t := calm.Add(_calm); since.Before(t) {
		return now.Sub(t) > _idle && now.Sub(since) > _restart
	}
	return now.Sub(since) > _restart
}

// checkJobs checks that refused jobs didn't run and that cancelled ones have stopped.
func (k *Soak) checkJobs() {
	now := time.Now()
	for _, j := range k.allJobs() {
		seen := k.site.Tasks(now, j.id)
		if j.refused() && len(seen) > 0 {
			k.violate("%s was refused and has run; %s", j.id, k.progress(j))
		}
		if j.cancelled.IsZero() {
			continue
		}
		for _, t := range seen {
			if t.StartedAt.After(j.cancelled.Add(_cancelTime)) && !t.Late && !k.cutOff(t.StartedBy, t.StartedAt) {
				k.violate("%s started %v after the job was cancelled", t.Name, t.StartedAt.Sub(j.cancelled).Round(time.Millisecond))
			}
			if t.Running && now.After(j.cancelled.Add(_stopped)) {
				k.violate("%s runs %v after the job was cancelled", t.Name, now.Sub(j.cancelled).Round(time.Millisecond))
			}
		}
	}
}

// cutOff reports whether an entry isn't in touch at a time because a split cuts it off from the
// store. It may start tasks of a job then of whose end it hasn't heard.
func (k *Soak) cutOff(name string, at time.Time) bool {
	e := k.entry(name)
	return k.Splits && e != nil && e.cutWithin(at.Add(-_contact), at)
}

// progress describes the tasks of a job that have started.
func (k *Soak) progress(j *job) string {
	var l []string
	for _, t := range k.site.Tasks(time.Now(), j.id) {
		l = append(l, describe(t))
	}
	return fmt.Sprintf("%d of %d tasks have started: %s", len(l), j.tasks, strings.Join(l, ", "))
}

func describe(t site.Task) string {
	return fmt.Sprintf("%s %d runs, done %v, running %v", t.Name, t.Runs, t.Done, t.Running)
}
