package scheduler

import (
	"slices"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

// Scheduler schedules the jobs of one pool. It isn't safe for concurrent use.
type Scheduler struct {
	set Settings
	// queues feed the pool, and otherQueues other ones.
	queues      map[string]platform.Queue
	otherQueues map[string]platform.Queue
	hosts       hostSet
	jobs        map[string]*job
	// active are the jobs that haven't ended, in order of arrival.
	active []*job
	// upcoming are the durable jobs with occurrences that aren't due yet.
	upcoming []*job
	// past are the ended jobs, in the order in which they expire, and inAdvance the number of those
	// that were cancelled before they were submitted.
	past      []*job
	inAdvance int

	// loaded is set once the journal has been loaded, at loadedAt.
	loaded bool
	// listed is set once the platform's list has been received.
	listed   bool
	loadedAt time.Time
	// endedIncarnations holds the start time of ended incarnations, by upstream
	// ID. The platform's list still has them for a while.
	endedIncarnations map[string]int64
	// unpolled holds the upstreams of a former owner that haven't answered a poll
	// yet, with the time by which everything on them must have ended.
	unpolled map[string]time.Time
	// unpolledLoggedAt is when unpolled was logged last.
	unpolledLoggedAt time.Time
	ownership        ownership
	// lost is set once a later owner has fenced off this one.
	lost bool

	// plannerToken is the highest fencing token received from a planner,
	// planSequence the sequence of its last request.
	plannerToken int64
	planSequence int64
	// arrivals is the capacity that the planner has announced.
	arrivals   []arrival
	demand     demand
	workspaces workspaces
	flow       flow
	// firstAttempts holds when jobs were first submitted.
	firstAttempts firstSeen
	// contest divides the pool between workspaces and refused callers.
	contest contest
	// answerLostAt is when a call to an upstream last had no answer.
	answerLostAt time.Time
	// homes has the routes to the pool, and what former pools have of their jobs.
	homes homes
	// adviser has the requests to the queues' policies.
	adviser adviser
	// placeAt is no later than the first time at which a waiting task may be placed though nothing else has changed:
	// on an upstream that is being vacated, or after a pause.
	placeAt earliest
	// summed is the backlog as of summedAt, with the jobs accepted since.
	summed   backlog
	summedAt time.Time
	// workedAt is when due work was done last.
	workedAt time.Time
	// placedAt is the time of the last round of placement, visited the number of occurrences that it
	// visited.
	placedAt time.Time
	visited  int
	// suspectWaits is set if the last round of placement had no upstream for a trial. More of them
	// may do once further polls have been answered.
	suspectWaits bool
	// held are the starts that wait for the journal.
	held []*run
	// inheritedRuns are the runs that former owners recorded, while the journal is loaded.
	inheritedRuns []inheritedRun
	// unloggedStarts are the starts that weren't logged yet.
	unloggedStarts  []unloggedStart
	journal         journal
	learned         learned
	pendingRequests []pendingRequest
	// returnAt is no later than the first time at which one of pendingRequests is sent back.
	returnAt earliest
	replan   bool
	ops      []Op
}

// New returns the scheduler of a pool whose ownership was just acquired.
func New(set Settings) *Scheduler {
	return &Scheduler{
		set:               set,
		queues:            make(map[string]platform.Queue),
		otherQueues:       make(map[string]platform.Queue),
		jobs:              make(map[string]*job),
		endedIncarnations: make(map[string]int64),
		unpolled:          make(map[string]time.Time),
		learned:           newLearned(),
		workspaces:        newWorkspaces(set.Token),
	}
}

// Lost reports whether another owner has fenced off this one. Its orders and
// appends have no effect from then on.
func (s *Scheduler) Lost() bool { return s.lost }

// Jobs returns the number of jobs that haven't ended.
func (s *Scheduler) Jobs() int { return len(s.active) }

// Step handles events in their order and returns the ops to carry out.
func (s *Scheduler) Step(now time.Time, events ...Event) []Op {
	s.ops = nil
	for _, e := range events {
		if s.lost {
			s.refuseNotOwner(e)
		} else {
			s.handle(now, e)
		}
	}
	if !s.lost {
		s.doDueWork(now)
	}
	return s.ops
}

// handle applies an event to the state.
func (s *Scheduler) handle(now time.Time, e Event) {
	switch e := e.(type) {
	case Configured:
		s.configure(e.Queues, e.OtherQueues)
		s.shareBetween(now, e.Workspaces)
		s.configureWorkspaces(e.Workspaces)
		s.configureHomes(now, e)
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
	case HomesFound:
		s.homesFound(now, e)
	case PoolReleased:
		s.poolReleased(now, e)
	case OwnershipConfirmed:
		s.confirmOwnership(now, e)
	case Suspended:
		s.ownership.suspended(now, e.For)
		s.journal.suspended(e.For)
		s.shortenWaits(e.For)
		s.suspendClocks(e.For)
		s.workspaces.Suspended(e.For)
	case Woken:
		s.replan = true
	default:
		s.handleRequest(now, e)
	}
}

// answerPending handles the requests that came before the journal and the list
// were known.
func (s *Scheduler) answerPending(now time.Time) {
	if !s.loaded || !s.listed {
		return
	}
	q := s.pendingRequests
	s.pendingRequests, s.returnAt = nil, earliest{}
	for _, x := range q {
		s.handleRequest(now, x.event)
	}
}

// handleRequest handles a request of a caller or the planner, or queues it until
// the journal and the list are known.
func (s *Scheduler) handleRequest(now time.Time, e Event) {
	if !s.loaded || !s.listed {
		s.addPending(now, e)
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
	case ReleaseRequested:
		s.releaseRoutes(now, e)
	}
}

// refuseNotOwner answers a request after ownership of the pool was lost.
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
	case ReleaseRequested:
		s.reply(e.Ref, a)
	}
}

