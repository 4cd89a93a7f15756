package scheduler

import (
	"slices"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

// Scheduler decides for one pool. It isn't safe for concurrent use.
type Scheduler struct {
	set    Settings
	queues map[string]platform.Queue
	hosts  hostSet
	jobs   map[string]*job
	// active are the jobs that aren't over, in order of arrival.
	active []*job
	// past are ended jobs in the order in which they are forgotten.
	past []*job

	loaded bool
	// listed is set once the platform's list has been seen.
	listed   bool
	loadedAt time.Time
	// dead are upstreams that were ordered away, with the start of the life that
	// ended: the platform's list has them for a while.
	endedLives map[string]int64
	// unheard are upstreams of a former owner, and when they surely run
	// nothing.
	unpolled   map[string]time.Time
	storeSeen time.Time
	lost      bool

	// planner is the highest token of a planner that was heard, planned the
	// sequence of its last question.
	plannerToken int64
	planSequence int64
	// arrivals are room that the planner has announced.
	arrivals []arrival
	demand   demand
	// first is when a caller handed a job in that was refused.
	firstAttempts firstSeen
	// advice is when advice that failed is asked for again.
	adviceRetry earliest
	// placedAt is when tasks were placed last.
	placedAt time.Time
	// placed are starts that are yet to be noted.
	unloggedStarts    []unloggedStart
	journal   journal
	learned   learned
	pendingRequests []pendingRequest
	replan    bool
	ops       []Op
}

// question waits until the journal has been loaded.
type pendingRequest struct{ event Event }

// New returns the scheduler of a pool that was just gained.
func New(set Settings) *Scheduler {
	return &Scheduler{
		set:     set,
		queues:  make(map[string]platform.Queue),
		jobs:    make(map[string]*job),
		endedLives:    make(map[string]int64),
		unpolled: make(map[string]time.Time),
		learned: newLearned(),
	}
}

// Lost reports whether another owner has shut this one out. Its orders and
// appends are void from then on.
func (s *Scheduler) Lost() bool { return s.lost }

// Jobs returns the number of jobs that aren't over.
func (s *Scheduler) Jobs() int { return len(s.active) }

// Step takes in an event and returns what to do about it.
func (s *Scheduler) Step(now time.Time, e Event) []Op {
	s.ops = nil
	if s.lost {
		s.refuseNotOwner(e)
		return s.ops
	}
	s.handle(now, e)
	if !s.lost {
		s.doDueWork(now)
	}
	return s.ops
}

// take changes the state by an event.
func (s *Scheduler) handle(now time.Time, e Event) {
	switch e := e.(type) {
	case Configured:
		s.configure(e.Queues)
	case Loaded:
		s.load(now, e)
	case Listed:
		s.updateUpstreams(now, e.Upstreams)
	case Polled:
		s.polled(now, e)
	case Ordered:
		s.orderAnswered(now, e)
	case Appended:
		s.appendAnswered(now, e)
	case Advised:
		s.adviceAnswered(now, e)
	case OwnershipConfirmed:
		s.storeSeen = e.At
	case Woken:
		s.replan = true
	default:
		s.handleRequest(now, e)
	}
}

// answerWaiting answers the questions that came before the journal and the list
// were known.
func (s *Scheduler) answerPending(now time.Time) {
	if !s.loaded || !s.listed {
		return
	}
	q := s.pendingRequests
	s.pendingRequests = nil
	for _, x := range q {
		s.handleRequest(now, x.event)
	}
}

// question answers a caller or the planner, once the journal and the list are
// known.
func (s *Scheduler) handleRequest(now time.Time, e Event) {
	if !s.loaded || !s.listed {
		s.pendingRequests = append(s.pendingRequests, pendingRequest{e})
		return
	}
	switch e := e.(type) {
	case Submitted:
		s.submit(now, e)
	case StateRequested:
		s.replyState(e)
	case PendingRequested:
		s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_OK, Pending: s.countPending(e.Queue)})
	case CancelRequested:
		s.cancel(now, e)
	case LoadRequested:
		s.handlePlan(now, e)
	}
}

// refuse answers a question after the pool was lost.
func (s *Scheduler) refuseNotOwner(e Event) {
	a := &link.Answer{Outcome: link.Outcome_OUTCOME_NOT_OWNER}
	switch e := e.(type) {
	case Submitted:
		s.reply(e.Ref, a)
	case StateRequested:
		s.reply(e.Ref, a)
	case PendingRequested:
		s.reply(e.Ref, a)
	case CancelRequested:
		s.reply(e.Ref, a)
	case LoadRequested:
		s.reply(e.Ref, a)
	}
}

