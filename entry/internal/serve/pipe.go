package serve

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/caller"
	"fescuelanding/entry/internal/hold"
	"fescuelanding/entry/keys"
	"fescuelanding/entry/upstream"
)

const (
	// _answerGrace is added to a request's deadline, so that the broker can
	// answer that the request has expired.
	_answerGrace = 50 * time.Millisecond
	// _retryPause is the delay before a call to a broker or an attempt is
	// repeated.
	_retryPause = 10 * time.Millisecond
	// _defaultRetryAfter is the retry time sent to callers if no better one is
	// known.
	_defaultRetryAfter = time.Second
	// _maxAttempts limits the attempts made for one request.
	_maxAttempts = 3
)

// Slots gets slots from brokers and returns them. A broker may run in this
// process or at another entry.
type Slots struct {
	// Ask returns a Grant, a Refuse or a Repeat. An error means that this
	// broker can't answer now. The caller may retry with the same broker or
	// another one.
	Ask func(ctx context.Context, entry, pool string, a broker.Ask) (broker.Op, error)
	// Cancel withdraws an ask. It doesn't wait.
	Cancel func(entry, pool string, request uint64)
	// Done returns a slot.
	Done func(entry, pool string, slot uint64, r broker.Result) error
	// AddWitnessed stores a copy of a hold at another entry, the witness.
	// RemoveWitnessed removes the copy.
	AddWitnessed    func(ctx context.Context, entry, pool string, h broker.Hold) error
	RemoveWitnessed func(entry, pool string, h broker.Hold)
}

// Forwarder serves requests. Its fields must be set before the first one.
type Forwarder struct {
	Self   broker.Entry
	Table  *hold.Table
	Slots  Slots
	Sender *upstream.Sender
	// Now is the clock. If it is nil, time.Now is used.
	Now func() time.Time

	running sync.WaitGroup
}

// Wait returns when no request is in flight and no slot remains to be returned.
func (f *Forwarder) Wait() { f.running.Wait() }

func (f *Forwarder) now() time.Time {
	if f.Now == nil {
		return time.Now()
	}
	return f.Now()
}

// request is the state of one caller's request.
type request struct {
	caller.Request
	forwarder  *Forwarder
	id         uint64
	key        keys.Key
	attempt    int
	triedHosts []string
	// lastEnd is the end (in the sense of caller.End) of the last attempt that
	// failed or may have run. A later refusal must not hide it.
	lastEnd caller.End
}

// Serve forwards a request to an upstream, with several attempts if needed, and
// returns how it ended.
func (f *Forwarder) Serve(ctx context.Context, c caller.Request) caller.End {
	r := &request{Request: c, forwarder: f, id: rand.Uint64(), key: requestKey(c)}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline().Add(_answerGrace))
	defer cancel()
	for {
		asked := f.now()
		g, end := r.acquireSlot(ctx)
		observe("fescue_wait_seconds", r, f.now().Sub(asked))
		if end != nil {
			return r.orLastEnd(end)
		}
		end, retry := r.try(ctx, g)
		if !retry {
			return end
		}
		if _, refused := end.(caller.NotRun); !refused {
			r.lastEnd = end
		}
		if r.attempt >= _maxAttempts {
			return end
		}
	}
}

// orLastEnd returns lastEnd, if set, in place of a refusal: a request that may
// have run must not be reported as not run.
func (r *request) orLastEnd(end caller.End) caller.End {
	if _, refused := end.(caller.NotRun); refused && r.lastEnd != nil {
		return r.lastEnd
	}
	return end
}

// acquireSlot calls the pool's broker until it gets a grant. If the request
// ends without one, it returns that end instead.
func (r *request) acquireSlot(ctx context.Context) (brokerGrant, caller.End) {
	pool := r.Service().Pool
	for {
		if r.refusedAsStale() {
			return brokerGrant{}, caller.NotRun{Reason: "entryCutOff", RetryAfter: _defaultRetryAfter}
		}
		b := r.forwarder.Table.Broker(pool)
		if b.Entry != "" {
			o, err := r.forwarder.Slots.Ask(ctx, b.Entry, pool, r.ask())
			if err == nil {
				return r.grantOrEnd(b, o)
			}
			if ctx.Err() != nil {
				r.forwarder.Slots.Cancel(b.Entry, pool, r.id)
			}
		}
		select {
		case <-ctx.Done():
			return brokerGrant{}, r.timedOut()
		case <-time.After(_retryPause):
		}
	}
}

// refusedAsStale reports whether the request must be refused because the
// entry's view is stale and no grant would be admitted. A keyed request continues
// to wait instead. Another request with the same key may be running, and a
// refusal would report to the caller that nothing has run.
func (r *request) refusedAsStale() bool {
	return r.key.IsZero() && !r.forwarder.Table.IsFresh(r.forwarder.now())
}

// timedOut returns the end of a request that got no slot before its deadline.
// For a keyed request, the outcome is unknown, since another request with its
// key may be running.
func (r *request) timedOut() caller.End {
	if !r.key.IsZero() {
		return caller.Unknown{Status: http.StatusGatewayTimeout, Reason: "deadlineExceeded"}
	}
	return caller.NotRun{Reason: "noSlotInTime", RetryAfter: _defaultRetryAfter}
}

