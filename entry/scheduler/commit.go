package scheduler

import (
	"hash/fnv"
	"slices"
	"time"

	"fescuelanding/entry/link"
)

// A store that is slow accepts every job, only later; one that is away accepts none. Both show
// as an append without an answer. A job therefore waits as long as it can still be served, and
// the wait that is expected of the store follows from the answers seen.
const (
	// _overdueFactor is the multiple of the expected time from which an append counts as stuck.
	_overdueFactor = 2
	// _refusalMargin is kept of a caller's time to carry a refusal back. A call with less than
	// twice as much left keeps half.
	_refusalMargin = 150 * time.Millisecond
	// _minWait is how long any accepted job may wait, so that a single slow append, as with a
	// lost packet, refuses none.
	_minWait = 250 * time.Millisecond
	// _minStoreRetry and _maxStoreRetry bound the retry delay while the store is away. Many
	// callers have no more than some seconds.
	_minStoreRetry = time.Second
	_maxStoreRetry = 2 * time.Second
	// _slowAppend is the time of an append from which it is logged.
	_slowAppend = 100 * time.Millisecond
	// _probeInterval is the pause before an append that tests whether the store is back.
	_probeInterval = 150 * time.Millisecond
)

// commits tracks how long appends take, and an outage of the store. The zero value expects an
// answer at once.
type commits struct {
	// took is a ring of the times of the last appends that were carried out.
	took [4]time.Duration
	next int
	// failingSince is when the first append was sent of those that the store has refused since
	// it last carried one out; zero for none.
	failingSince time.Time
	// probe is set if an append is wanted although there may be nothing to append.
	probe bool
}

// answered notes an append that was carried out.
func (c *commits) answered(took time.Duration) {
	c.took[c.next%len(c.took)] = took
	c.next++
	c.failingSince, c.probe = time.Time{}, false
}

// refused notes an append, sent at some time, that the store refused.
func (c *commits) refused(sent time.Time) {
	if c.failingSince.IsZero() {
		c.failingSince = sent
	}
	c.probe = true
}

// logSlowAppend logs an append by which a caller notices the store.
func (s *Scheduler) logSlowAppend(now time.Time, b *batch, took time.Duration) {
	if took < _slowAppend && now.Sub(b.sent) < _slowAppend {
		return
	}
	s.logNote("Journal was slow.", "", "batch", b.number, "tookMs", took.Milliseconds(), "sinceMs", now.Sub(b.sent).Milliseconds(),
		"jobs", len(b.accepting), "records", len(b.records), "bytes", b.bytes)
}

// expected returns how long an append is expected to take: the second longest of the last ones, so
// that a single one with a lost packet doesn't count.
func (c *commits) expected() time.Duration {
	l := c.took
	slices.Sort(l[:])
	return l[len(l)-2]
}

// wait predicts when a record that is queued now will be durable. An outage is expected to last
// as long again as it has lasted.
func (n *journal) wait(now time.Time) time.Duration {
	t, rest := n.commits.expected(), time.Duration(0)
	if b := n.inFlight; b != nil {
		age := now.Sub(b.sent)
		if rest = max(0, t-age); age > _overdueFactor*t {
			rest = age
		}
	}
	if f := n.commits.failingSince; !f.IsZero() {
		rest = max(rest, now.Sub(f))
	}
	return rest + t
}

// after returns the backlog when the journal has taken a new job. Until then the pool works on
// what is durable, so that a slow store by itself doesn't show as overload.
func (b backlog) after(d time.Duration) backlog {
	b.waiting -= max(0, min(b.waiting+b.running-b.undurable, b.capacity*d.Seconds()))
	return b
}

// outage returns how long the store hasn't carried out an append that was sent to it.
func (n *journal) outage(now time.Time) time.Duration {
	var d time.Duration
	if n.inFlight != nil {
		d = now.Sub(n.inFlight.sent)
	}
	if f := n.commits.failingSince; !f.IsZero() {
		d = max(d, now.Sub(f))
	}
	return d
}

// decideBy returns by when a request has to be decided on, so that its caller is answered by the
// given time; zero for no limit.
func decideBy(now, answerBy time.Time) time.Time {
	if answerBy.IsZero() {
		return answerBy
	}
	return answerBy.Add(-min(_refusalMargin, max(0, answerBy.Sub(now)/2)))
}

// budgetMs returns the time until the caller has to be answered, in milliseconds; zero for no limit.
func budgetMs(now, answerBy time.Time) int64 {
	if answerBy.IsZero() {
		return 0
	}
	return answerBy.Sub(now).Milliseconds()
}

