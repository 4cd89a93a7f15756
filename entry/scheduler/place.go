package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// startOccurrences creates the occurrences of accepted jobs that are due, so that
// their tasks are placed.
func (s *Scheduler) startOccurrences(now time.Time) {
	s.upcoming = slices.DeleteFunc(s.upcoming, func(j *job) bool {
		if j.over() {
			return true
		}
		for k := len(j.occurrences); k < j.times() && !now.Before(j.due(k)); k++ {
			j.ensureOccurrence(k)
			s.replan = true
		}
		return len(j.occurrences) >= j.times()
	})
}

// rank orders jobs. Long-running jobs come first, because they must run however
// full the pool is. Jobs that can complete on time come before those that would be
// late even if they ran at once, so that the late jobs don't delay the others. The
// next criteria are priority and deadline. Jobs that exceed their workspace's
// entitlement come after all others. Among jobs that differ in their deadlines only,
// workspaces take turns (takeTurns).
type rank struct {
	longRunning bool
	surplus     bool
	late        bool
	priority    int
	due         time.Time
}

func (s *Scheduler) rank(now time.Time, o *occurrence) rank {
	j := o.job
	due := o.due.Add(j.objective)
	late := j.deferred || now.Add(s.remaining(o)).After(due)
	return rank{j.longRunning(), j.surplus, late, j.queue.Priority, due}
}

// remaining predicts how long an occurrence takes if all its tasks run at once.
func (s *Scheduler) remaining(o *occurrence) time.Duration {
	q, n := o.job.def.GetQueue(), min(len(o.steps), _maxPathSteps)
	return longestPath(o.job.def.GetSteps()[:n], func(i int) time.Duration {
		if o.steps[i].left <= 0 {
			return 0
		}
		return s.learned.stepDuration(q, o.steps[i].def, s.expectedDuration(o.steps[i]))
	})
}

// longestPath returns the duration of the longest path through the steps'
// dependencies, given the duration of each step. Long-running steps count as
// zero.
func longestPath(steps []*work.Step, takes func(i int) time.Duration) time.Duration {
	var few [_maxPathSteps]time.Duration
	end := few[:]
	if len(steps) > len(few) {
		end = make([]time.Duration, len(steps))
	}
	longest := time.Duration(0)
	for i, d := range steps {
		for _, a := range d.GetAfter() {
			end[i] = max(end[i], end[a])
		}
		if !d.GetLongRunning() {
			end[i] += takes(i)
		}
		longest = max(longest, end[i])
	}
	return longest
}

// _maxPathSteps is the number of steps from which the remaining duration of an
// occurrence is predicted. Further steps are ignored.
const _maxPathSteps = 16

func (a rank) compare(b rank) int {
	if a.longRunning != b.longRunning {
		return signOf(b.longRunning)
	}
	if a.surplus != b.surplus {
		return signOf(a.surplus)
	}
	if a.late != b.late {
		return signOf(a.late)
	}
	if c := cmp.Compare(a.priority, b.priority); c != 0 {
		return c
	}
	return a.due.Compare(b.due)
}

// signOf returns the result of a comparison: 1 if a comes after b, and -1 if it
// comes before b.
func signOf(after bool) int {
	if after {
		return 1
	}
	return -1
}

type ranked struct {
	rank rank
	occ  *occurrence
}

// place runs one round of placement over the waiting tasks.
func (s *Scheduler) place(now time.Time) {
	s.placedAt, s.suspectWaits = now, false
	p := &pass{s: s, now: now, reserved: make(map[*host]bool)}
	all := p.waiting()
	if len(all) == 0 {
		return
	}
	p.hosts = make([]*host, 0, len(s.hosts.order))
	for _, h := range s.hosts.order {
		switch {
		case h.unresponsive(now, s.flow.delay):
		case h.usable(now):
			p.hosts = append(p.hosts, h)
			if h.onTrial() {
				p.trials++
			}
		case h.reclaims(now):
			p.drained = append(p.drained, h)
		}
	}
	if len(p.hosts)+len(p.drained) == 0 {
		return
	}
	p.findOpen(all)
	slices.SortStableFunc(all, func(a, b ranked) int { return a.rank.compare(b.rank) })
	s.takeTurns(all)
	for _, r := range all {
		for _, st := range r.occ.openSteps() {
			if !st.unplaced() {
				continue
			}
			if !p.windowOpen() {
				return
			}
			p.placeStep(st)
			s.logStarts(now, st)
		}
	}
}

