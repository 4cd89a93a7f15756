package scheduler

import (
	"time"

	"fescuelanding/entry/admission"
	"fescuelanding/platform"
)

// contest divides the pool's room between workspaces and refused callers.
type contest struct {
	shares admission.Shares
	places admission.Places
}

// shareBetween applies the configured workspaces.
func (s *Scheduler) shareBetween(now time.Time, l []platform.Workspace) {
	var out []admission.Workspace
	for _, w := range l {
		out = append(out, admission.Workspace{Name: w.Name, Weight: w.Weight})
	}
	s.contest.shares.Configure(now, out)
}

// contending reports whether jobs differ in standing.
func (s *Scheduler) contending() bool { return s.contest.shares.Active() || s.set.AcceptLate }

// addContender adds the waiting work of a job to the backlog by standing and workspace.
func (s *Scheduler) addContender(b *backlog, j *job, waiting float64) {
	if waiting > 0 && s.contending() {
		b.contenders.Add(j.standing(), s.contest.shares.Label(j.def.GetWorkspace()), waiting)
	}
}

// standing returns the job's standing among those that wait for room. A job that was accepted
// to be on time keeps its standing.
func (j *job) standing() admission.Standing { return admission.StandingOf(j.surplus, j.deferred) }

// givesWay reports whether the job only takes room that others leave.
func (j *job) givesWay() bool { return j.surplus || j.deferred }

// waitOf predicts how long a new job waits for room at a standing.
func (s *Scheduler) waitOf(now time.Time, j *job, b backlog, v admission.Standing) (time.Duration, bool) {
	if !s.contending() {
		return s.waitBehind(now, j, s.withoutExcess(now, b, j.objective), v)
	}
	excess := b.waiting - s.withoutExcess(now, b, j.objective).waiting
	ahead := s.contest.shares.Ahead(now, &b.contenders, v, j.def.GetWorkspace(), s.jobWork(j), b.capacity)
	b.waiting = max(0, ahead-excess)
	if v == admission.Entitled {
		b.starts -= b.yieldingStarts
	}
	return s.waitBehind(now, j, b, v)
}

// waitBehind predicts how long a new job waits for room behind a backlog. Room is kept for
// refused callers with a better claim whose time to return has come.
func (s *Scheduler) waitBehind(now time.Time, j *job, b backlog, v admission.Standing) (time.Duration, bool) {
	w := s.jobWork(j)
	b = b.after(s.journal.wait(now))
	d, known := b.wait(now, w+s.contest.places.Kept(now, caller(j, v, w)), s.arrivals)
	return max(d, s.flow.wait(now, b.starts), s.limitWait(now, j, b)), known
}

func caller(j *job, v admission.Standing, work float64) admission.Caller {
	return admission.Caller{Job: j.def.GetId(), First: j.arrived, Standing: v, Work: work}
}

// acceptLate decides whether to accept a job that will be late, and returns its wait: if it
// runs at once in room that is left over, and with Settings.AcceptLate also if it waits behind
// all that can be on time, as its caller would otherwise return for the same room.
func (s *Scheduler) acceptLate(now time.Time, j *job, b backlog, late, chain time.Duration) (time.Duration, bool) {
	v := admission.StandingOf(j.surplus, true)
	if wait, known := s.waitBehind(now, j, s.withoutExcess(now, b, j.objective), v); known && wait == 0 {
		return 0, late+chain <= _maxLateness*j.objective
	}
	wait, known := s.waitOf(now, j, b, v)
	return wait, known && s.set.AcceptLate && !j.surplus && late+wait+chain <= _maxLateness*j.objective
}

// returnTime tells a refused caller when to come back: at his place among the refused, once
// a wait is over. Callers who were refused together return at as much work per second as the
// pool completes. Where nobody contends each is told his time alone.
func (s *Scheduler) returnTime(now time.Time, j *job, wait, alone time.Duration) time.Duration {
	if !s.contending() {
		return alone
	}
	onTime := now.Add(wait + s.criticalPath(j)).Before(j.arrived.Add(j.objective))
	c := caller(j, admission.StandingOf(j.surplus, !onTime), s.jobWork(j))
	return min(s.contest.places.Assign(now, c, wait, s.recentBacklog(now).capacity), _maxRetryAfter)
}

// takeTurns orders waiting occurrences that differ at most in their deadlines so that
// workspaces start work by weight.
func (s *Scheduler) takeTurns(all []ranked) {
	if !s.contest.shares.Active() {
		return
	}
	for len(all) > 0 {
		n := 1
		for n < len(all) && all[n].rank.sameButDue(all[0].rank) {
			n++
		}
		if n > 1 && !all[0].rank.longRunning {
			s.takeTurnsIn(all[:n])
		}
		all = all[n:]
	}
}

func (s *Scheduler) takeTurnsIn(l []ranked) {
	waiting := make([]admission.Candidate, len(l))
	for i, r := range l {
		waiting[i] = admission.Candidate{Workspace: r.occ.job.def.GetWorkspace(), Work: s.readyWork(r.occ)}
	}
	former := append([]ranked(nil), l...)
	for i, k := range s.contest.shares.Order(waiting) {
		l[i] = former[k]
	}
}

// sameButDue reports whether two ranks differ at most in the deadline.
func (a rank) sameButDue(b rank) bool {
	b.due = a.due
	return a == b
}

// readyWork returns the work of the tasks of an occurrence that could be placed now.
func (s *Scheduler) readyWork(o *occurrence) float64 {
	w := 0.0
	for _, st := range o.steps {
		if st.waiting() && !st.def.GetFills() {
			w += float64(st.left-st.running) * s.taskWork(st)
		}
	}
	return w
}

// taskWork returns what a task of a step takes of the pool: of the resource that it takes most
// of, as CPU.
func (s *Scheduler) taskWork(st *step) float64 {
	cpu := max(float64(st.def.GetMilliCpu()), float64(st.def.GetMemoryMb())*s.summed.cpuPerMB)
	return cpu * s.expectedDuration(st).Seconds()
}

// chargeStart charges the start of a task to its workspace.
func (s *Scheduler) chargeStart(st *step) {
	if s.contest.shares.Active() && !st.def.GetLongRunning() && !st.def.GetFills() {
		s.contest.shares.Start(st.occurrence.job.def.GetWorkspace(), s.taskWork(st))
	}
}

// count counts a decision on a job.
func (s *Scheduler) count(j *job, what string) {
	s.emit(Count{Queue: j.queue.Name, Workspace: s.contest.shares.Label(j.def.GetWorkspace()), What: what})
}

func acceptedAs(j *job) string {
	switch {
	case j.surplus:
		return "acceptedSurplus"
	case j.deferred:
		return "acceptedLate"
	}
	return "accepted"
}

func endedAs(now time.Time, j *job) string {
	switch took := now.Sub(j.arrived); {
	case j.cancelled:
		return "cancelled"
	case j.failed:
		return "failed"
	case took <= j.objective || j.longRunning() || j.recurring():
		return "onTime"
	case took <= _maxLateness*j.objective:
		return "late"
	}
	return "tooLate"
}
