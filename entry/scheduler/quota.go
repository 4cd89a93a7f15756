package scheduler

import (
	"math"
	"slices"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/entry/quota"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// workspaces applies the limits of workspaces in this pool.
type workspaces struct {
	quota.Holder
	// unpolled is the number of upstreams of former owners for which the runs that may be
	// there were summed. It is -1 if they have to be summed again.
	unpolled int
	// loggedAt is when it was last logged that a workspace is held back.
	loggedAt map[string]time.Time
}

func newWorkspaces(token int64) workspaces {
	return workspaces{Holder: quota.NewHolder(token), unpolled: -1, loggedAt: make(map[string]time.Time)}
}

// workspace returns the workspace that a step counts for.
func (s *step) workspace() string { return s.occurrence.job.def.GetWorkspace() }

// requested returns what a task of a step requests. Unlike on an upstream, the CPU of
// best-effort tasks counts.
func requested(d *work.Step) quota.Amount {
	return quota.Amount{MilliCPU: d.GetMilliCpu(), MemoryMB: d.GetMemoryMb(), GPUs: d.GetGpus()}
}

// unit returns the least that a step starts at a time: a task, or all of a gang.
func unit(d *work.Step) quota.Amount {
	if d.GetGang() {
		return quota.Scale(requested(d), int64(d.GetCount()))
	}
	return requested(d)
}

// countRun counts a run that may be running, or one that has ended if n is -1.
func (s *Scheduler) countRun(r *run, n int64) {
	if w := r.task.step.workspace(); w != "" {
		s.workspaces.Count(w, requested(r.task.step.def), n)
	}
}

// configureWorkspaces replaces the workspaces.
func (s *Scheduler) configureWorkspaces(l []platform.Workspace) {
	s.workspaces.Configure(l)
	s.workspaces.unpolled = -1
}

// sumUnknownRuns sums what former owners may have running on upstreams that haven't answered
// a poll: at most a run of each task that isn't known to run or to have ended, and no more
// than these upstreams have room for.
func (s *Scheduler) sumUnknownRuns(now time.Time) {
	n := len(s.unpolled)
	if n == s.workspaces.unpolled {
		return
	}
	s.workspaces.unpolled = n
	if n == 0 {
		s.workspaces.SetUnknown(nil)
		return
	}
	var room quota.Amount
	for id := range s.unpolled {
		h := s.hosts.byID[id]
		if h == nil || !h.capacityKnown() || h.up.Capacity == (platform.Capacity{}) {
			room = quota.Amount{MilliCPU: quota.Unlimited, MemoryMB: quota.Unlimited, GPUs: quota.Unlimited}
			break
		}
		room = quota.Sum(room, h.up.Capacity)
	}
	tasks, bestEffort := make(map[string]quota.Amount), make(map[string]quota.Amount)
	for _, j := range slices.Concat(s.active, s.past) {
		w := j.def.GetWorkspace()
		if !j.inherited || j.completed || w == "" {
			continue
		}
		for i, d := range j.def.GetSteps() {
			a := quota.Scale(requested(d), j.mayRun(now, i))
			if d.GetFills() {
				// Their CPU isn't bounded by the room of upstreams.
				bestEffort[w] = quota.Sum(bestEffort[w], quota.Amount{MilliCPU: a.MilliCPU})
				a.MilliCPU = 0
			}
			tasks[w] = quota.Sum(tasks[w], a)
		}
	}
	for w, a := range tasks {
		tasks[w] = quota.Sum(quota.Smaller(a, room), bestEffort[w])
	}
	s.workspaces.SetUnknown(tasks)
}

// mayRun returns how many tasks of a step may be running without being known to, in all
// occurrences that are due.
func (j *job) mayRun(now time.Time, i int) int64 {
	d, n := j.def.GetSteps()[i], 0
	copies := 1
	if d.GetSpeculative() {
		copies = 2
	}
	for k := 0; k < j.times() && !now.Before(j.due(k)); k++ {
		if k >= len(j.occurrences) {
			n += copies * int(d.GetCount())
			continue
		}
		for _, t := range j.occurrences[k].steps[i].tasks {
			m := copies - len(t.runs)
			if t.done {
				m--
			}
			n += max(0, m)
		}
	}
	return int64(n)
}

// applyShares applies the shares that the planner has sent with its plan.
func (s *Scheduler) applyShares(now time.Time, e LoadRequested) {
	if e.SharesOwner == 0 {
		return
	}
	s.workspaces.Apply(now, quota.DecodeGrant(e.SharesOwner, e.SharesReport, e.Shares))
	s.replan = true
}

// reportUsage adds to the pool's load what each workspace uses.
func (s *Scheduler) reportUsage(now time.Time, l *link.PoolLoad) {
	s.sumUnknownRuns(now)
	waiting := s.waitingUse(now)
	r := s.workspaces.Report(now)
	for w, u := range waiting {
		u.Running = r.Use[w].Running
		r.Use[w] = u
	}
	r.Encode(l)
}

// waitingUse returns what the waiting tasks of each workspace with a limit request, as far
// as the upstreams have room. A pool that is full would keep a share from the others.
func (s *Scheduler) waitingUse(now time.Time) map[string]quota.Use {
	use := make(map[string]quota.Use)
	for _, j := range s.active {
		w := j.def.GetWorkspace()
		if !s.workspaces.Limited(w) || !j.durable || j.inherited && len(s.unpolled) > 0 {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if !st.waiting() || st.def.GetGang() && st.running > 0 || s.neverFits(st.def, w) {
					continue
				}
				u := use[w]
				u.Waiting = quota.Sum(u.Waiting, quota.Scale(requested(st.def), int64(st.left-st.running)))
				u.Unit = quota.Larger(u.Unit, unit(st.def))
				use[w] = u
			}
		}
	}
	for w, u := range use {
		fit := int64(1) // One more starts as soon as another ends.
		for _, h := range s.hosts.order {
			if h.usable(now) {
				n, _ := quota.Times(h.free(), u.Unit)
				fit += n
			}
		}
		u.Waiting = quota.Smaller(u.Waiting, quota.Scale(u.Unit, fit))
		use[w] = u
	}
	return use
}

