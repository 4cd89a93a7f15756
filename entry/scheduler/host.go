package scheduler

import (
	"slices"
	"strings"
	"time"

	"fescuelanding/platform"
)

// host is the life of an upstream, as far as its owner knows it.
type host struct {
	up     platform.Upstream
	target platform.Target
	rack   string
	// listed is false once the platform's list doesn't have it, since
	// unlistedAt.
	listed     bool
	unlistedAt time.Time
	// gone is set when its life is over.
	gone bool
	// fenced is set when a look with this owner's token was answered, so that
	// former owners are shut out.
	fenced bool
	born   int64
	// The upstream's clock was at least clockMs at clockAt.
	clockMs int64
	clockReadAt time.Time
	// lookClockMs is the upstream's clock as of the newest look.
	pollClockMs int64
	// deadlineMs is the latest lease that may have reached it.
	deadlineMs int64

	polling  bool
	pollingAgain  bool
	pollDue  time.Time
	lastSeen time.Time
	failed   int
	// unanswered counts the starts in a row that had no answer.
	unanswered int
	// anew is set when an answer shows that the life known here is over, until the
	// new one has been heard.
	restartSuspected bool

	// seen is the highest end that was taken in, durable the highest that was
	// appended.
	seenEnd, durableEnd int64
	// telling is the highest end that says how far a job is: done or failed.
	lastResult int64

	used platform.Capacity
	runs []*run
	// states counts the runs by how far they are.
	states [_runStates]int
	// strangers are runs of jobs that nobody knows: what they take can't be told,
	// until they have been stopped.
	unknownRuns int

	vacatedUntil time.Time
	// due is set where the host will be taken down for a wave.
	waveDue bool
	// slowed is by how many percent fillers are slowed, since pacedAt.
	slowed  int
	pacedAt time.Time
	health  health
	// inRoster is set when it is being appended to the upstreams in use, and
	// enrolled once it has been: a later owner then waits to hear it.
	inRoster bool
	enrolled bool
}

// hostSet holds upstreams by their IDs, and in that order.
type hostSet struct {
	byID  map[string]*host
	order []*host
}

func (s *hostSet) get(id string) *host { return s.byID[id] }

// all returns the upstreams; they may be dropped while they are gone through.
func (s *hostSet) all() []*host { return slices.Clone(s.order) }

func (s *hostSet) add(h *host) {
	if s.byID == nil {
		s.byID = make(map[string]*host)
	}
	s.byID[h.up.ID] = h
	i, _ := slices.BinarySearchFunc(s.order, h, func(a, b *host) int { return strings.Compare(a.up.ID, b.up.ID) })
	s.order = slices.Insert(s.order, i, h)
}

func (s *hostSet) drop(id string) {
	delete(s.byID, id)
	s.order = slices.DeleteFunc(s.order, func(h *host) bool { return h.up.ID == id })
}

func newHost(u platform.Upstream, now time.Time) *host {
	h := &host{pollDue: now}
	h.update(u, now)
	return h
}

// list takes in an entry of the platform's list.
func (h *host) update(u platform.Upstream, now time.Time) {
	h.listed = true
	if u.Born < h.born {
		return // The list still has the former life, whose clock was another.
	}
	h.up = u
	h.target = platform.Target{Address: u.Address, ID: u.ID}
	h.rack = u.Rack()
	if h.born == 0 {
		h.born = u.Born
	}
	if u.Born > h.born {
		return // Its clock is that of a life that wasn't heard yet.
	}
	if u.ClockMs > h.clockNow(now) {
		h.clockMs, h.clockReadAt = u.ClockMs, now
	}
}

// clockNow returns a time that the upstream's clock has surely reached.
func (h *host) clockNow(now time.Time) int64 {
	if h.clockReadAt.IsZero() {
		return 0
	}
	return h.clockMs + int64(float64(now.Sub(h.clockReadAt).Milliseconds())*_slowestClockRate)
}

// clockAtLeast returns a time that the upstream's clock had surely reached at some
// time, which may be before it was heard last.
func (h *host) clockAtLeast(t time.Time) int64 {
	if h.clockReadAt.IsZero() || !t.Before(h.clockReadAt) {
		return h.clockNow(t)
	}
	return h.clockMs - h.clockReadAt.Sub(t).Milliseconds()
}

// forgettable returns the highest end that the upstream may forget. While it may
// have started anew under its ID, that is none: the new life counts its ends from
// one, and nobody has seen them.
func (h *host) acknowledgeable(now time.Time) int64 {
	if h.restartSuspected || h.failed > 0 || h.unanswered > 0 {
		return 0
	}
	if h.states[runUnknown] > 0 {
		return 0
	}
	for _, r := range h.runs {
		if r.state == runOrdered && now.Sub(r.ordered) > _unansweredStartAge {
			return 0
		}
	}
	return h.durableEnd
}