// boundWait sets until when a new job may wait for its append. A job that would start at once
// may be late, like at admission.
func (s *Scheduler) boundWait(now time.Time, j *job, answerBy time.Time) {
	j.answerBy = decideBy(now, answerBy)
	w := earliest{j.answerBy}
	if !j.longRunning() && !j.recurring() {
		bound := _maxLateness * j.objective
		w.add(latest(j.arrived.Add(bound-j.predicted), now.Add(_minWait)))
	}
	j.waitUntil = w.time
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// addWaiter adds a request to those that wait for a job to be accepted. All of them are
// refused when the first has to be.
func (s *Scheduler) addWaiter(now time.Time, j *job, e Submitted) {
	j.acceptWaiters = append(j.acceptWaiters, e.Ref)
	by := decideBy(now, e.AnswerBy)
	a, w := earliest{j.answerBy}, earliest{j.waitUntil}
	a.add(by)
	w.add(by)
	j.answerBy, j.waitUntil = a.time, w.time
	s.journal.refuseAt.add(by)
}

// awaits reports whether a job can wait until the journal has taken it. If it can't and nothing
// is in flight, the store is probed, since no job will.
func (s *Scheduler) awaits(now time.Time, j *job) bool {
	n := &s.journal
	if j.waitUntil.IsZero() || !now.Add(n.wait(now)).After(j.waitUntil) {
		return true
	}
	if n.inFlight == nil {
		n.commits.probe = true
		n.schedule(now.Add(_probeInterval))
	}
	return false
}

// queueJob queues a job for the next batch.
func (s *Scheduler) queueJob(now time.Time, j *job) {
	s.journal.accepting = append(s.journal.accepting, j)
	s.journal.refuseAt.add(j.waitUntil)
	s.journal.schedule(now.Add(_acceptDelay))
}

// refuseOverdue refuses the queued jobs that have waited for as long as they may.
func (s *Scheduler) refuseOverdue(now time.Time) {
	if t := s.journal.refuseAt.time; t.IsZero() || now.Before(t) {
		return
	}
	s.refuseQueued(now, "append to the journal not answered in time", func(j *job) bool {
		return !j.waitUntil.IsZero() && !now.Before(j.waitUntil)
	})
}

// refuseUnanswerable refuses the queued jobs whose callers won't wait for the answer to an append
// that is sent now. Sent, they would end as unknown.
func (s *Scheduler) refuseUnanswerable(now time.Time) {
	by := now.Add(s.journal.commits.expected())
	s.refuseQueued(now, "append would be answered too late", func(j *job) bool {
		return !j.answerBy.IsZero() && by.After(j.answerBy)
	})
}

// refuseQueued refuses queued jobs. None of them is in an append, so that they never run.
func (s *Scheduler) refuseQueued(now time.Time, why string, refused func(*job) bool) {
	n := &s.journal
	l := n.accepting
	n.accepting, n.refuseAt = nil, earliest{}
	for _, j := range l {
		if !refused(j) {
			n.accepting = append(n.accepting, j)
			n.refuseAt.add(j.waitUntil)
			continue
		}
		retry := s.storeRetry(now, j.def.GetId())
		s.logNote("Job refused.", j.def.GetId(), "why", why, "outageMs", n.outage(now).Milliseconds(),
			"retryAfterMs", retry.Milliseconds())
		s.dropQueued(j, &link.Answer{Outcome: link.Outcome_OUTCOME_UNAVAILABLE, RetryAfterMs: retry.Milliseconds()})
	}
}

// dropQueued forgets a job whose record is in no append, and answers its callers.
func (s *Scheduler) dropQueued(j *job, a *link.Answer) {
	s.active = removeJob(s.active, j)
	if j.durableState == link.JobState_JOB_STATE_UNSPECIFIED {
		delete(s.jobs, j.def.GetId())
		s.past = removeJob(s.past, j)
	} else {
		// The job stays cancelled, should it be submitted again.
		j.durable = true
	}
	for _, r := range slices.Concat(j.acceptWaiters, j.cancelWaiters) {
		s.reply(r, a)
	}
	j.acceptWaiters, j.cancelWaiters = nil, nil
}

// shortenWaits counts a suspension of the process, which the clock left out, in the times until
// which jobs may wait.
func (s *Scheduler) shortenWaits(d time.Duration) {
	n := &s.journal
	n.refuseAt = earliest{}
	for _, j := range n.accepting {
		if !j.answerBy.IsZero() {
			j.answerBy = j.answerBy.Add(-d)
		}
		if !j.waitUntil.IsZero() {
			j.waitUntil = j.waitUntil.Add(-d)
		}
		n.refuseAt.add(j.waitUntil)
	}
}

// storeRetry returns when the caller of a job should return: once the store can be expected
// back, in whole seconds as callers are told, and not at the same moment as all others.
func (s *Scheduler) storeRetry(now time.Time, id string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // hash.Hash.Write never returns an error.
	d := min(max(s.journal.outage(now), _minStoreRetry), _maxStoreRetry)
	return (d + time.Duration(h.Sum32()%1000)*time.Millisecond).Truncate(time.Second)
}