// windowOpen reports whether another start may be sent.
func (p *pass) windowOpen() bool {
	return p.s.flow.open(p.now, p.s.hosts.states[runOrdered]-len(p.s.held))
}

// waiting returns the occurrences with tasks to be placed. Jobs of a former owner
// are left out until all of that owner's upstreams have answered a poll or their
// leases have lapsed, because the tasks may still be running there.
func (p *pass) waiting() []ranked {
	var all []ranked
	p.s.visited = 0
	for _, j := range p.s.active {
		if !p.s.mayPlace(j) {
			continue
		}
		for _, o := range j.occurrences {
			if len(o.openSteps()) > 0 {
				p.s.visited++
			}
			if o.waiting() {
				all = append(all, ranked{p.s.rank(p.now, o), o})
			}
		}
	}
	return all
}

// mayPlace reports whether the tasks of a job may be placed, as far as upstreams of a former owner don't hold them up.
func (s *Scheduler) mayPlace(j *job) bool { return j.durable && (!j.inherited || len(s.unpolled) == 0) }

// tasksWait reports whether any task waits to be placed.
func (s *Scheduler) tasksWait() bool {
	return slices.ContainsFunc(s.active, func(j *job) bool {
		return s.mayPlace(j) && slices.ContainsFunc(j.occurrences, (*occurrence).waiting)
	})
}

// crowded reports whether so many jobs, or occurrences of them, haven't ended that rounds of
// placement are rate-limited. Each round visits all of them.
func (s *Scheduler) crowded() bool { return max(len(s.active), s.visited) > _crowdedJobs }

const (
	// _crowdedJobs is the number of jobs above which the pool is crowded. A round
	// visits that many within a fraction of a millisecond.
	_crowdedJobs = 60
	// _crowdedPlaceInterval is the time between two rounds while the pool is
	// crowded: short compared with the run time of a task. It is multiplied by the
	// number of times that more than _manyOccurrences are visited in a round.
	_crowdedPlaceInterval = 5 * time.Millisecond
	_manyOccurrences      = 500
)

// pass is one round of placement.
type pass struct {
	s   *Scheduler
	now time.Time
	// hosts are the usable upstreams, and open those of them without a trial and with enough
	// free CPU for the smallest waiting task. least is that task's CPU request in
	// millicores.
	hosts []*host
	open  []*host
	least int64
	// drained are the upstreams that are being vacated, but take tasks that have no other room.
	drained []*host
	// allFull is set if no upstream has room for any waiting task, or is being vacated.
	allFull bool
	// trials counts the upstreams with a run on trial, or reserved for one.
	trials int
	// reservedTrials counts those of reserved that are for a trial.
	reservedTrials int
	// reserved are the upstreams kept free for tasks that have waited for at least
	// _reserveAfter, or that are long-running.
	reserved map[*host]bool
	// held are the workspaces of which no further tasks start, because one has waited long
	// for room in the share.
	held map[string]bool
	// last is the upstream that pick chose last, for a task of the step lastStep.
	last     *host
	lastStep *step
}

// findOpen sets the upstreams with enough free CPU.
func (p *pass) findOpen(all []ranked) {
	p.least = math.MaxInt64
	for _, r := range all {
		for _, st := range r.occ.openSteps() {
			if st.unplaced() {
				p.least = min(p.least, st.cpuRequest())
			}
		}
	}
	for _, h := range p.hosts {
		if h.free().MilliCPU >= p.least && !h.onTrial() {
			p.open = append(p.open, h)
		}
	}
	p.allFull = len(p.open)+len(p.drained) == 0
}

