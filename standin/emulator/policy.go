package emulator

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"fescuelanding/entry/scheduler"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

const (
	// _advice is the advice service in the network.
	_advice = "advice"
	// The policy decides in at most _maxDecide, and _maxEach for each upstream in a call. Its tickets are
	// valid for _minValid to _maxValid, and for _leastUses times as long as the slowest step may take to
	// use one.
	_maxDecide           = 400 * time.Millisecond
	_maxEach             = 15 * time.Millisecond
	_minValid, _maxValid = 100 * time.Millisecond, 4 * time.Second
	// _leastAllowed is the least number of upstreams that a step may run on.
	_leastAllowed = 6
	// _maxAdviceWaiting is the number of calls that wait before further ones are refused.
	_maxAdviceWaiting = 32
	// The service has up to _adviceFaults faults of up to _maxAdviceFault, and is slower by up to
	// _maxSlowness then.
	_adviceFaults   = 3
	_maxAdviceFault = 5 * time.Second
	_maxSlowness    = 8
)

// policy emulates the policy of the pool's queue: which upstreams a step may run on, their tickets, and the
// service that hands them out.
type policy struct {
	rand   *rand.Rand
	advice platform.Advice
	// allowed is the number of upstreams that a step may run on, and inPlaces how they are chosen.
	allowed  int
	inPlaces int
	// tickets holds until when each ticket is valid.
	tickets map[string]time.Duration
	// busyUntil is when the service has handled all calls of an entry so far, waiting their number.
	busyUntil map[string]time.Duration
	waiting   map[string]int
	// fault is the present fault of the service, until faultUntil.
	fault      adviceFault
	faultUntil time.Duration
	// delayedUntil is when all calls of the faults so far have been handled.
	delayedUntil time.Duration
	slowness     time.Duration
}

// adviceFault is a fault of the advice service.
type adviceFault int

const (
	_adviceSilent adviceFault = iota
	_adviceSlow
	_adviceFails
)

// _adviceFaultKinds is the number of kinds of faults of the advice service.
const _adviceFaultKinds = int(_adviceFails) + 1

// The upstreams that a step may run on are the first or the last ones of the pool, some in a row, or
// some at equal distances.
const (
	_firstPlaces = iota
	_lastPlaces
	_middlePlaces
	_spreadPlaces
	_allPlaces
	_placeKinds
)

// newPolicy draws a policy apart from the rest of the history.
func newPolicy(seed uint64) *policy {
	r := rand.New(rand.NewPCG(seed, 10))
	return &policy{
		rand: r,
		advice: platform.Advice{
			DecideTime: drawBetween(r, time.Millisecond, _maxDecide), TimePerUpstream: drawBetween(r, time.Millisecond/2, _maxEach),
			Valid: drawBetween(r, _minValid, _maxValid).Truncate(time.Millisecond),
		},
		allowed: _leastAllowed + r.IntN(_leastAllowed), inPlaces: r.IntN(_placeKinds),
		tickets: make(map[string]time.Duration), busyUntil: make(map[string]time.Duration), waiting: make(map[string]int),
	}
}

// plan draws the faults of the service.
func (p *policy) plan(w *World) {
	if p == nil || w.settings.FaultFree {
		return
	}
	for range p.rand.IntN(_adviceFaults + 1) {
		kind, slowness := adviceFault(p.rand.IntN(_adviceFaultKinds)), time.Duration(2+p.rand.IntN(_maxSlowness-1))
		d := drawBetween(p.rand, 200*time.Millisecond, _maxAdviceFault)
		w.after(drawBetween(p.rand, time.Second, w.settings.SubmitPeriod), func() {
			w.tracef("the advice service has fault %d for %v", kind, d)
			p.fault, p.faultUntil, p.slowness = kind, w.now+d, slowness
		})
	}
}

// faultEnd returns when the last fault so far ends.
func (p *policy) faultEnd() time.Duration {
	if p == nil {
		return 0
	}
	return max(p.faultUntil, p.delayedUntil)
}

// planJob has the tasks of a job ask for little, so that the allowed upstreams have room for it.
func (p *policy) planJob(d *work.Job) {
	if p == nil {
		return
	}
	for _, s := range d.Steps {
		s.MilliCpu = min(s.MilliCpu, 800)
	}
}