// doDueWork expires leases, places tasks, polls upstreams and sends the next batch
// to the journal, as far as each is due.
func (s *Scheduler) doDueWork(now time.Time) {
	s.returnPending(now)
	if !s.loaded {
		return
	}
	s.requestReleases(now)
	s.answerReleases(now)
	s.logSilence(now)
	s.expireUnpolled(now)
	s.logUnpolled(now)
	a := &s.hosts.agenda
	a.touchDue(now)
	for _, h := range slices.Clone(a.list()) {
		s.expire(now, h)
		if h.unblockedSince(s.workedAt, now) {
			s.replan = true
		}
	}
	s.workedAt = now
	s.startOccurrences(now)
	s.sumUnknownRuns(now)
	if t := s.adviser.wake.time; !t.IsZero() && !now.Before(t) {
		s.adviser.wake, s.replan = earliest{}, true
	}
	if t := s.placeAt.time; !t.IsZero() && !now.Before(t) {
		s.placeAt, s.replan = earliest{}, true
	}
	switch {
	case !s.replan || !s.mayOrder(now) || now.Before(s.nextPlaceTime()):
	case s.mayStart(now):
		s.replan, s.ownership.startsWait = false, false
		s.place(now)
	case s.tasksWait():
		s.seekAcceptance(now)
	}
	s.sendTicketed(now)
	s.sendProven(now)
	for _, h := range a.list() {
		if !h.dropped {
			s.resendStops(now, h)
			s.poll(now, h)
		}
	}
	s.dropExpiredJobs(now)
	s.flush(now)
	for _, h := range a.touched {
		a.set(h, s.dueTime(now, h))
	}
	a.touched = a.touched[:0]
}

// nextPlaceTime returns the earliest time of the next round of placement.
func (s *Scheduler) nextPlaceTime() time.Time {
	if !s.crowded() {
		return s.placedAt
	}
	return s.placedAt.Add(_crowdedPlaceInterval * time.Duration(1+s.visited/_manyOccurrences))
}

// Next returns when to send Woken if no other event comes first. It is zero if
// nothing is due.
func (s *Scheduler) Next(now time.Time) time.Time {
	var w earliest
	if s.lost {
		return time.Time{}
	}
	w.add(s.returnAt.time)
	if !s.loaded {
		return w.time
	}
	if s.journal.inFlight == nil {
		w.add(s.journal.due)
	}
	w.add(s.journal.refuseAt.time)
	for _, t := range s.unpolled {
		if t.After(now) {
			w.add(t)
		}
	}
	if s.replan && s.mayStart(now) {
		w.add(s.nextPlaceTime())
	}
	w.add(s.hosts.agenda.next())
	for _, j := range s.upcoming {
		w.add(j.due(len(j.occurrences)))
	}
	if len(s.past) > 0 {
		w.add(s.past[0].endedAt.Add(s.set.StatusRetention))
	}
	w.add(s.adviser.wake.time)
	if s.homes.retryAt.After(now) {
		w.add(s.homes.retryAt)
	}
	w.add(s.placeAt.time)
	return w.time
}

// dueTime returns when an upstream is due next: for a poll or a repeated stop, for the
// lapse of its leases, or for the end of its ejection or draining. It is zero if it
// is never due.
func (s *Scheduler) dueTime(now time.Time, h *host) time.Time {
	var w earliest
	if h.dropped {
		return w.time
	}
	if !h.concurrentPoll && (!h.polling || h.needsConfirmation()) && s.wantsPoll(h) {
		w.add(s.pollTime(h))
	}
	w.add(s.hedgeTime(now, h))
	if s.mayLapse(h) {
		for _, r := range h.runs {
			if t := s.certainEnd(r); t.After(now) {
				w.add(t)
			}
		}
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
	if h.drainedUntil.After(now) {
		w.add(h.drainedUntil)
	}
	return w.time
}

// earliest keeps the earliest of the times added to it; zero times are ignored.
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

// loseOwnership stops the scheduler after a later owner has fenced it off.
func (s *Scheduler) loseOwnership(by string) {
	if s.lost {
		return
	}
	s.lost = true
	s.logNote("Pool lost to a later owner.", "", "token", s.set.Token, "refusedBy", by)
	for _, j := range s.journal.accepting {
		s.dropQueued(j, &link.Answer{Outcome: link.Outcome_OUTCOME_NOT_OWNER})
	}
	s.journal.accepting = nil
	for _, j := range slices.Concat(s.active, s.past) {
		// It is unknown whether the later owner has the job.
		for _, r := range slices.Concat(j.acceptWaiters, j.cancelWaiters) {
			s.reply(r, &link.Answer{Outcome: link.Outcome_OUTCOME_UNKNOWN})
		}
	}
	for _, q := range s.pendingRequests {
		s.refuseNotOwner(q.event)
	}
	s.pendingRequests = nil
	for _, r := range s.homes.requests {
		s.refuseNotOwner(r.event)
	}
	s.homes.requests = nil
}