// start starts a task on an upstream, and removes the upstream from the open ones
// if it is full then, or the run is on trial.
func (p *pass) start(t *task, h *host) {
	d := p.trial(t)
	if d > 0 {
		p.trials++
	}
	p.s.start(p.now, t, h, d)
	p.closeIfFull(h)
}

func (p *pass) closeIfFull(h *host) {
	if h.free().MilliCPU >= p.least && !h.onTrial() {
		return
	}
	if i := slices.Index(p.open, h); i >= 0 {
		p.open = slices.Delete(p.open, i, i+1)
	}
}

const (
	// _reserveAfter is the waiting time after which an upstream is reserved for a
	// task. Without that, smaller tasks could take up the room of a large one
	// forever.
	_reserveAfter = 300 * time.Millisecond
	// _maxReserved is how many upstreams may be reserved at once.
	_maxReserved = 2
)

// placeStep places the waiting tasks of a step.
func (p *pass) placeStep(st *step) {
	if st.waitingSince.IsZero() {
		st.waitingSince = p.now
		for i := range st.tasks {
			st.tasks[i].waitingSince = p.now
		}
	}
	if !p.withinLimit(st) {
		return
	}
	if st.def.GetGang() {
		p.placeGang(st)
		return
	}
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.done || len(t.runs) > 0 || t.crashes.givenUp {
			continue
		}
		if p.now.Before(t.restartAt) {
			p.s.placeAt.add(t.restartAt)
			continue
		}
		if !p.windowOpen() || !p.withinLimit(st) {
			return
		}
		if h := p.pick(t, ""); h != nil {
			p.start(t, h)
			continue
		}
		if h := p.reclaim(t); h != nil {
			p.start(t, h)
			t.runs[len(t.runs)-1].reclaimed = true
			p.s.logNote("Task is placed on an upstream that is being vacated, because no other has room.",
				st.occurrence.job.def.GetId(), "task", t.name, "upstream", h.up.ID, "waitedMs", p.now.Sub(t.waitingSince).Milliseconds())
			continue
		}
		p.requestAdvice(t)
		// For a long-running task an upstream is reserved without waiting.
		early := p.now.Sub(t.waitingSince) < _reserveAfter && !st.def.GetLongRunning()
		if p.trial(t) > 0 {
			p.s.suspectWaits = true
			if !early && p.mayTry() && p.reserve(t) {
				p.trials++
				p.reservedTrials++
			}
			continue // The other tasks of the step may have room.
		}
		if early || st.occurrence.job.givesWay() || len(p.reserved)-p.reservedTrials >= _maxReserved || !p.reserve(t) {
			return // The other tasks of the step are as large, so they don't fit either.
		}
	}
}

// pick returns the best upstream for a task, or nil. A non-empty rack restricts
// the choice.
func (p *pass) pick(t *task, rack string) *host {
	if rack == "" && p.lastStillBest(t) {
		return p.last
	}
	h := p.pickFrom(p.open, t, rack)
	p.last, p.lastStep = h, t.step
	if !p.plain(t) {
		p.last = nil
	}
	return h
}

// plain reports whether the cost of an upstream is the same for a task as for all others of its step, and
// falls with each of them that starts there.
func (p *pass) plain(t *task) bool {
	d := t.step.def
	return t.avoid == "" && !d.GetLongRunning() && !d.GetFills() && p.trial(t) == 0
}

// lastStillBest reports whether the upstream chosen last is also the best one for a task. The tasks of
// a step are alike, and each that starts there lowers the cost of the next.
func (p *pass) lastStillBest(t *task) bool {
	h := p.last
	return h != nil && p.lastStep == t.step && p.plain(t) && !p.reserved[h] && !h.onTrial() &&
		p.allowed(t, h) && fitsIn(t.step.def, h.free())
}

