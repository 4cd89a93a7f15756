package scheduler

import (
	"slices"
	"time"

	"fescuelanding/entry/admission"
	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

const (
	// _minRetryAfter and _maxRetryAfter bound the retry delay that a refused
	// caller is given.
	_minRetryAfter = time.Second
	_maxRetryAfter = 8 * time.Second
)

// decision is the result of admission control for a submitted job.
type decision struct {
	outcome link.Outcome
	reason  string
	// predicted is the expected time from now until the job completes.
	predicted time.Duration
	retry     time.Duration
	backlog   backlog
	// deferred is set if the job is accepted although it will be late.
	deferred bool
}

// admit decides whether a job is accepted. A job that would miss its latency
// objective is refused at once: once a queue demands more than the pool can
// serve, accepting late jobs would only delay those behind them.
func (s *Scheduler) admit(now time.Time, j *job) decision {
	if !s.mayOrder(now) {
		r := s.storeRetry(now, j.def.GetId())
		return decision{
			outcome: link.Outcome_OUTCOME_UNAVAILABLE,
			reason:  "ownership unconfirmed by the store", retry: s.returnTime(now, j, r, r),
		}
	}
	if !s.fits(j) {
		return decision{
			outcome: link.Outcome_OUTCOME_OVERLOADED,
			reason:  "a task is larger than any upstream", retry: _maxRetryAfter,
		}
	}
	if s.overLimit(j) {
		return decision{
			outcome: link.Outcome_OUTCOME_OVERLOADED,
			reason:  "a task or gang requests more than its workspace may have running", retry: _maxRetryAfter,
		}
	}
	if j.longRunning() || j.recurring() {
		return decision{outcome: link.Outcome_OUTCOME_OK}
	}
	b := s.recentBacklog(now)
	late, chain := now.Sub(j.arrived), s.criticalPath(j)
	wait, known := s.waitOf(now, j, b, admission.StandingOf(j.surplus, false))
	if !known {
		return decision{outcome: link.Outcome_OUTCOME_OVERLOADED, reason: "pool has no capacity", retry: _minRetryAfter}
	}
	// A retried job is measured from its first attempt.
	p := wait + chain
	if late+p <= j.objective {
		return decision{outcome: link.Outcome_OUTCOME_OK, predicted: p}
	}
	wait, ok := s.acceptLate(now, j, b, late, chain)
	if ok {
		return decision{outcome: link.Outcome_OUTCOME_OK, predicted: wait + chain, deferred: s.contending()}
	}
	d := decision{outcome: link.Outcome_OUTCOME_OVERLOADED, reason: "predicted to miss its latency objective", predicted: p, backlog: b}
	alone := min(max(p-j.objective, _minRetryAfter), _maxRetryAfter)
	d.retry = s.returnTime(now, j, wait, alone)
	if s.contending() && late+d.retry+chain > _maxLateness*j.objective {
		s.contest.places.Leave(j.def.GetId())
		d.reason, d.retry = "can't be served in time", _maxRetryAfter
	}
	return d
}

// _maxLateness is the multiple of its objective that a job may take and still be
// useful to its caller.
const _maxLateness = 3

// fits reports whether every task of a job fits on some upstream, even an empty
// one. It returns true while the capacity of no upstream is known.
func (s *Scheduler) fits(j *job) bool {
	if !slices.ContainsFunc(s.hosts.order, (*host).capacityKnown) {
		return true
	}
	for _, d := range j.def.GetSteps() {
		if !slices.ContainsFunc(s.hosts.order, func(h *host) bool { return h.capacityKnown() && fitsIn(d, h.up.Capacity) }) {
			return false
		}
	}
	return true
}

// capacityKnown reports whether the upstream may be used and its capacity is known. That of
// an upstream which was never listed is unknown.
func (h *host) capacityKnown() bool {
	return !h.gone && (h.listed || h.recordQueued) && h.up.Capacity != (platform.Capacity{})
}

// backlog is the work ahead of a new job.
type backlog struct {
	// capacity is the CPU of the usable upstreams without that of long-running
	// tasks, in millicores.
	capacity float64
	// cpuPerMB is the CPU of these upstreams, in millicores, for each MB of their memory.
	cpuPerMB float64
	// waiting is the work that isn't placed yet, and running the remainder of the
	// work that is, both in millicore-seconds.
	waiting float64
	running float64
	// undurable is the part of waiting that the journal hasn't taken yet.
	undurable float64
	// occupied is the room taken up by the runs on usable upstreams. What runs on others
	// delays no new job.
	occupied occupancy
	// residual is how long a task on a busy pool still runs on average, in seconds.
	residual float64
	// starts is the number of tasks that could be placed now, ready their work, and busy the
	// CPU of the tasks that run, in millicores. Long-running tasks don't count.
	starts int
	// yieldingStarts is the part of starts that gives way to jobs that can be on time.
	yieldingStarts int
	ready, busy    float64
	// contenders is the waiting work by standing and workspace, if there are workspaces.
	contenders admission.Backlog
	// limited is the work of the workspaces that have a limit.
	limited map[string]*limitedWork
}

// wait predicts how long a job with the given work waits before it runs, counting
// announced capacity. It returns false if there is no capacity at all.
func (b *backlog) wait(now time.Time, work float64, arrivals []arrival) (time.Duration, bool) {
	// The longer the wait, the more of the running work is in its way, and the more of
	// that has ended. The shortest wait that is consistent with both is the one predicted.
	for d := time.Duration(0); ; d += _waitStep + d/_waitSteps {
		if w, known := b.waitIf(now, d, work, arrivals); !known || w <= d || d >= _longestWait {
			return w, known
		}
	}
}

const (
	// _waitStep and _waitSteps bound the error of a predicted wait: a step, and one part in
	// so many of the wait. Objectives are far longer than the step.
	_waitStep  = 20 * time.Millisecond
	_waitSteps = 16
	// _longestWait is how far waits are predicted in detail.
	_longestWait = 10 * time.Second
)

// waitIf predicts how long a job waits before it runs, if the runs that end within d are out of
// its way then.
func (b *backlog) waitIf(now time.Time, d time.Duration, work float64, arrivals []arrival) (time.Duration, bool) {
	left := b.waiting + b.occupied.within(d) + work
	room, at := b.capacity, now
	// The work that is normally placed runs in parallel with the new job and doesn't delay
	// it. Where a task runs longer than usual, none is placed.
	left -= max(0, room-b.occupied.after(d+time.Duration(b.residual*float64(time.Second)))) * b.residual
	for _, a := range arrivals {
		d := max(0, a.at.Sub(at))
		if room > 0 && left <= room*d.Seconds() {
			break
		}
		left -= max(0, room) * d.Seconds()
		at = at.Add(d)
		room += a.cpu
		left -= a.cpu * b.residual
	}
	if left <= 0 {
		return at.Sub(now), true
	}
	if room <= 0 {
		return 0, false
	}
	return at.Sub(now) + time.Duration(left/room*float64(time.Second)), true
}

// _backlogAge is how long a crowded pool uses a sum of its backlog: so long for each _manyRuns runs
// and each _manyOccurrences jobs, over which the time to sum it grows. The wait that follows from the
// sum changes by no more than its age.
const (
	_backlogAge    = 10 * time.Millisecond
	_manyRuns      = 500
	_maxBacklogAge = 100 * time.Millisecond
)

// backlogAge returns how long a sum of the backlog is used.
func (s *Scheduler) backlogAge() time.Duration {
	if !s.crowded() {
		return 0
	}
	n := 0
	for _, c := range s.hosts.states {
		n += c
	}
	return min(_backlogAge*time.Duration(1+n/_manyRuns+len(s.active)/_manyOccurrences), _maxBacklogAge)
}

// recentBacklog returns the backlog as of at most backlogAge ago, with the jobs that were
// accepted since.
func (s *Scheduler) recentBacklog(now time.Time) backlog {
	if now.Sub(s.summedAt) >= s.backlogAge() {
		s.summed, s.summedAt = s.backlog(now), now
	}
	return s.summed
}

// backlog sums the work of all accepted jobs.
func (s *Scheduler) backlog(now time.Time) backlog {
	b := backlog{residual: s.learned.residual.seconds()}
	memory := 0.0
	for _, h := range s.hosts.order {
		if h.usableSoon(now) {
			b.capacity += float64(h.up.Capacity.MilliCPU)
			memory += float64(h.up.Capacity.MemoryMB)
		}
	}
	if memory > 0 {
		b.cpuPerMB = b.capacity / memory
	}
	for _, j := range s.active {
		waiting, starts := b.waiting, b.starts
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				s.addStepWork(now, st, &b)
			}
		}
		if len(j.occurrences) == 0 && !j.recurring() && !j.longRunning() {
			b.waiting += s.jobWork(j)
			if !j.durable {
				b.undurable += s.jobWork(j)
			}
		}
		s.addContender(&b, j, b.waiting-waiting)
		if j.givesWay() {
			b.yieldingStarts += b.starts - starts
		}
	}
	b.limited = s.limitedBacklog(now)
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
	if st.waiting() && !s.atLimit(now, st) {
		b.starts += st.left - st.running
		b.ready += float64(st.left-st.running) * cpu * d.Seconds()
	}
	b.busy += float64(st.running) * cpu
	b.waiting += float64(max(0, st.left-st.running)) * cpu * d.Seconds()
	if st.running == 0 {
		return
	}
	for i := range st.tasks {
		for _, r := range st.tasks[i].runs {
			rest := r.rest(now, d)
			b.running += cpu * rest.Seconds()
			if r.host.usableSoon(now) {
				b.occupied.add(cpu, rest)
			}
		}
	}
}

