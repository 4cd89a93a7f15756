package scheduler

import (
	"time"

	"fescuelanding/entry/link"
)

// pendingRequest is a request that waits until the journal and the list are
// known.
type pendingRequest struct {
	event Event
	// returnAt is when the request is sent back if it still waits; zero for never.
	returnAt time.Time
}

// addPending queues a request that can't be handled yet.
func (s *Scheduler) addPending(now time.Time, e Event) {
	p := pendingRequest{event: e}
	if x, ok := e.(Submitted); ok {
		p.returnAt = decideBy(now, x.AnswerBy)
		s.returnAt.add(p.returnAt)
	}
	s.pendingRequests = append(s.pendingRequests, p)
}

// returnPending sends submissions back that wait for the journal or the list, before their attempts
// end. The attempt has no effect, so that an answer to a later one is final. Whether a former owner
// has accepted the job isn't known yet; the time after which to try again says so.
func (s *Scheduler) returnPending(now time.Time) {
	if t := s.returnAt.time; t.IsZero() || now.Before(t) {
		return
	}
	l := s.pendingRequests
	s.pendingRequests, s.returnAt = nil, earliest{}
	for _, p := range l {
		if x, ok := p.event.(Submitted); ok && !p.returnAt.IsZero() && !now.Before(p.returnAt) {
			s.reply(x.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_NOT_OWNER, RetryAfterMs: _unreadRetry.Milliseconds()})
			continue
		}
		s.pendingRequests = append(s.pendingRequests, p)
		s.returnAt.add(p.returnAt)
	}
}

// _unreadRetry is when a submission to an owner that hasn't read its journal is tried again.
const _unreadRetry = 50 * time.Millisecond