// _reclaimAfter is how long a task waits for room before it is placed on an upstream that is being
// vacated. It leaves the time until a long-running task has to be at work again to the start.
const _reclaimAfter = 1500 * time.Millisecond

// reclaim returns an upstream that is being vacated, for a task that has no room elsewhere, or nil. Only
// a long-running task gets one while others are full; the rest wait for room, unless no other upstream
// could ever have it.
func (p *pass) reclaim(t *task) *host {
	if len(p.drained) == 0 || !t.step.def.GetLongRunning() && p.mayFit(t) {
		return nil
	}
	if at := t.waitingSince.Add(_reclaimAfter); p.now.Before(at) {
		p.s.placeAt.add(at)
		return nil
	}
	return p.pickFrom(p.drained, t, "")
}

// mayFit reports whether an upstream that isn't being vacated has room for a task beside long-running
// ones.
func (p *pass) mayFit(t *task) bool {
	return slices.ContainsFunc(p.hosts, func(h *host) bool {
		return p.suits(t, h) && !t.step.isDenied(h) && fitsIn(t.step.def, h.roomBesideLongRunning())
	})
}

// pickFrom returns the best of some upstreams for a task, or nil. A non-empty rack restricts the choice.
func (p *pass) pickFrom(hosts []*host, t *task, rack string) *host {
	var best *host
	var low float64
	d := p.trial(t)
	if d > 0 && !p.mayTry() {
		return nil
	}
	for _, h := range hosts {
		f := h.free()
		// Nothing lowers the cost below the share of the CPU that stays free.
		if best != nil && freeShare(t, h, f) >= low || !fitsIn(t.step.def, f) {
			continue
		}
		if p.reserved[h] || rack != "" && h.rack != rack || !p.allowed(t, h) || !p.admits(t, h, d) {
			continue
		}
		c := p.cost(t, h)
		if d > 0 {
			c += t.trialCost(h)
		}
		if best == nil || c < low {
			best, low = h, c
		}
	}
	return best
}

// allowed reports whether a task may start on an upstream, regardless of room.
func (p *pass) allowed(t *task, h *host) bool {
	return p.suits(t, h) && t.step.hasTicket(p.now, h)
}

// suits reports whether a task may run on an upstream, regardless of room and of the queue's policy.
func (p *pass) suits(t *task, h *host) bool {
	st := t.step
	if !h.hasLabel(st.def.GetRequires()) {
		return false
	}
	if n := int(st.def.GetAntiAffinity()); n > 0 && h.countStep(st) >= n {
		return false
	}
	// After an ejection an upstream gets one task at a time until a run succeeds.
	// Long-running tasks aren't counted, because they never complete and so never
	// show that the upstream is healthy.
	return h.health.ejections == 0 || h.health.streak == 0 || len(h.runs) == h.longRunning()
}

// fitsIn reports whether a task of a step fits into a capacity.
func fitsIn(d *work.Step, c platform.Capacity) bool {
	return (d.GetFills() || c.MilliCPU >= d.GetMilliCpu()) &&
		c.MemoryMB >= d.GetMemoryMb() && c.GPUs >= d.GetGpus()
}

// reserve keeps the upstream with the most room free for a task. It returns false
// if there is none.
func (p *pass) reserve(t *task) bool {
	var best *host
	for _, h := range p.hosts {
		if p.reserved[h] || !p.suits(t, h) || !t.step.isPermitted(h) || !fitsIn(t.step.def, h.up.Capacity) {
			continue
		}
		if best == nil || h.free().MilliCPU > best.free().MilliCPU {
			best = h
		}
	}
	if best == nil {
		return false
	}
	p.reserved[best] = true
	return true
}

// remoteFactor returns how many times longer a task takes on an upstream than
// near its data.
func (s *Scheduler) remoteFactor(st *step, h *host) float64 {
	if st.def.GetAffinity() == "" || h.rack == st.def.GetAffinity() || s.set.RemoteFactor < 1 {
		return 1
	}
	return s.set.RemoteFactor
}