// settle does what is due.
func (s *Scheduler) doDueWork(now time.Time) {
	if !s.loaded {
		return
	}
	s.expireUnpolled(now)
	for _, h := range s.hosts.order {
		s.expire(now, h)
	}
	s.startOccurrences(now)
	if t := s.adviceRetry.time; !t.IsZero() && !now.Before(t) {
		s.adviceRetry, s.replan = earliest{}, true
	}
	if s.replan && s.mayOrder(now) && !now.Before(s.nextPlaceTime()) {
		s.replan = false
		s.place(now)
	}
	for _, h := range s.hosts.order {
		s.resendStops(now, h)
		s.poll(now, h)
	}
	s.dropExpiredJobs(now)
	s.flush(now)
}

// nextPlace returns the earliest time of the next round of placing.
func (s *Scheduler) nextPlaceTime() time.Time {
	if !s.crowded() {
		return s.placedAt
	}
	return s.placedAt.Add(_crowdedPlaceInterval)
}

// mayOrder reports whether no other entry can have gained the pool and given up
// waiting for this one.
func (s *Scheduler) mayOrder(now time.Time) bool {
	return now.Sub(s.storeSeen) < _storeTimeout
}

// Next returns when to wake the scheduler if nothing else happens. It is zero
// where nothing is due.
func (s *Scheduler) Next(now time.Time) time.Time {
	var w earliest
	if s.lost || !s.loaded {
		return time.Time{}
	}
	switch b := s.journal.inFlight; {
	case b == nil:
		w.add(s.journal.due)
	case len(s.journal.accepts) > 0:
		w.add(b.sent.Add(_journalTimeout))
	}
	for _, t := range s.unpolled {
		w.add(t)
	}
	if s.replan && s.mayOrder(now) {
		w.add(s.nextPlaceTime())
	}
	for _, h := range s.hosts.order {
		s.addHostTimes(now, h, &w)
	}
	for _, j := range s.active {
		if k := len(j.occurrences); j.timed() && j.durable && k < j.times() {
			w.add(j.due(k))
		}
	}
	if len(s.past) > 0 {
		w.add(s.past[0].endedAt.Add(s.set.StatusRetention))
	}
	w.add(s.adviceRetry.time)
	return w.time
}

// hostNext adds what is due about an upstream.
func (s *Scheduler) addHostTimes(now time.Time, h *host, w *earliest) {
	if !h.pollingAgain && (!h.polling || h.hasUnconfirmedRuns()) && s.wantsPoll(h) {
		w.add(s.pollTime(h))
	}
	if len(h.runs) > 0 && h.failed > 0 {
		w.add(h.lapseTime())
	}
	if h.states[runStopping] > 0 {
		for _, r := range h.runs {
			if r.state == runStopping && !r.stopSent {
				w.add(r.stopDue)
			}
		}
	}
	if h.health.ejectedUntil.After(now) {
		w.add(h.health.ejectedUntil)
	}
	if h.vacatedUntil.After(now) {
		w.add(h.vacatedUntil)
	}
}

// waker keeps the earliest of some times.
type earliest struct{ time time.Time }

func (w *earliest) add(t time.Time) {
	if !t.IsZero() && (w.time.IsZero() || t.Before(w.time)) {
		w.time = t
	}
}

func (s *Scheduler) emit(o Op) { s.ops = append(s.ops, o) }

func (s *Scheduler) reply(r Ref, a *link.Answer) {
	if r != 0 {
		s.emit(Reply{Ref: r, Answer: a})
	}
}

func (s *Scheduler) logNote(what, job string, pairs ...any) {
	s.emit(Note{What: what, Job: job, Pairs: pairs})
}

// lose notes that a later owner has been heard of.
func (s *Scheduler) loseOwnership(by string) {
	if s.lost {
		return
	}
	s.lost = true
	s.logNote("Pool lost to a later owner.", "", "token", s.set.Token, "refusedBy", by)
	for _, j := range slices.Concat(s.active, s.past) {
		// Whether the later owner knows the job can't be told.
		for _, r := range slices.Concat(j.acceptWaiters, j.cancelWaiters) {
			s.reply(r, &link.Answer{Outcome: link.Outcome_OUTCOME_UNKNOWN})
		}
	}
	for _, q := range s.pendingRequests {
		s.refuseNotOwner(q.event)
	}
	s.pendingRequests = nil
}