// _heldLogInterval is the time between two log lines about a workspace that is held back.
const _heldLogInterval = 2 * time.Second

// withinLimit reports whether the workspace's share has room for the next start of a step.
// Once tasks have waited for _reserveAfter, smaller ones that rank behind them don't take
// the share.
func (p *pass) withinLimit(st *step) bool {
	w := st.workspace()
	if !p.s.workspaces.Limited(w) || st.def.GetGang() && st.running > 0 {
		return true
	}
	if p.held[w] {
		return false
	}
	a := unit(st.def)
	if p.s.workspaces.Allows(p.now, w, a) {
		return true
	}
	waited := p.now.Sub(st.waitingSince)
	if waited >= _reserveAfter && !p.s.neverFits(st.def, w) {
		if p.held == nil {
			p.held = make(map[string]bool)
		}
		p.held[w] = true
	}
	if p.now.Sub(p.s.workspaces.loggedAt[w]) >= _heldLogInterval {
		p.s.workspaces.loggedAt[w] = p.now
		p.s.logNote("Workspace is held back by its limit.", st.occurrence.job.def.GetId(), "workspace", w, "step", st.name,
			"request", a, "running", p.s.workspaces.Running(w), "share", p.s.workspaces.Share(p.now, w).Amount,
			"limit", p.s.workspaces.Limit(w), "waitedMs", waited.Milliseconds())
	}
	return false
}

// atLimit reports whether the workspace's share has no room for the next start of a step.
func (s *Scheduler) atLimit(now time.Time, st *step) bool {
	return !s.workspaces.Allows(now, st.workspace(), unit(st.def))
}

// overLimit reports whether a task of a job, or a gang, requests more than its workspace
// may have running, so that it could never start.
func (s *Scheduler) overLimit(j *job) bool {
	return slices.ContainsFunc(j.def.GetSteps(), func(d *work.Step) bool { return s.neverFits(d, j.def.GetWorkspace()) })
}

// neverFits reports whether a task of a step, or a gang, requests more than a workspace may
// have running. A job may have been accepted under a higher limit.
func (s *Scheduler) neverFits(d *work.Step, workspace string) bool {
	n, limited := quota.Times(s.workspaces.Limit(workspace), unit(d))
	return limited && n == 0
}

