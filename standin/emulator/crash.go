package emulator

import (
	"math/rand/v2"
	"time"
)

const (
	// _crashingJobs means that one job in so many has a task that crashes its upstreams.
	_crashingJobs = 6
	// _promptCrashes of ten such tasks crash an upstream within _promptCrash of their start,
	// the others at some time of their run.
	_promptCrashes = 7
	_promptCrash   = 30 * time.Millisecond
	// _minCrashTime and _maxCrashTime bound how long a crashed upstream is down.
	_minCrashTime, _maxCrashTime = 2 * time.Second, 4 * time.Second
	// _crashBudget is the number of upstreams that a task may crash before its further
	// starts are limited, and _crashStarts the limit: one start fewer.
	_crashBudget, _crashStarts = 3, 3
)

// crashes draws which tasks crash their upstreams. It is drawn apart from the rest, so that a
// seed gives the same jobs and faults with and without them.
type crashes struct{ rand *rand.Rand }

// crashing is a task of a job that crashes each upstream that starts it, some time after the
// start.
type crashing struct {
	step, index int
	after       time.Duration
}

// planCrash draws whether a job has a task that crashes its upstreams, and when it does.
func (w *World) planCrash(j *jobRecord) {
	if w.crashes == nil {
		return
	}
	r := w.crashes.rand
	if r.IntN(_crashingJobs) > 0 {
		return
	}
	c := &crashing{step: r.IntN(len(j.def.GetSteps())), after: time.Duration(r.Int64N(int64(_promptCrash)))}
	d := j.def.GetSteps()[c.step]
	c.index = r.IntN(int(d.GetCount()))
	if r.IntN(10) >= _promptCrashes {
		c.after = time.Duration(r.Int64N(d.GetEstimateMs())) * time.Millisecond
	}
	j.crashing = c
}

// crashes reports whether the task crashes its upstreams.
func (t *taskRecord) crashes() bool {
	c := t.job.crashing
	return c != nil && c.step == t.name.Step && c.index == t.name.Index
}

// crashLater crashes an upstream because of a run.
func (u *upstream) crashLater(r *run) {
	w := u.world
	w.after(r.record.task.job.crashing.after, func() {
		if u.runs[r.task] == r && !r.stopping {
			r.record.crashedUpstream = true
			x := w.crashes.rand
			w.crash(u, _minCrashTime+time.Duration(x.Int64N(int64(_maxCrashTime-_minCrashTime))), x.IntN(2) == 0)
		}
	})
}

// crashed counts the upstreams that a task has crashed.
func (t *taskRecord) crashed() int {
	n := 0
	for _, r := range t.runs {
		if r.crashedUpstream {
			n++
		}
	}
	return n
}

// checkCrashes checks that a task that has crashed its upstreams isn't started without end.
func (l *ledger) checkCrashes(t *taskRecord) {
	crashed, later := 0, 0
	for _, r := range t.runs {
		if crashed >= _crashBudget && !r.late {
			later++
		}
		if r.crashedUpstream {
			crashed++
		}
	}
	if later >= _crashStarts {
		l.addViolation("BUDGET", "%s was started %d times more after %d upstreams had crashed under it", t.name, later, _crashBudget)
	}
}

// mayBeGivenUp reports whether some task of the job has crashed two upstreams.
func (l *ledger) mayBeGivenUp(j *jobRecord) bool {
	for _, n := range sortedKeys(l.tasks) {
		if t := l.tasks[n]; t.job == j && t.crashed() >= 2 {
			return true
		}
	}
	return false
}
