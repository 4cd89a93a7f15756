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
	// _answerGrace is how long an ask waits beyond the deadline for the broker's
	// own word that it expired.
	_answerGrace = 50 * time.Millisecond
	// _again is the pause before a broker is asked again.
	_again = 10 * time.Millisecond
	// _comeBack is when to come back where nothing better is known.
	_comeBack = time.Second
	// _maxAttempts bounds the upstreams tried for one request.
	_maxAttempts = 3
)

// Slots asks for slots and gives them back, here or at another entry.
type Slots struct {
	// Ask returns a Grant, a Refuse or a Repeat. An error means that this
	// broker can't answer, and another, or the same later, may.
	Ask func(ctx context.Context, entry, pool string, a broker.Ask) (broker.Op, error)
	// Cancel takes an ask back. It doesn't wait.
	Cancel func(entry, pool string, request uint64)
	// Done gives a slot back.
	Done func(entry, pool string, slot uint64, r broker.Result) error
	// Witness has an entry remember a hold; Unwitness has it forgotten.
	AddWitnessed    func(ctx context.Context, entry, pool string, h broker.Hold) error
	RemoveWitnessed func(entry, pool string, h broker.Hold)
}

// Pipe serves requests. Its fields are set before the first one.
type Forwarder struct {
	Self   broker.Entry
	Table  *hold.Table
	Slots  Slots
	Sender *upstream.Sender
	// Now is the clock; nil stands for time.Now.
	Now func() time.Time

	running sync.WaitGroup
}

// Wait returns once nothing is in flight any more.
func (p *Forwarder) Wait() { p.running.Wait() }

func (p *Forwarder) now() time.Time {
	if p.Now == nil {
		return time.Now()
	}
	return p.Now()
}

// request is a caller's request on its way.
type request struct {
	caller.Request
	pipe    *Forwarder
	id      uint64
	key     keys.Key
	attempt int
	tried   []string
	// last is the end of an attempt that may have run, or that failed; a later
	// refusal must not hide it.
	last caller.End
}

// Serve brings a request to its end.
func (p *Forwarder) Serve(ctx context.Context, c caller.Request) caller.End {
	r := &request{Request: c, pipe: p, id: rand.Uint64(), key: key(c)}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline().Add(_answerGrace))
	defer cancel()
	for {
		asked := p.now()
		g, end := r.slot(ctx)
		observe("fescue_wait_seconds", r, p.now().Sub(asked))
		if end != nil {
			return r.otherwise(end)
		}
		end, again := r.try(ctx, g)
		if !again {
			return end
		}
		if _, refused := end.(caller.NotRun); !refused {
			r.last = end
		}
		if r.attempt >= _maxAttempts {
			return end
		}
	}
}

// otherwise returns the end of an earlier attempt rather than a refusal: what
// may have run must not be called not run.
func (r *request) otherwise(end caller.End) caller.End {
	if _, refused := end.(caller.NotRun); refused && r.last != nil {
		return r.last
	}
	return end
}

// slot asks the pool's broker until it gets a grant or an end.
func (r *request) slot(ctx context.Context) (granted, caller.End) {
	pool := r.Service().Pool
	for {
		if r.cutOff() {
			return granted{}, caller.NotRun{Reason: "entryCutOff", RetryAfter: _comeBack}
		}
		b := r.pipe.Table.Broker(pool)
		if b.Entry != "" {
			o, err := r.pipe.Slots.Ask(ctx, b.Entry, pool, r.ask())
			if err == nil {
				return r.answer(b, o)
			}
			if ctx.Err() != nil {
				r.pipe.Slots.Cancel(b.Entry, pool, r.id)
			}
		}
		select {
		case <-ctx.Done():
			return granted{}, r.gaveUp()
		case <-time.After(_again):
		}
	}
}

// cutOff reports whether the entry's view is stale, so that the gate would
// refuse any grant. A keyed request waits on: another with its key may be
// running, so it must not be told that it was not run.
func (r *request) cutOff() bool {
	return r.key.IsZero() && !r.pipe.Table.IsFresh(r.pipe.now())
}

// gaveUp is the end of a request that waited in vain. Behind a keyed one,
// another request with its key may be running.
func (r *request) gaveUp() caller.End {
	if !r.key.IsZero() {
		return caller.Unknown{Status: http.StatusGatewayTimeout, Reason: "deadlineExceeded"}
	}
	return caller.NotRun{Reason: "noSlotInTime", RetryAfter: _comeBack}
}

