package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

// A queue's policy is asked about a limited number of upstreams at a time, and takes longer the more it
// is asked about. What it says has two lifetimes. Whether a step may run on an upstream doesn't change,
// and is kept for as long as the step has tasks to place. A ticket is valid for a short time, and for one
// incarnation of the upstream.
//
// Steps are asked about in the order in which they are placed, and each only once none of the upstreams
// that it has tickets for has room. So the first answers are used before the policy is asked about more
// upstreams, and few are asked about in a large pool.

const (
	// _maxAdviceRequests limits the requests of a pool that are under way. The policy handles one after
	// the other; the second one keeps it busy meanwhile.
	_maxAdviceRequests = 2
	// _firstAdvice is the number of upstreams in the first request about a step. It doubles with each
	// further one.
	_firstAdvice = 30
	// _likelyMargin is the number of upstreams in a request beside those that are likely to be enough.
	_likelyMargin = 4
	// _adviceRetryDelay is the pause of a pool after a failed request to a policy, and the first one of
	// the step, which doubles with each failure up to _maxAdviceRetryDelay.
	_adviceRetryDelay    = 200 * time.Millisecond
	_maxAdviceRetryDelay = 2 * time.Second
	// _maxAdviceShrink is how often the number of upstreams in a request is halved.
	_maxAdviceShrink = 5
	// _denialRecheck is when a step with too few upstreams asks again about one that was denied. It
	// doubles with each denial, up to _maxDenials times.
	_denialRecheck = 10 * time.Second
	_maxDenials    = 5
	// A step that has waited for _adviceKeepAfter has the planner keep hosts in the pool, until it has waited
	// for _adviceKeepFor: a step that may run nowhere must not hold them for ever. Of more than
	// _maxAdviceKept steps, the first ones do.
	_adviceKeepAfter = 1500 * time.Millisecond
	_adviceKeepFor   = time.Minute
	_maxAdviceKept   = 32
	// _adviceScanPause is the least time between two looks for upstreams to ask about, once there
	// were none.
	_adviceScanPause = 50 * time.Millisecond
)

// advice is what the queue's policy has said about a step. The zero value is for nothing yet.
type advice struct {
	verdicts map[*host]verdict
	// asked are the upstreams in the request under way; empty if there is none.
	asked []asked
	// size is the number of unknown upstreams that the next request names at most; zero before the first
	// answer.
	size int
	// failures counts consecutive failed requests. There is no further one before retryAt. Each of them that
	// had no answer in time, which timeouts counts, halves the size of the next.
	failures, timeouts int
	retryAt            time.Time
	// There was no upstream to ask about in the last look, and there is no further one before scanAfter;
	// zero if there was one.
	scanAfter time.Time
	// noneLogged is set once it was logged that no upstream is allowed.
	noneLogged bool
}

// verdict is what the policy has said about an upstream.
type verdict struct {
	// born identifies the incarnation that the verdict is about.
	born    int64
	allowed bool
	// ticket may be used before until. Of a denied upstream, until is when it is asked about again.
	ticket string
	until  time.Time
	// denials counts consecutive denials, and refusals the starts since the last success that were
	// refused for their ticket.
	denials, refusals int
}

// asked is an upstream in a request, and its incarnation then.
type asked struct {
	host *host
	born int64
}

// verdict returns what the policy has said about the present incarnation of an upstream; known is false
// if it has said nothing.
func (a *advice) verdict(h *host) (v verdict, known bool) {
	v, known = a.verdicts[h]
	return v, known && v.born == h.born
}

// ticket returns the ticket for an upstream; it is empty if there is none that is valid.
func (a *advice) ticket(now time.Time, h *host) string {
	v, known := a.verdict(h)
	if !known || !v.allowed || !now.Before(v.until) {
		return ""
	}
	return v.ticket
}

// advised reports whether tasks of the step need tickets.
func (s *step) advised() bool { return s.occurrence.job.queue.Advice.Needed() }