func (r *request) ask() broker.Ask {
	return broker.Ask{
		Request: r.id, Entry: r.forwarder.Self,
		Service: r.Service().Name, Class: r.Class(), Team: r.Team(),
		Key: r.key, Idempotent: r.Idempotent(), Deadline: r.Deadline(),
		Attempt: r.attempt + 1, Exclude: r.triedHosts,
	}
}

// brokerGrant is a grant with the broker that issued it.
type brokerGrant struct {
	broker.Grant
	by hold.Broker
}

// grantOrEnd converts a broker's answer to a grant or an end.
func (r *request) grantOrEnd(b hold.Broker, o broker.Op) (brokerGrant, caller.End) {
	switch o := o.(type) {
	case broker.Grant:
		return brokerGrant{Grant: o, by: b}, nil
	case broker.Refuse:
		return brokerGrant{}, refusal(o)
	case broker.Repeat:
		return brokerGrant{}, repeated(o)
	default:
		return brokerGrant{}, caller.NotRun{Reason: "brokerAnswer", RetryAfter: _defaultRetryAfter}
	}
}

// holdOf returns the hold for a grant of this request.
func (r *request) holdOf(g brokerGrant) broker.Hold {
	return broker.Hold{
		Slot: g.Slot, Request: r.id, Entry: r.forwarder.Self, Host: g.Host,
		Service: r.Service().Name, Class: r.Class(), Team: r.Team(),
		Key: r.key, Term: g.Term, Until: g.Until,
	}
}

// try makes one attempt with a grant. It returns how the attempt ended and
// whether another attempt is safe.
func (r *request) try(ctx context.Context, g brokerGrant) (end caller.End, retry bool) {
	f, pool, h := r.forwarder, r.Service().Pool, r.holdOf(g)
	witness, err := r.addWitnessed(ctx, pool, g, h)
	if err == nil {
		err = f.Table.Admit(f.now(), pool, h)
	}
	if err != nil {
		unused := broker.Result{Outcome: broker.NotSent}
		r.release(pool, witness, h, unused)
		if !r.key.IsZero() && f.Table.Broker(pool).Entry != g.by.Entry {
			// Only the broker that wrote the key to the log can release it.
			f.running.Go(func() { _ = f.Slots.Done(g.by.Entry, pool, h.Slot, unused) })
		}
		return r.notAdmitted(ctx, err)
	}
	r.attempt++
	r.triedHosts = append(r.triedHosts, h.Host)
	return r.send(ctx, pool, witness, h)
}

// notAdmitted returns the end of a request that was not sent because the table
// did not admit it or its hold could not be stored at the witness. It also
// returns whether another attempt is safe.
func (r *request) notAdmitted(ctx context.Context, err error) (caller.End, bool) {
	if errors.Is(err, hold.ErrStale) || errors.Is(err, hold.ErrUnregistered) {
		return r.orLastEnd(caller.NotRun{Reason: "entryCutOff", RetryAfter: _defaultRetryAfter}), false
	}
	select {
	case <-ctx.Done():
		return r.orLastEnd(r.timedOut()), false
	case <-time.After(_retryPause):
		return r.orLastEnd(caller.NotRun{Reason: "brokerChanged", RetryAfter: _defaultRetryAfter}), true
	}
}

// addWitnessed stores a copy of a hold at the pool's witness if this entry is
// both the broker and the holder. Without the copy, no other entry would have a
// record of the hold. It returns the name of the witness, or an empty string if
// none is needed.
func (r *request) addWitnessed(ctx context.Context, pool string, g brokerGrant, h broker.Hold) (string, error) {
	if g.by.Entry != r.forwarder.Self.Name {
		return "", nil
	}
	o, ok := r.forwarder.Table.View().Broker(pool)
	if !ok || o.Witness() == "" {
		return "", nil
	}
	return o.Witness(), r.forwarder.Slots.AddWitnessed(ctx, o.Witness(), pool, h)
}

// release removes a hold and returns its slot to the broker. The witness keeps
// the hold of a lost attempt until it expires, since the upstream may still be
// running the request.
func (r *request) release(pool, witness string, h broker.Hold, res broker.Result) {
	b := r.forwarder.Table.Release(pool, h.Slot, res.Outcome)
	if witness != "" && res.Outcome != broker.Lost {
		r.forwarder.Slots.RemoveWitnessed(witness, pool, h)
	}
	r.forwarder.running.Go(func() { r.reportDone(b, pool, h, res) })
}

// reportDone returns a slot to the pool's broker. On errors, it retries with the
// pool's current broker until the hold expires, and for at least one second. The
// minimum is needed because an attempt may last until its hold expires.
func (r *request) reportDone(b hold.Broker, pool string, h broker.Hold, res broker.Result) {
	for t := r.forwarder.now(); r.forwarder.now().Before(h.Until) || r.forwarder.now().Sub(t) < time.Second; {
		if b.Entry != "" && r.forwarder.Slots.Done(b.Entry, pool, h.Slot, res) == nil {
			return
		}
		time.Sleep(_retryPause)
		b = r.forwarder.Table.Broker(pool)
	}
}

// attemptID returns the identifier of the current attempt for the upstream.
func (r *request) attemptID() string {
	return strconv.FormatUint(r.id, 16) + "-" + strconv.Itoa(r.attempt)
}
