package scheduler

import (
	"time"

	"fescuelanding/entry/link"
)

const (
	// _minRetry and _maxRetry bound when a refused caller may come back.
	_minRetryAfter = time.Second
	_maxRetryAfter = 8 * time.Second
)

// verdict is a decision on a job that is handed in.
type decision struct {
	outcome link.Outcome
	reason     string
	// predicted is when the job would be done, from now.
	predicted time.Duration
	retry     time.Duration
	backlog   backlog
}

// admit decides whether a job is taken. It is refused at once where it would
// miss its objective: while a queue asks for more than its pool holds, late jobs
// would only make those after them late as well.
func (s *Scheduler) admit(now time.Time, j *job) decision {
	if s.journal.inFlight != nil && now.Sub(s.journal.inFlight.sent) >= _journalTimeout || !s.mayOrder(now) {
		return decision{outcome: link.Outcome_OUTCOME_UNAVAILABLE, reason: "journal unanswered", retry: _storeRetryAfter}
	}
	if !s.fits(j) {
		return decision{outcome: link.Outcome_OUTCOME_OVERLOADED, reason: "no upstream is that large", retry: _maxRetryAfter}
	}
	if j.longRunning() || j.timed() {
		return decision{outcome: link.Outcome_OUTCOME_OK}
	}
	b := s.backlog(now)
	wait, known := b.wait(now, s.jobWork(j), s.arrivals)
	if !known {
		return decision{outcome: link.Outcome_OUTCOME_OVERLOADED, reason: "pool has no room", retry: _minRetryAfter}
	}
	// A caller that was refused before counts from its first attempt.
	late := now.Sub(j.arrived)
	p := wait + s.criticalPath(j)
	if late+p <= j.objective || wait == 0 && late+p <= _maxLateness*j.objective {
		return decision{outcome: link.Outcome_OUTCOME_OK, predicted: p}
	}
	r := min(max(p-j.objective, _minRetryAfter), _maxRetryAfter)
	return decision{outcome: link.Outcome_OUTCOME_OVERLOADED, reason: "late", predicted: p, retry: r, backlog: b}
}

// _lateFactor is how many times its objective a job may take and still be worth
// something.
const _maxLateness = 3

// fits reports whether each task fits some upstream at all. An unknown pool
// gets the benefit of the doubt.
func (s *Scheduler) fits(j *job) bool {
	if len(s.hosts.order) == 0 {
		return true
	}
	for _, d := range j.def.GetSteps() {
		ok := false
		for _, h := range s.hosts.order {
			if h.gone || !h.listed && !h.inRoster {
				continue
			}
			if fitsIn(d, h.up.Capacity) {
				ok = true
				break
			}
		}
		if !ok {
			return false
		}
	}
	return true
}

// backlog is the work ahead of a new job.
type backlog struct {
	// capacity for tasks that end, in thousandths of a core.
	capacity float64
	// work that waits, and the rest of what runs, in thousandths of a core
	// times seconds.
	waiting float64
	running float64
}

// wait predicts how long a job that brings some work waits until it runs, with
// the room that will join. It isn't known where there is no room at all.
func (b backlog) wait(now time.Time, work float64, arrivals []arrival) (time.Duration, bool) {
	left := b.waiting + b.running + work
	room, at := b.capacity, now
	// Work that runs side by side with the new job doesn't hold it up.
	left -= max(0, room) * _workInHand.Seconds()
	for _, a := range arrivals {
		d := max(0, a.at.Sub(at))
		if room > 0 && left <= room*d.Seconds() {
			break
		}
		left -= max(0, room) * d.Seconds()
		at = at.Add(d)
		room += a.cpu
		left -= a.cpu * _workInHand.Seconds()
	}
	if left <= 0 {
		return at.Sub(now), true
	}
	if room <= 0 {
		return 0, false
	}
	return at.Sub(now) + time.Duration(left/room*float64(time.Second)), true
}

// _window is the work, as time of the whole pool, that is always in hand: the
// pool runs about this long on what is placed already.
const _workInHand = 500 * time.Millisecond

// backlog sums up the work of all accepted jobs.
func (s *Scheduler) backlog(now time.Time) backlog {
	var b backlog
	for _, h := range s.hosts.order {
		if h.usableSoon(now) {
			b.capacity += float64(h.up.Capacity.MilliCPU)
		}
	}
	for _, j := range s.active {
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				s.addStepWork(now, st, &b)
			}
		}
		if len(j.occurrences) == 0 && !j.timed() && !j.longRunning() {
			b.waiting += s.jobWork(j)
		}
	}
	return b
}

func (s *Scheduler) addStepWork(now time.Time, st *step, b *backlog) {
	if st.left <= 0 || st.def.GetFills() {
		return
	}
	cpu := float64(st.def.GetMilliCpu())
	if st.def.GetLongRunning() {
		b.capacity -= cpu * float64(st.def.GetCount())
		return
	}
	d := s.expectedDuration(st)
	b.waiting += float64(max(0, st.left-st.running)) * cpu * d.Seconds()
	for i := range st.tasks {
		for _, r := range st.tasks[i].runs {
			b.running += cpu * max(0, d-now.Sub(r.ordered)).Seconds()
		}
	}
}

// expect predicts how long a task of a step runs. Tasks of a step are alike, so
// those that ended tell most.
func (s *Scheduler) expectedDuration(st *step) time.Duration {
	if st.took.n > 0 {
		return time.Duration(st.took.mean)
	}
	return s.learned.duration(st.occurrence.job.def.GetQueue(), st.def)
}

// workOf sums up the work of a job, in thousandths of a core times seconds.
func (s *Scheduler) jobWork(j *job) float64 {
	w := 0.0
	for _, d := range j.def.GetSteps() {
		if !d.GetLongRunning() && !d.GetFills() {
			w += float64(d.GetMilliCpu()) * float64(d.GetCount()) * s.learned.duration(j.def.GetQueue(), d).Seconds()
		}
	}
	return w
}

// chain returns the longest chain of work of a job.
func (s *Scheduler) criticalPath(j *job) time.Duration {
	q, steps := j.def.GetQueue(), j.def.GetSteps()
	return longestPath(steps, func(i int) time.Duration {
		return s.learned.lastTask(q, steps[i], s.learned.duration(q, steps[i]))
	})
}

// objective returns how soon a job should be done.
func (s *Scheduler) objective(j *job) time.Duration {
	f := j.queue.Stretch
	if f < 1 {
		f = 1
	}
	return time.Duration(f*float64(s.criticalPath(j))) + j.queue.Target
}