// hasTicket reports whether a task of a step may start on an upstream as far as the queue's policy is
// concerned.
func (s *step) hasTicket(now time.Time, h *host) bool {
	return !s.advised() || s.advice.ticket(now, h) != ""
}

// isPermitted reports whether the queue's policy is known to allow a step to run on an upstream, with a
// valid ticket or not.
func (s *step) isPermitted(h *host) bool {
	if !s.advised() {
		return true
	}
	v, known := s.advice.verdict(h)
	return known && v.allowed
}

// isDenied reports whether the queue's policy is known not to allow a step to run on an upstream.
func (s *step) isDenied(h *host) bool {
	if !s.advised() {
		return false
	}
	v, known := s.advice.verdict(h)
	return known && !v.allowed
}

// adviser has the requests to policies that are under way, by the name of their step.
type adviser struct {
	steps map[string]*step
	// There is no further request before retryAt.
	retryAt time.Time
	// wake is when steps are looked at again that have to wait until then.
	wake earliest
}

// mayAsk reports whether a request about a step may be sent. If only time is missing, the scheduler
// is woken then.
func (s *Scheduler) mayAsk(now time.Time, st *step) bool {
	a := &st.advice
	if len(a.asked) > 0 || len(s.adviser.steps) >= _maxAdviceRequests {
		return false // An answer has the step looked at again.
	}
	at := s.adviser.retryAt
	for _, t := range []time.Time{a.retryAt, a.scanAfter} {
		if t.After(at) {
			at = t
		}
	}
	if now.Before(at) {
		s.adviser.wake.add(at)
		return false
	}
	return true
}

// noteHint notes what the policy has said about an upstream, for other steps of the queue. They are asked
// about those first that the policy allowed last.
func (h *host) noteHint(queue string, allowed bool) {
	if h.hints == nil {
		h.hints = make(map[string]bool)
	}
	h.hints[queue] = allowed
}

// hint returns how likely the policy of a queue allows an upstream: 1 if it did so for the last step that
// was asked about, -1 if it didn't, and 0 if there was none.
func (h *host) hint(queue string) int {
	allowed, known := h.hints[queue]
	switch {
	case !known:
		return 0
	case allowed:
		return 1
	}
	return -1
}

// ask requests advice on some upstreams for a step.
func (s *Scheduler) ask(st *step, hosts []*host) {
	a, q := &st.advice, st.occurrence.job.queue.Advice
	ids := make([]string, 0, len(hosts))
	for _, h := range hosts {
		a.asked = append(a.asked, asked{h, h.born})
		ids = append(ids, h.up.ID)
	}
	if s.adviser.steps == nil {
		s.adviser.steps = make(map[string]*step)
	}
	s.adviser.steps[st.name] = st
	s.emit(Advise{Step: st.name, Hosts: ids, Takes: q.DecideTime + time.Duration(len(ids))*q.TimePerUpstream})
}

// requestAdvice requests what the queue's policy says about more upstreams, for a task that has no room
// on those with tickets.
func (p *pass) requestAdvice(t *task) {
	st := t.step
	if !st.advised() || p.allFull && !st.advice.scanAfter.IsZero() || !p.s.mayAsk(p.now, st) {
		return
	}
	c := p.candidates(t)
	l := c.choose(st)
	if len(l) > 0 {
		st.advice.scanAfter = time.Time{}
		p.s.ask(st, l)
		return
	}
	st.advice.scanAfter = p.now.Add(_adviceScanPause)
	p.s.adviser.wake.add(c.recheckAt.time)
	if c.capacity == 0 && c.denied > 0 && !st.advice.noneLogged {
		st.advice.noneLogged = true
		p.s.logNote("The queue's policy allows no upstream on which the step could run; it is asked again.", st.occurrence.job.def.GetId(),
			"step", st.name, "denied", c.denied, "againAt", c.recheckAt.time)
	}
}

