package scheduler

import (
	"slices"
	"time"

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