// _youngOrder is the age up to which a start that has no answer can't have led to
// a run that has ended.
const _unansweredStartAge = 50 * time.Millisecond

// lapsed reports whether every lease that this owner gave is over.
func (h *host) lapsed(now time.Time) bool {
	return h.clockNow(now) >= h.deadlineMs+_leaseLapseMargin.Milliseconds()
}

// lapse returns when lapsed becomes true.
func (h *host) lapseTime() time.Time {
	left := float64(h.deadlineMs + _leaseLapseMargin.Milliseconds() - h.clockMs)
	return h.clockReadAt.Add(time.Duration(left/_slowestClockRate)*time.Millisecond + time.Millisecond)
}

// lease returns the end of a lease that begins now, and remembers it.
func (h *host) extendLease(now time.Time, d time.Duration) int64 {
	h.deadlineMs = max(h.deadlineMs, h.clockNow(now)+d.Milliseconds())
	return h.deadlineMs
}

// _unlisted is how long an upstream that answers stays in use without an entry:
// entries that lapsed in an outage of the store are back by then.
const _unlistedGrace = 2500 * time.Millisecond

// usable reports whether tasks may be placed on it.
func (h *host) usable(now time.Time) bool {
	known := h.listed || now.Sub(h.unlistedAt) < _unlistedGrace && now.Sub(h.lastSeen) < _unlistedGrace
	return known && !h.gone && h.fenced && h.enrolled && h.unknownRuns == 0 && !h.up.Draining && h.failed == 0 &&
		!now.Before(h.health.ejectedUntil) && !now.Before(h.vacatedUntil)
}

// promising reports whether tasks may be placed on it now or very soon: a new
// owner is about to hear the upstreams that are listed.
func (h *host) usableSoon(now time.Time) bool {
	return h.usable(now) || h.listed && !h.gone && !h.up.Draining && h.failed == 0 && (!h.fenced || !h.enrolled)
}

func (h *host) free() platform.Capacity {
	c := h.up.Capacity
	return platform.Capacity{
		MilliCPU: c.MilliCPU - h.used.MilliCPU,
		MemoryMB: c.MemoryMB - h.used.MemoryMB,
		GPUs:     c.GPUs - h.used.GPUs,
	}
}

func (h *host) add(r *run) {
	h.runs = append(h.runs, r)
	h.states[r.state]++
	r.host = h
	h.charge(r.task.step, 1)
}

func (h *host) remove(r *run) {
	i := slices.Index(h.runs, r)
	if i < 0 {
		return
	}
	h.runs = slices.Delete(h.runs, i, i+1)
	h.states[r.state]--
	h.charge(r.task.step, -1)
}

// running returns the runs; they may end while they are gone through.
func (h *host) cloneRuns() []*run { return slices.Clone(h.runs) }

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

// find returns the run of a task by its name and number.
func (h *host) findRun(task string, n int64) *run {
	for _, r := range h.runs {
		if r.number == n && r.task.name == task {
			return r
		}
	}
	return nil
}

// lasting counts the long-running runs here.
func (h *host) longRunning() int {
	n := 0
	for _, r := range h.runs {
		if r.task.step.def.GetLongRunning() {
			n++
		}
	}
	return n
}

// pace returns the percentage at which fillers may work.
func (h *host) pace() int { return 100 - h.slowed }

// ofStep counts the runs of a step here.
func (h *host) countStep(s *step) int {
	n := 0
	for _, r := range h.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

const (
	// _ejectAfter is how many runs in a row must fail here. One failure can be
	// the task's own.
	_ejectAfter = 3
	// _ejection grows with each ejection in a row, up to _maxEjection.
	_ejection    = 3 * time.Second
	_maxEjection = 12 * time.Second
)

// health is what the outcomes of runs say about an upstream, whatever it says
// of itself.
type health struct {
	// streak counts failures since the last success.
	streak       int
	lastJob      string
	ejections    int
	ejectedUntil time.Time
	lastFailure  time.Time
}

func (e *health) recordSuccess() { e.streak, e.ejections = 0, 0 }

// fail notes a failed run of a job and reports whether the upstream is ejected
// now. A job that fails everywhere counts once.
func (e *health) recordFailure(now time.Time, job string) bool {
	e.lastFailure = now
	if e.lastJob == job {
		return false
	}
	e.lastJob = job
	e.streak++
	if e.streak < _ejectAfter {
		return false
	}
	e.eject(now)
	return true
}

func (e *health) eject(now time.Time) {
	d := min(_ejection<<min(e.ejections, 4), _maxEjection)
	e.ejections++
	// The next failure after the pause ejects again.
	e.streak = _ejectAfter - 1
	e.ejectedUntil = now.Add(d)
}