// candidates are the upstreams on which a step could run, by what is known of them.
type candidates struct {
	// need is the number of tasks without a run.
	need int
	// lapsed are allowed, have room, and their tickets have lapsed. room is how many tasks they take.
	lapsed []*host
	room   int
	// unknown have room and full have none; nothing is known of either. denied counts the upstreams
	// that aren't allowed, and recheck are those of them that are asked about again.
	unknown, full, recheck []*host
	denied                 int
	// recheckAt is when a denied one is asked about again.
	recheckAt earliest
	// capacity is how many tasks the allowed upstreams would take if they were empty.
	capacity int
}

// candidates finds the upstreams on which a task could run.
func (p *pass) candidates(t *task) candidates {
	st, d := t.step, p.trial(t)
	c := candidates{need: max(st.left-st.running, 1)}
	add := func(h *host) {
		if !h.hasLabel(st.def.GetRequires()) || !fitsIn(st.def, h.up.Capacity) {
			return
		}
		room := !p.reserved[h] && fitsIn(st.def, h.free()) && p.suits(t, h) && p.admits(t, h, d)
		v, known := st.advice.verdict(h)
		switch {
		case !known && room:
			c.unknown = append(c.unknown, h)
		case !known:
			c.full = append(c.full, h)
		case !v.allowed:
			c.denied++
			if p.now.Before(v.until) {
				c.recheckAt.add(v.until)
			} else {
				c.recheck = append(c.recheck, h)
			}
		default:
			c.capacity += countFitting(st, h.up.Capacity)
			switch {
			case !room || v.ticket != "" && p.now.Before(v.until):
			case p.now.Before(v.until):
				c.recheckAt.add(v.until) // Its tickets were refused.
			default:
				c.lapsed = append(c.lapsed, h)
				c.room += countFitting(st, h.free())
			}
		}
	}
	vacated := !t.waitingSince.IsZero() && p.now.Sub(t.waitingSince) >= _reclaimAfter
	for _, h := range p.s.hosts.order {
		if !h.unresponsive(p.now, p.s.flow.delay) && (h.usable(p.now) || vacated && h.reclaims(p.now)) {
			add(h)
		}
	}
	p.order(st, c.lapsed)
	p.order(st, c.unknown)
	p.order(st, c.full)
	return c
}

// countFitting returns how many tasks of a step fit into a capacity, as far as CPU and anti-affinity tell.
func countFitting(st *step, c platform.Capacity) int {
	n := st.left
	if q := st.cpuRequest(); q > 0 {
		n = min(n, int(c.MilliCPU/q))
	}
	if l := int(st.def.GetAntiAffinity()); l > 0 {
		n = min(n, l)
	}
	return max(n, 1)
}

// order sorts upstreams by how well a step would run on them: those near its data first, those that its
// queue's policy is likely to allow, the racks with the most free CPU for tasks that have to share one,
// and then by their own free CPU.
func (p *pass) order(st *step, hosts []*host) {
	near, queue := st.def.GetAffinity(), st.occurrence.job.def.GetQueue()
	var racks map[string]int64
	if st.def.GetSameRack() {
		racks = make(map[string]int64)
		for _, h := range hosts {
			racks[h.rack] += h.free().MilliCPU
		}
	}
	slices.SortStableFunc(hosts, func(a, b *host) int {
		if near != "" && (a.rack == near) != (b.rack == near) {
			return signOf(b.rack == near)
		}
		return cmp.Or(
			cmp.Compare(b.hint(queue), a.hint(queue)),
			cmp.Compare(racks[b.rack], racks[a.rack]),
			compareIf(racks != nil, a.rack, b.rack),
			cmp.Compare(b.free().MilliCPU, a.free().MilliCPU),
		)
	})
}

// compareIf compares two texts if that is wanted, and returns zero otherwise.
func compareIf(wanted bool, a, b string) int {
	if !wanted {
		return 0
	}
	return strings.Compare(a, b)
}