// expectedDuration predicts how long a task of a step runs. Tasks of a step are
// alike, so the others are the best predictor: those that completed and, as the shortest
// complete first, also those that run.
func (s *Scheduler) expectedDuration(st *step) time.Duration {
	sum, n := st.took.mean*float64(st.took.n), st.took.n
	for i := range st.tasks {
		if st.running == 0 {
			break
		}
		for _, r := range st.tasks[i].runs {
			if d, ok := r.whole(); ok {
				sum, n = sum+float64(d)/s.remoteFactor(st, r.host), n+1
			}
		}
	}
	if n > 0 {
		return time.Duration(sum / float64(n))
	}
	return s.learned.duration(st.occurrence.job.def.GetQueue(), st.def)
}

// jobWork returns the work of a job in millicore-seconds.
func (s *Scheduler) jobWork(j *job) float64 {
	w := 0.0
	for _, d := range j.def.GetSteps() {
		if !d.GetLongRunning() && !d.GetFills() {
			w += float64(d.GetMilliCpu()) * float64(d.GetCount()) * s.learned.duration(j.def.GetQueue(), d).Seconds()
		}
	}
	return w
}

// criticalPath returns the predicted duration of a job if all its tasks run as
// soon as their dependencies are done.
func (s *Scheduler) criticalPath(j *job) time.Duration {
	q, steps := j.def.GetQueue(), j.def.GetSteps()
	return longestPath(steps, func(i int) time.Duration {
		return s.waves(j, steps[i]) * s.learned.stepDuration(q, steps[i], s.learned.duration(q, steps[i]))
	})
}

// objective returns the latency objective of a job.
func (s *Scheduler) objective(j *job) time.Duration {
	f := j.queue.Stretch
	if f < 1 {
		f = 1
	}
	return time.Duration(f*float64(s.criticalPath(j))) + j.queue.Target
}