// allows reports whether a step may run on an upstream. All incarnations on a machine are alike, and the
// spare machines are allowed.
func (p *policy) allows(w *World, step string, u *upstream) bool {
	if p == nil || p.inPlaces == _allPlaces {
		return true
	}
	n, i := w.settings.Upstreams, slices.Index(w.upstreams, u)
	if i >= n {
		return true
	}
	switch p.inPlaces {
	case _firstPlaces:
		return i < p.allowed
	case _lastPlaces:
		return i >= n-p.allowed
	case _middlePlaces:
		return i >= (n-p.allowed)/2 && i < (n+p.allowed)/2
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(step)) // A hash never fails.
	each := max(1, n/p.allowed)
	return i%each == int(h.Sum32())%each
}

// checkTicket refuses a start without a valid ticket.
func (p *policy) checkTicket(w *World, u *upstream, t *taskRecord, ticket string) error {
	if p == nil {
		return nil
	}
	if until, known := p.tickets[ticket]; !known || w.now >= until || ticket[:len(ticket)-len("-000000")] != p.ticket(t.step(), u) {
		return refusal(http.StatusConflict, platform.ReasonTicket)
	}
	return nil
}

// step returns the name of the task's step in the advice service.
func (t *taskRecord) step() string {
	return platform.StepName(t.name.Job, t.name.Occurrence, t.name.Step)
}

// ticket returns what a ticket begins with; it is valid for one incarnation.
func (p *policy) ticket(step string, u *upstream) string {
	return fmt.Sprintf("%s@%s@%d", step, u.report.ID, u.report.StartUnixMs)
}

// advise calls the advice service for the owner.
func (o *owner) advise(a scheduler.Advise) {
	w, e, p := o.entry.world, o.entry, o.entry.world.policy
	sent, over := w.now, false
	c, limit := o.advising.Begin(a.Takes)
	done := func(t platform.Tickets, err error) {
		if over {
			return
		}
		over = true
		o.advising.End(c, w.now-sent, err)
		o.post(scheduler.Advised{Step: a.Step, Hosts: a.Hosts, Tickets: t, Err: err})
	}
	c.Shorten = func(d time.Duration) {
		e.after(d, func() { done(platform.Tickets{}, errNoAnswer) })
	}
	call(e, _advice, limit, func(answer func(platform.Tickets, error)) {
		p.serve(w, e.name, a, answer)
	}, done)
}

// serve handles a call of an entry, after those that came before.
func (p *policy) serve(w *World, from string, a scheduler.Advise, answer func(platform.Tickets, error)) {
	takes := p.advice.DecideTime + time.Duration(len(a.Hosts))*p.advice.TimePerUpstream
	if len(a.Hosts) > platform.MaxAdviceUpstreams {
		w.ledger.addViolation("SIZE", "a call for advice names %d upstreams", len(a.Hosts))
	}
	if w.now < p.faultUntil {
		switch p.fault {
		case _adviceSilent:
			return
		case _adviceSlow:
			takes *= p.slowness
		case _adviceFails:
			answer(platform.Tickets{}, refusal(http.StatusInternalServerError, ""))
			return
		}
	}
	if p.waiting[from] > _maxAdviceWaiting {
		answer(platform.Tickets{}, refusal(http.StatusTooManyRequests, ""))
		return
	}
	p.waiting[from]++
	at := max(w.now, p.busyUntil[from]) + takes
	p.busyUntil[from] = at
	if w.now < p.faultUntil {
		p.delayedUntil = max(p.delayedUntil, at)
	}
	w.after(at-w.now, func() {
		p.waiting[from]--
		answer(p.admit(w, a), nil)
	})
}

// admit returns the tickets for the upstreams that a step may run on.
func (p *policy) admit(w *World, a scheduler.Advise) platform.Tickets {
	t := platform.Tickets{ByUpstream: make(map[string]string), Valid: p.advice.Valid}
	for _, u := range w.upstreams {
		if u.report.ID == "" || !slices.Contains(a.Hosts, u.report.ID) || !p.allows(w, a.Step, u) {
			continue
		}
		s := fmt.Sprintf("%s-%06d", p.ticket(a.Step, u), len(p.tickets)%1_000_000)
		p.tickets[s] = w.now + p.advice.Valid
		t.ByUpstream[u.report.ID] = s
	}
	w.tracef("the policy allows %s on %d of %d upstreams", a.Step, len(t.ByUpstream), len(a.Hosts))
	return t
}