// waves returns in how many waves the workspace's limit lets the tasks of a step run.
func (s *Scheduler) waves(j *job, d *work.Step) time.Duration {
	n, ok := quota.Times(s.workspaces.Limit(j.def.GetWorkspace()), requested(d))
	if !ok || n <= 0 || d.GetLongRunning() {
		return 1
	}
	return time.Duration(max(1, (int64(d.GetCount())+n-1)/n))
}

// limitedWork is the unfinished work of a workspace, as its CPU, memory and GPUs times
// seconds.
type limitedWork [3]float64

// add adds the work of n tasks of a step.
func (v *limitedWork) add(d *work.Step, n, seconds float64) {
	v[0] += n * seconds * float64(d.GetMilliCpu())
	v[1] += n * seconds * float64(d.GetMemoryMb())
	v[2] += n * seconds * float64(d.GetGpus())
}

// addJob adds the whole work of a job.
func (s *Scheduler) addJob(v *limitedWork, j *job) {
	for _, d := range j.def.GetSteps() {
		if !d.GetLongRunning() {
			v.add(d, float64(d.GetCount()), s.learned.duration(j.def.GetQueue(), d).Seconds())
		}
	}
}

// limitedBacklog returns the unfinished work of each workspace with a limit, and nil if
// there is none. Long-running tasks have no end; they reduce what the workspace can reach.
func (s *Scheduler) limitedBacklog(now time.Time) map[string]*limitedWork {
	var m map[string]*limitedWork
	for _, j := range s.active {
		w := j.def.GetWorkspace()
		if !s.workspaces.Limited(w) {
			continue
		}
		if m == nil {
			m = make(map[string]*limitedWork)
		}
		if m[w] == nil {
			m[w] = &limitedWork{}
		}
		if len(j.occurrences) == 0 && !j.recurring() {
			s.addJob(m[w], j)
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				s.addLimitedStep(now, st, m[w])
			}
		}
	}
	return m
}

func (s *Scheduler) addLimitedStep(now time.Time, st *step, v *limitedWork) {
	if st.def.GetLongRunning() || st.left <= 0 {
		return
	}
	d := s.expectedDuration(st)
	v.add(st.def, float64(max(0, st.left-st.running)), d.Seconds())
	for i := range st.tasks {
		for _, r := range st.tasks[i].runs {
			v.add(st.def, 1, max(0, d-now.Sub(r.ordered)).Seconds())
		}
	}
}

// reach returns what tasks of a workspace that end can have running in this pool. Before
// the planner has said so, that is the limit.
func (s *Scheduler) reach(now time.Time, workspace string) [3]float64 {
	a := s.workspaces.Share(now, workspace).Reach
	if a == (quota.Amount{}) {
		a = s.workspaces.Limit(workspace)
	}
	for _, j := range s.active {
		if j.def.GetWorkspace() != workspace || !j.longRunning() {
			continue
		}
		for _, d := range j.def.GetSteps() {
			if d.GetLongRunning() {
				a = quota.Less(a, quota.Scale(requested(d), int64(d.GetCount())))
			}
		}
	}
	return [3]float64{float64(a.MilliCPU), float64(a.MemoryMB), float64(a.GPUs)}
}

// limitWait predicts how long a job waits for the work of its own workspace.
func (s *Scheduler) limitWait(now time.Time, j *job, b backlog) time.Duration {
	w := j.def.GetWorkspace()
	if !s.workspaces.Limited(w) {
		return 0
	}
	var own, ahead limitedWork
	s.addJob(&own, j)
	if v := b.limited[w]; v != nil {
		ahead = *v
	}
	wait, r := 0.0, s.reach(now, w)
	for i := range ahead {
		switch {
		case own[i] <= 0:
		case r[i] <= 0:
			return _maxLimitWait
		default:
			wait = max(wait, ahead[i]/r[i]-b.residual)
		}
	}
	return min(time.Duration(wait*float64(time.Second)), _maxLimitWait)
}

// _maxLimitWait bounds the predicted wait for a workspace's limit. No objective is longer.
const _maxLimitWait = time.Hour

// withoutExcess returns a backlog without the work that the limits of its workspaces keep
// from running within some time. It can't delay others in that time.
func (s *Scheduler) withoutExcess(now time.Time, b backlog, within time.Duration) backlog {
	for w, v := range b.limited {
		if x := v[0] - math.Max(0, s.reach(now, w)[0])*within.Seconds(); x > 0 {
			b.waiting = math.Max(0, b.waiting-x)
		}
	}
	return b
}
