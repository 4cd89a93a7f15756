package broker

import (
	"time"

	"fescuelanding/entry/keys"
)

// handleRepeat handles a request whose idempotency key was used before. If a
// request with the same key is in progress, the new one becomes its follower. If
// the journal has a start of the key that can't be reused, the new request gets
// the outcome of the earlier one. Without a key journal it refuses every request
// that needs one. It reports whether it did any of these.
func (b *Broker) handleRepeat(now time.Time, r *request) bool {
	if !r.needsJournal() {
		return false
	}
	if b.keys == nil {
		b.refuse(now, r, KeysUnavailable)
		return true
	}
	if first := b.inProgress[r.Key]; first != nil {
		b.addFollower(first, r)
		return true
	}
	if b.keys.Started(r.Key) && !b.keys.Reusable(r.Key) {
		b.repeat(r)
		return true
	}
	return false
}

// addFollower makes r a follower of first, the request in progress with the
// same key. It gets its answer after first has ended.
func (b *Broker) addFollower(first, r *request) {
	r.stage = _following
	b.requests[r.Request] = r
	first.followers = append(first.followers, r)
}

func (b *Broker) repeat(r *request) {
	o, a := b.keys.Outcome(r.Key)
	b.emit(Repeat{Request: r.Request, Entry: r.Entry, Outcome: o, Answer: a})
}

// readmitFollowers handles the followers of a request that has ended like new
// requests.
func (b *Broker) readmitFollowers(now time.Time, r *request) {
	fs := r.followers
	r.followers = nil
	for _, f := range fs {
		if f.cancelled {
			continue
		}
		delete(b.requests, f.Request)
		if b.handleRepeat(now, f) {
			continue
		}
		if reason := b.admit(now, f); reason != ReasonNone {
			b.refuse(now, f, reason)
			continue
		}
		b.enqueue(f)
	}
}

// grantKeyed grants a request with an idempotency key, for which a slot is
// reserved. It grants at once if this process started the key before and nothing
// was run for it, as the key may then be reused. If the key was started in the
// meantime, it repeats the outcome of that start. Otherwise it emits a Journal op
// for the key, and the slot stays reserved.
func (b *Broker) grantKeyed(now time.Time, r *request) {
	if b.keys.Reuse(r.Key) {
		b.grant(now, r)
		return
	}
	if b.keys.Started(r.Key) {
		b.unreserve(r)
		b.repeatAll(r)
		return
	}
	r.stage = _journaling
	b.emit(Journal{Request: r.Request, Key: r.Key, Term: b.term})
}

// Journaled handles the result of a [Journal] op for the request with that id.
func (b *Broker) Journaled(now time.Time, id uint64, res JournalResult) []Op {
	b.start(now)
	r := b.requests[id]
	if r == nil || r.stage != _journaling {
		return nil
	}
	switch {
	case res == JournalStarted && !r.cancelled && !now.After(r.Deadline):
		b.grant(now, r)
	case res == JournalStarted:
		b.keys.Finish(r.Key, keys.NotRun, nil)
		b.abandon(now, r, Expired)
	case res == JournalDuplicate:
		b.unreserve(r)
		b.repeatAll(r)
	default:
		b.abandon(now, r, KeysUnavailable)
	}
	b.dispatch(now)
	return b.flush()
}

// abandon ends a request that has a reserved slot, without a run.
func (b *Broker) abandon(now time.Time, r *request, reason Reason) {
	b.unreserve(r)
	cancelled := r.cancelled
	b.removeRequest(r)
	if !cancelled {
		b.refuse(now, r, reason)
	}
	b.readmitFollowers(now, r)
}

// repeatAll ends a request and its followers with the outcome of the key's
// earlier run.
func (b *Broker) repeatAll(r *request) {
	cancelled := r.cancelled
	b.removeRequest(r)
	if !cancelled {
		b.repeat(r)
	}
	for _, f := range r.followers {
		if !f.cancelled {
			b.removeRequest(f)
			b.repeat(f)
		}
	}
	r.followers = nil
}

// recordKeyOutcome stores the outcome of a keyed run and readmits the
// followers of its request.
func (b *Broker) recordKeyOutcome(now time.Time, h *hold, res Result) {
	if h.Key.IsZero() || h.outcomeRecorded || b.keys == nil {
		return
	}
	h.outcomeRecorded = true
	switch res.Outcome {
	case NotSent, Unreachable:
		if h.Term == b.term {
			b.keys.Finish(h.Key, keys.NotRun, nil)
		}
	case Answered:
		b.keys.Finish(h.Key, keys.Answered, res.Answer)
	case Failed:
		b.keys.Finish(h.Key, keys.Failed, res.Answer)
	case Lost:
		b.keys.Finish(h.Key, keys.Unknown, nil)
	}
	r := h.request
	if r == nil {
		return
	}
	b.removeRequest(r)
	b.readmitFollowers(now, r)
}
