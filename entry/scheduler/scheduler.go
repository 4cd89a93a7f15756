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
	dead map[string]int64
	// unheard are upstreams of a former owner, and when they surely run
	// nothing.
	unheard   map[string]time.Time
	storeSeen time.Time
	lost      bool

	// planner is the highest token of a planner that was heard, planned the
	// sequence of its last question.
	planner int64
	planned int64
	// arrivals are room that the planner has announced.
	arrivals []arrival
	demand   demand
	// first is when a caller handed a job in that was refused.
	first firstSeen
	// advice is when advice that failed is asked for again.
	advice waker
	// placedAt is when tasks were placed last.
	placedAt time.Time
	// placed are starts that are yet to be noted.
	placed    []placed
	journal   journal
	learned   learned
	questions []question
	replan    bool
	ops       []Op
}

// question waits until the journal has been loaded.
type question struct{ event Event }

// New returns the scheduler of a pool that was just gained.
func New(set Settings) *Scheduler {
	return &Scheduler{
		set:     set,
		queues:  make(map[string]platform.Queue),
		jobs:    make(map[string]*job),
		dead:    make(map[string]int64),
		unheard: make(map[string]time.Time),
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
		s.refuse(e)
		return s.ops
	}
	s.take(now, e)
	if !s.lost {
		s.settle(now)
	}
	return s.ops
}

// take changes the state by an event.
func (s *Scheduler) take(now time.Time, e Event) {
	switch e := e.(type) {
	case Configured:
		s.configure(e.Queues)
	case Loaded:
		s.load(now, e)
	case Listed:
		s.list(now, e.Upstreams)
	case Polled:
		s.looked(now, e)
	case Ordered:
		s.ordered(now, e)
	case Appended:
		s.appended(now, e)
	case Advised:
		s.advised(now, e)
	case OwnershipConfirmed:
		s.storeSeen = e.At
	case Woken:
		s.replan = true
	default:
		s.question(now, e)
	}
}

// answerWaiting answers the questions that came before the journal and the list
// were known.
func (s *Scheduler) answerWaiting(now time.Time) {
	if !s.loaded || !s.listed {
		return
	}
	q := s.questions
	s.questions = nil
	for _, x := range q {
		s.question(now, x.event)
	}
}

// question answers a caller or the planner, once the journal and the list are
// known.
func (s *Scheduler) question(now time.Time, e Event) {
	if !s.loaded || !s.listed {
		s.questions = append(s.questions, question{e})
		return
	}
	switch e := e.(type) {
	case Submitted:
		s.submit(now, e)
	case StateRequested:
		s.ask(e)
	case PendingRequested:
		s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_OK, Pending: s.countPending(e.Queue)})
	case CancelRequested:
		s.cancel(now, e)
	case LoadRequested:
		s.plan(now, e)
	}
}

// refuse answers a question after the pool was lost.
func (s *Scheduler) refuse(e Event) {
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
func (s *Scheduler) settle(now time.Time) {
	if !s.loaded {
		return
	}
	s.hear(now)
	for _, h := range s.hosts.order {
		s.expire(now, h)
	}
	s.occur(now)
	if t := s.advice.time; !t.IsZero() && !now.Before(t) {
		s.advice, s.replan = waker{}, true
	}
	if s.replan && s.mayOrder(now) && !now.Before(s.nextPlace()) {
		s.replan = false
		s.place(now)
	}
	for _, h := range s.hosts.order {
		s.stopDue(now, h)
		s.look(now, h)
	}
	s.forget(now)
	s.flush(now)
}

// nextPlace returns the earliest time of the next round of placing.
func (s *Scheduler) nextPlace() time.Time {
	if !s.crowded() {
		return s.placedAt
	}
	return s.placedAt.Add(_placePause)
}

// mayOrder reports whether no other entry can have gained the pool and given up
// waiting for this one.
func (s *Scheduler) mayOrder(now time.Time) bool {
	return now.Sub(s.storeSeen) < _storeSilence
}

// Next returns when to wake the scheduler if nothing else happens. It is zero
// where nothing is due.
func (s *Scheduler) Next(now time.Time) time.Time {
	var w waker
	if s.lost || !s.loaded {
		return time.Time{}
	}
	switch b := s.journal.inFlight; {
	case b == nil:
		w.at(s.journal.due)
	case len(s.journal.accepts) > 0:
		w.at(b.sent.Add(_journalSilence))
	}
	for _, t := range s.unheard {
		w.at(t)
	}
	if s.replan && s.mayOrder(now) {
		w.at(s.nextPlace())
	}
	for _, h := range s.hosts.order {
		s.hostNext(now, h, &w)
	}
	for _, j := range s.active {
		if k := len(j.occurrences); j.timed() && j.durable && k < j.times() {
			w.at(j.due(k))
		}
	}
	if len(s.past) > 0 {
		w.at(s.past[0].endedAt.Add(s.set.StatusRetention))
	}
	w.at(s.advice.time)
	return w.time
}

// hostNext adds what is due about an upstream.
func (s *Scheduler) hostNext(now time.Time, h *host, w *waker) {
	if !h.peeking && (!h.looking || h.undecided()) && s.wantsLook(h) {
		w.at(s.lookTime(h))
	}
	if len(h.runs) > 0 && h.failed > 0 {
		w.at(h.lapse())
	}
	if h.states[runStopping] > 0 {
		for _, r := range h.runs {
			if r.state == runStopping && !r.stopSent {
				w.at(r.stopDue)
			}
		}
	}
	if h.health.ejectedUntil.After(now) {
		w.at(h.health.ejectedUntil)
	}
	if h.vacatedUntil.After(now) {
		w.at(h.vacatedUntil)
	}
}

// waker keeps the earliest of some times.
type waker struct{ time time.Time }

func (w *waker) at(t time.Time) {
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

func (s *Scheduler) note(what, job string, pairs ...any) {
	s.emit(Note{What: what, Job: job, Pairs: pairs})
}

// lose notes that a later owner has been heard of.
func (s *Scheduler) lose(by string) {
	if s.lost {
		return
	}
	s.lost = true
	s.note("Pool lost to a later owner.", "", "token", s.set.Token, "refusedBy", by)
	for _, j := range slices.Concat(s.active, s.past) {
		// Whether the later owner knows the job can't be told.
		for _, r := range slices.Concat(j.waiting, j.cancelling) {
			s.reply(r, &link.Answer{Outcome: link.Outcome_OUTCOME_UNKNOWN})
		}
	}
	for _, q := range s.questions {
		s.refuse(q.event)
	}
	s.questions = nil
}
