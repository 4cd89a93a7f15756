package scheduler

import (
	"slices"
	"strings"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

// host is the state that the scheduler keeps of an upstream. It covers one
// incarnation of the upstream at a time.
type host struct {
	up     platform.Upstream
	target platform.Target
	rack   string
	// listed is set while the platform's list has the upstream. It was removed
	// from the list at unlistedAt.
	listed     bool
	unlistedAt time.Time
	// ended is set once the incarnation is reported to have ended, and gone if no later one is known then.
	ended, gone bool
	// fenced is set once the upstream has answered a poll with this owner's
	// token, which fences off former owners.
	fenced bool
	// born is when the incarnation began, in Unix milliseconds. It identifies the
	// incarnation, which this owner has known since knownSince.
	born       int64
	knownSince time.Time
	// The upstream's clock had reached at least clockMs at clockReadAt.
	clockMs     int64
	clockReadAt time.Time
	// It was at most ceilingMs at ceilingAt.
	ceilingMs int64
	ceilingAt time.Time
	// pollClockMs is the upstream's clock as of the newest poll.
	pollClockMs int64
	// deadlineMs is the latest lease deadline that may have reached the upstream.
	deadlineMs int64
	// leaseSentAt is when a call that grants a lease was decided on last.
	leaseSentAt time.Time

	// polling is set while a poll is unanswered, and concurrentPoll while a second
	// one is. The second doesn't wait for a run to end, as the first may do.
	polling        bool
	concurrentPoll bool
	// promptPoll is set if the last poll that wasn't concurrent doesn't wait for a run to end.
	promptPoll bool
	// polledAt is when the last poll was sent.
	polledAt time.Time
	// pollDue is the earliest time of the next poll.
	pollDue        time.Time
	lastAnsweredAt time.Time
	// failedPolls counts consecutive failed polls. It is also raised to one if too
	// many starts had no answer, or if the list shows a new incarnation: no tasks
	// are placed on the upstream until it has answered a poll.
	failedPolls int
	// unansweredStarts counts consecutive starts without an answer.
	unansweredStarts int
	// followedSince is when an answer or the list showed that the known incarnation has a
	// successor, until that has answered a poll; zero otherwise.
	followedSince time.Time

	// An upstream numbers the ends of its runs from one. seenEnd is the highest
	// number that was handled, durableEnd the highest that was appended.
	seenEnd, durableEnd int64
	// lastResult is the highest number of an end that changes the progress of a
	// job: done or failed.
	lastResult int64

	used platform.Capacity
	runs []*run
	// tried counts the runs that started on trial, whether or not they are settled.
	tried int
	// expired are the runs whose leases lapsed last while the upstream was unreachable. It may
	// prove to have crashed.
	expired []*run
	// states counts the runs by their state, total those of all upstreams.
	states [_runStates]int
	total  *[_runStates]int
	// awaitingSince is when the upstream last answered a start, or the first of the starts
	// without an answer was sent.
	awaitingSince time.Time
	// unknownRuns counts runs of jobs that this owner doesn't have. How much room
	// they take is unknown until they have been stopped.
	unknownRuns int

	// drainedUntil is set if the planner has requested the upstream to be vacated.
	// No tasks are placed before it.
	drainedUntil time.Time
	// reclaimable is set while tasks that have no other room may be placed before drainedUntil: the
	// planner orders the host only once it has been reported vacant, which reportedVacant notes.
	reclaimable, reportedVacant bool
	// waveDue is set if the host will be taken down for a wave.
	waveDue bool
	// slowed is the percentage by which best-effort tasks are slowed, since
	// pacedAt.
	slowed  int
	pacedAt time.Time
	health  health
	// hints holds what the policy of each queue has said last about the upstream.
	hints map[string]bool
	// recordQueued is set once the record that the upstream is in use is queued
	// for the journal, and recordDurable once it has been appended. From then on a
	// later owner polls the upstream before it places inherited jobs.
	recordQueued  bool
	recordDurable bool

	// agenda has the upstream's next due time, due, at dueIndex of its heap; that is zero
	// if it is never due. touched is set while due may be out of date.
	agenda   *agenda
	due      time.Time
	dueIndex int
	touched  bool
	// dropped is set once the upstream is no longer in the hostSet.
	dropped bool
}

// touch marks the upstream's due time as out of date.
func (h *host) touch() { h.agenda.touch(h) }

// hostSet holds upstreams by ID, and in the order of their IDs.
type hostSet struct {
	byID   map[string]*host
	order  []*host
	agenda agenda
	// states counts the runs of all upstreams by their state.
	states [_runStates]int
}

// get returns an upstream, or nil. The caller may change it.
func (s *hostSet) get(id string) *host {
	h := s.byID[id]
	if h != nil {
		h.touch()
	}
	return h
}

// all returns a copy of the upstreams, so that they may be dropped during
// iteration.
func (s *hostSet) all() []*host { return slices.Clone(s.order) }

func (s *hostSet) add(h *host) {
	if s.byID == nil {
		s.byID = make(map[string]*host)
	}
	s.byID[h.up.ID] = h
	h.agenda, h.total = &s.agenda, &s.states
	h.touch()
	i, _ := slices.BinarySearchFunc(s.order, h, func(a, b *host) int { return strings.Compare(a.up.ID, b.up.ID) })
	s.order = slices.Insert(s.order, i, h)
}

func (s *hostSet) drop(id string) {
	if h := s.byID[id]; h != nil {
		h.dropped = true
		s.agenda.remove(h)
	}
	delete(s.byID, id)
	s.order = slices.DeleteFunc(s.order, func(h *host) bool { return h.up.ID == id })
}

func newHost(u platform.Upstream, now time.Time) *host {
	h := &host{pollDue: now, knownSince: now}
	h.update(u, now)
	return h
}

// update applies the upstream's entry in the platform's list.
func (h *host) update(u platform.Upstream, now time.Time) {
	h.listed = true
	if u.StartUnixMs < h.born {
		if h.fenced || h.recordQueued || u.StartUnixMs == 0 {
			return // The list still has the former incarnation, whose clock is unrelated.
		}
		// Nothing but a former report named the later start.
		h.setBorn(now, u.StartUnixMs)
		h.clockMs, h.clockReadAt, h.ceilingAt = 0, time.Time{}, time.Time{}
	}
	h.up = u
	h.target = platform.Target{Address: u.Address, ID: u.ID}
	h.rack = u.Rack()
	if h.born == 0 {
		h.setBorn(now, u.StartUnixMs)
	}
	if u.StartUnixMs > h.born {
		return // The clock is that of an incarnation that wasn't polled yet.
	}
	if u.ClockMs > h.clockNow(now) && !h.tooFarAhead(now, u.ClockMs) {
		h.clockMs, h.clockReadAt = u.ClockMs, now
	}
}

// setBorn sets the start of the incarnation.
func (h *host) setBorn(now time.Time, ms int64) {
	if h.born != ms {
		h.born, h.knownSince, h.ended = ms, now, false
	}
}

// load returns what the planner is told of the upstream.
func (h *host) load(now time.Time) *link.HostLoad {
	return &link.HostLoad{
		Upstream: h.up.ID, Machine: h.up.Machine, Runs: int32(len(h.runs)), Lasting: int32(h.longRunning()),
		StartUnixMs: h.born, KnownMs: now.Sub(h.knownSince).Milliseconds(),
	}
}

// acknowledgeable returns the highest end number that the upstream may discard.
// It is zero while the upstream may have restarted under its ID. The new
// incarnation numbers its ends from one, so an acknowledgement meant for the
// former one would discard ends that this owner hasn't handled yet. Such ends can
// exist if a start had no answer: the new incarnation may have carried it out.
func (h *host) acknowledgeable(now time.Time) int64 {
	if h.followed() || h.failedPolls > 0 || h.unansweredStarts > 0 {
		return 0
	}
	if h.states[runUnconfirmed] > 0 {
		return 0
	}
	for _, r := range h.runs {
		if r.state == runOrdered && !r.held && now.Sub(r.ordered) > _unansweredStartAge {
			return 0
		}
	}
	return h.durableEnd
}

// _unansweredStartAge is the shortest age at which the run of an unanswered start
// may already have ended.
const _unansweredStartAge = 50 * time.Millisecond

// _unlistedGrace is how long an upstream stays in use after its entry has
// disappeared from the list, once it has answered a poll since. Entries that lapsed in an
// outage of the store are back by then.
const _unlistedGrace = 2500 * time.Millisecond

// usable reports whether tasks may be placed on the upstream.
func (h *host) usable(now time.Time) bool { return h.inService(now) && !now.Before(h.drainedUntil) }

// reclaims reports whether tasks that have no other room may be placed on the upstream, which the
// planner has requested to be vacated.
func (h *host) reclaims(now time.Time) bool {
	return h.inService(now) && now.Before(h.drainedUntil) && h.reclaimable
}

// inService reports whether the upstream could run tasks, whether or not it is being vacated.
func (h *host) inService(now time.Time) bool {
	known := h.listed || now.Sub(h.unlistedAt) < _unlistedGrace && h.lastAnsweredAt.After(h.unlistedAt)
	return known && !h.gone && h.fenced && h.recordDurable && h.unknownRuns == 0 && !h.up.Draining && h.failedPolls == 0 &&
		!h.followed() && !now.Before(h.health.ejectedUntil)
}

// usableSoon reports whether tasks may be placed on the upstream now, or as soon
// as a new owner has polled it and appended its record.
func (h *host) usableSoon(now time.Time) bool {
	return h.usable(now) || h.listed && !h.gone && !h.up.Draining && h.failedPolls == 0 && (!h.fenced || !h.recordDurable)
}

// unblockedSince reports whether the upstream's ejection or draining has ended after a
// time. The scheduler isn't woken for that if another event comes first.
func (h *host) unblockedSince(t, now time.Time) bool {
	ended := func(until time.Time) bool { return until.After(t) && !until.After(now) }
	return ended(h.health.ejectedUntil) || ended(h.drainedUntil)
}

// unresponsive reports whether starts have been without an answer for longer than an answer
// takes. Further ones would only wait behind them.
func (h *host) unresponsive(now time.Time, usual time.Duration) bool {
	return h.states[runOrdered] > 0 && now.Sub(h.awaitingSince) > _startPatience+usual &&
		slices.ContainsFunc(h.runs, func(r *run) bool { return r.state == runOrdered && !r.held })
}

// _startPatience is how long an upstream may leave a start without an answer before it gets
// no further ones.
const _startPatience = 150 * time.Millisecond

func (h *host) free() platform.Capacity {
	c := h.up.Capacity
	return platform.Capacity{
		MilliCPU: c.MilliCPU - h.used.MilliCPU,
		MemoryMB: c.MemoryMB - h.used.MemoryMB,
		GPUs:     c.GPUs - h.used.GPUs,
	}
}

// roomBesideLongRunning returns the capacity that long-running runs leave.
func (h *host) roomBesideLongRunning() platform.Capacity {
	c := h.up.Capacity
	for _, r := range h.runs {
		if d := r.task.step.def; d.GetLongRunning() {
			c.MilliCPU -= r.task.step.cpuRequest()
			c.MemoryMB -= d.GetMemoryMb()
			c.GPUs -= d.GetGpus()
		}
	}
	return c
}

func (h *host) add(r *run) {
	h.touch()
	h.runs = append(h.runs, r)
	r.host = h
	h.count(r.state, 1)
	if r.trial > 0 {
		h.tried++
	}
	h.charge(r.task.step, 1)
}

func (h *host) remove(r *run) {
	i := slices.Index(h.runs, r)
	if i < 0 {
		return
	}
	h.touch()
	h.runs = slices.Delete(h.runs, i, i+1)
	h.count(r.state, -1)
	if r.trial > 0 {
		h.tried--
	}
	h.charge(r.task.step, -1)
}

// count adds to the number of runs in a state.
func (h *host) count(v runState, n int) {
	h.states[v] += n
	h.total[v] += n
}

// cloneRuns returns a copy of the runs, so that they may end during iteration.
func (h *host) cloneRuns() []*run { return slices.Clone(h.runs) }

// charge adds the request of a task of a step to the used capacity, or subtracts
// it if the sign is -1. Best-effort tasks use only CPU left over by others, so
// their CPU isn't counted.
func (h *host) charge(s *step, sign int64) {
	if !s.def.GetFills() {
		h.used.MilliCPU += sign * s.def.GetMilliCpu()
	}
	h.used.MemoryMB += sign * s.def.GetMemoryMb()
	h.used.GPUs += sign * s.def.GetGpus()
}

func (h *host) hasLabel(label string) bool {
	return label == "" || slices.Contains(h.up.Labels, label)
}

// findRun returns the run of a task by its name and number, or nil.
func (h *host) findRun(task string, n int64) *run {
	for _, r := range h.runs {
		if r.number == n && r.task.name == task {
			return r
		}
	}
	return nil
}

// longRunning counts the long-running runs on the upstream.
func (h *host) longRunning() int {
	n := 0
	for _, r := range h.runs {
		if r.task.step.def.GetLongRunning() {
			n++
		}
	}
	return n
}

// pace returns the speed limit of best-effort tasks, in percent.
func (h *host) pace() int { return 100 - h.slowed }

// countStep counts the runs of a step on the upstream.
func (h *host) countStep(s *step) int {
	n := 0
	for _, r := range h.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}