// choose returns the upstreams for the next request. Upstreams that are known to be allowed are enough
// if they have room for all tasks. Upstreams without room are asked about only if the step will need
// them, and denied ones only if nothing else is left.
func (c candidates) choose(st *step) []*host {
	renewed := first(c.lapsed, min(c.need, renewalLimit(st.occurrence.job.queue.Advice)))
	if c.room >= c.need {
		return renewed
	}
	if len(c.lapsed)+len(c.unknown) == 0 && c.capacity >= c.need {
		return nil
	}
	size := max(_firstAdvice, st.advice.size)
	if n := c.likely(st); n > 0 && st.advice.size == 0 {
		size = n
	}
	size = max(size>>st.advice.timeouts, 1)
	l := slices.Concat(renewed, first(c.unknown, min(size, platform.MaxAdviceUpstreams-len(renewed))))
	if len(l) == 0 {
		l = first(c.full, size)
	}
	if len(l) == 0 {
		l = first(c.recheck, size)
	}
	return l
}

// likely returns the number of unknown upstreams that take all tasks if the policy allows those that it
// allowed for another step; zero if they don't. Some more are counted, as it may deny a few.
func (c candidates) likely(st *step) int {
	room := c.room
	for i, h := range c.unknown {
		if h.hint(st.occurrence.job.def.GetQueue()) <= 0 {
			return 0
		}
		if room += countFitting(st, h.free()); room >= c.need {
			return min(i+1+_likelyMargin, _firstAdvice)
		}
	}
	return 0
}

func first(l []*host, n int) []*host { return slices.Clone(l[:min(n, len(l))]) }

// renewalLimit returns how many upstreams a request for new tickets names at most, so that the first of them
// hasn't lapsed when the policy has decided on the last.
func renewalLimit(q platform.Advice) int {
	n := platform.MaxAdviceUpstreams
	if q.TimePerUpstream > 0 {
		n = min(n, int(q.Valid/2/q.TimePerUpstream))
	}
	return max(n, 1)
}

// adviceAnswered handles the answer of a queue's policy.
func (s *Scheduler) adviceAnswered(now time.Time, e Advised) {
	st := s.adviser.steps[e.Step]
	if st == nil || !st.advice.names(e.Hosts) {
		return
	}
	delete(s.adviser.steps, e.Step)
	a, id := &st.advice, st.occurrence.job.def.GetId()
	named := a.asked
	a.asked = nil
	s.replan = true
	if e.Err != nil {
		s.adviser.retryAt = now.Add(_adviceRetryDelay)
		a.retryAt = now.Add(min(_adviceRetryDelay<<min(a.failures, _maxAdviceShrink), _maxAdviceRetryDelay))
		a.failures++
		if timedOut(e.Err) {
			a.timeouts = min(a.timeouts+1, _maxAdviceShrink)
		}
		s.adviser.wake.add(a.retryAt)
		s.logNote("The queue's policy did not grant tickets: the request failed and will be repeated.", id, "step", e.Step, "named", len(named),
			"failures", a.failures, "err", e.Err)
		return
	}
	a.failures, a.timeouts, a.size = 0, 0, min(max(_firstAdvice, 2*len(named)), platform.MaxAdviceUpstreams)
	if st.left == 0 || st.occurrence.job.over() {
		return
	}
	if a.verdicts == nil {
		a.verdicts = make(map[*host]verdict, len(named))
	}
	for h := range a.verdicts {
		if h.dropped {
			delete(a.verdicts, h)
		}
	}
	valid := e.Tickets.Valid
	if valid <= 0 {
		valid = st.occurrence.job.queue.Advice.Valid
	}
	for _, x := range named {
		v := verdict{born: x.born, ticket: e.Tickets.ByUpstream[x.host.up.ID]}
		former := a.verdicts[x.host]
		if v.allowed = v.ticket != ""; v.allowed {
			// A new ticket is requested early, so that none expires before the start that
			// carries it arrives.
			v.until, v.refusals = now.Add(valid*8/10), former.refusals
		} else {
			v.denials = min(former.denials+1, _maxDenials)
			v.until = now.Add(_denialRecheck << (v.denials - 1))
		}
		a.verdicts[x.host] = v
		x.host.noteHint(st.occurrence.job.def.GetQueue(), v.allowed)
	}
	s.logNote("The queue's policy has answered.", id, "step", e.Step, "named", len(named), "allowed", len(e.Tickets.ByUpstream),
		"known", len(a.verdicts), "validMs", valid.Milliseconds())
}