func (r *request) ask() broker.Ask {
	return broker.Ask{
		Request: r.id, Entry: r.pipe.Self,
		Service: r.Service().Name, Class: r.Class(), Team: r.Team(),
		Key: r.key, Idempotent: r.Idempotent(), Deadline: r.Deadline(),
		Attempt: r.attempt + 1, Exclude: r.tried,
	}
}

// granted is a grant with the broker that gave it.
type granted struct {
	broker.Grant
	by hold.Broker
}

// answer turns a broker's answer into a grant or an end.
func (r *request) answer(b hold.Broker, o broker.Op) (granted, caller.End) {
	switch o := o.(type) {
	case broker.Grant:
		return granted{Grant: o, by: b}, nil
	case broker.Refuse:
		return granted{}, refusal(o)
	case broker.Repeat:
		return granted{}, repeated(o)
	default:
		return granted{}, caller.NotRun{Reason: "brokerAnswer", RetryAfter: _comeBack}
	}
}

// hold describes a grant as the table keeps it.
func (r *request) hold(g granted) broker.Hold {
	return broker.Hold{
		Slot: g.Slot, Request: r.id, Entry: r.pipe.Self, Host: g.Host,
		Service: r.Service().Name, Class: r.Class(), Team: r.Team(),
		Key: r.key, Term: g.Term, Until: g.Until,
	}
}

// try uses a grant. again says that another attempt does no harm, and end what
// the request comes to without one.
func (r *request) try(ctx context.Context, g granted) (end caller.End, again bool) {
	p, pool, h := r.pipe, r.Service().Pool, r.hold(g)
	witness, err := r.witness(ctx, pool, g, h)
	if err == nil {
		err = p.Table.Admit(p.now(), pool, h)
	}
	if err != nil {
		unused := broker.Result{Outcome: broker.NotSent}
		r.release(pool, witness, h, unused)
		if !r.key.IsZero() && p.Table.Broker(pool).Entry != g.by.Entry {
			// Only the broker that started the key can release it.
			p.running.Go(func() { _ = p.Slots.Done(g.by.Entry, pool, h.Slot, unused) })
		}
		return r.barred(ctx, err)
	}
	r.attempt++
	r.tried = append(r.tried, h.Host)
	return r.send(ctx, pool, witness, h)
}

// barred is the end of a request that the gate did not let through.
func (r *request) barred(ctx context.Context, err error) (caller.End, bool) {
	if errors.Is(err, hold.ErrStale) || errors.Is(err, hold.ErrUnregistered) {
		return r.otherwise(caller.NotRun{Reason: "entryCutOff", RetryAfter: _comeBack}), false
	}
	select {
	case <-ctx.Done():
		return r.otherwise(r.gaveUp()), false
	case <-time.After(_again):
		return r.otherwise(caller.NotRun{Reason: "brokerChanged", RetryAfter: _comeBack}), true
	}
}

// witness has the second entry of the pool remember a hold that only this one
// would know: its broker and its holder are the same.
func (r *request) witness(ctx context.Context, pool string, g granted, h broker.Hold) (string, error) {
	if g.by.Entry != r.pipe.Self.Name {
		return "", nil
	}
	o, ok := r.pipe.Table.View().Broker(pool)
	if !ok || o.Witness() == "" {
		return "", nil
	}
	return o.Witness(), r.pipe.Slots.AddWitnessed(ctx, o.Witness(), pool, h)
}

// release gives a slot back and has its hold forgotten.
func (r *request) release(pool, witness string, h broker.Hold, res broker.Result) {
	b := r.pipe.Table.Release(pool, h.Slot, res.Outcome)
	if witness != "" && res.Outcome != broker.Lost {
		r.pipe.Slots.RemoveWitnessed(witness, pool, h)
	}
	r.pipe.running.Go(func() { r.giveBack(b, pool, h, res) })
}

// giveBack tells the pool's broker, and the next one where it changes.
func (r *request) giveBack(b hold.Broker, pool string, h broker.Hold, res broker.Result) {
	for t := r.pipe.now(); r.pipe.now().Before(h.Until) || r.pipe.now().Sub(t) < time.Second; {
		if b.Entry != "" && r.pipe.Slots.Done(b.Entry, pool, h.Slot, res) == nil {
			return
		}
		time.Sleep(_again)
		b = r.pipe.Table.Broker(pool)
	}
}

// attemptID names one attempt towards the upstream.
func (r *request) attemptID() string {
	return strconv.FormatUint(r.id, 16) + "-" + strconv.Itoa(r.attempt)
}