// names reports whether the request under way names some upstreams, in their order.
func (a *advice) names(ids []string) bool {
	return slices.EqualFunc(a.asked, ids, func(x asked, id string) bool { return x.host.up.ID == id })
}

// ticketRefused handles a start that its upstream refused for the ticket. The next ticket is requested at
// once, but later and later ones while they are refused too.
func (s *Scheduler) ticketRefused(now time.Time, r *run) {
	a := &r.task.step.advice
	v, known := a.verdict(r.host)
	if !known {
		return
	}
	v.ticket, v.until = "", now
	if v.refusals > 0 {
		v.until = now.Add(min(_adviceRetryDelay<<min(v.refusals, _maxAdviceShrink), _maxAdviceRetryDelay))
		s.adviser.wake.add(v.until)
	}
	v.refusals++
	a.verdicts[r.host] = v
}

// ticketAccepted notes that an upstream has accepted a start.
func (a *advice) ticketAccepted(h *host) {
	if v, known := a.verdict(h); known && v.refusals > 0 {
		v.refusals = 0
		a.verdicts[h] = v
	}
}

// forget drops what is needed only while the step has tasks to place.
func (a *advice) forget() { a.verdicts = nil }

// keepForAdvice has the planner leave hosts in the pool, or bring others, for steps that wait for upstreams
// which their policy allows. Those that are known to be allowed count as in use. While none is, all
// stay that weren't asked about, and if all others are denied, there have to be more: which ones are
// allowed is known only once they are in the pool.
func (s *Scheduler) keepForAdvice(now time.Time, l *link.PoolLoad) {
	present := int32(len(l.GetHosts()))
	n := 0
	for _, st := range s.advisedSteps() {
		if waited := now.Sub(st.waitingSince); waited < _adviceKeepAfter || waited > _adviceKeepFor {
			continue
		}
		if n++; n > _maxAdviceKept {
			return
		}
		permitted, unknown := false, false
		for _, x := range l.GetHosts() {
			h := s.hosts.byID[x.GetUpstream()]
			switch {
			case !h.hasLabel(st.def.GetRequires()) || !fitsIn(st.def, h.up.Capacity):
			case st.isPermitted(h):
				x.Runs++
				permitted = true
			case !st.isDenied(h):
				unknown = true
			}
		}
		switch {
		case permitted:
		case unknown:
			l.Spread = max(l.GetSpread(), present)
		default:
			l.Spread = max(l.GetSpread(), 2*present)
		}
	}
}

// advisedSteps returns the steps with tasks to be placed that need tickets.
func (s *Scheduler) advisedSteps() []*step {
	var l []*step
	for _, j := range s.active {
		if !j.queue.Advice.Needed() {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.openSteps() {
				if st.unplaced() {
					l = append(l, st)
				}
			}
		}
	}
	return l
}

// sendTicketed sends the held starts whose tickets had lapsed and were renewed, releases those that the
// policy denies, and requests tickets for the others.
func (s *Scheduler) sendTicketed(now time.Time) {
	var due []*run
	s.held = slices.DeleteFunc(s.held, func(r *run) bool {
		if !r.unticketed {
			return false
		}
		if !slices.Contains(r.task.runs, r) {
			return true
		}
		if st := r.task.step; st.hasTicket(now, r.host) || st.isDenied(r.host) {
			due = append(due, r)
			return true
		}
		return false
	})
	s.sendStarts(now, due)
	for _, r := range s.held {
		st := r.task.step
		if !r.unticketed || !s.mayAsk(now, st) {
			continue
		}
		var l []*host
		for _, x := range s.held {
			if x.unticketed && x.task.step == st && !slices.Contains(l, x.host) && len(l) < renewalLimit(st.occurrence.job.queue.Advice) {
				l = append(l, x.host)
			}
		}
		s.ask(st, l)
	}
}
