package slots

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/charmbracelet/log"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/internal/duty"
	"fescuelanding/entry/internal/view"
	"fescuelanding/entry/keys"
	"fescuelanding/fleet/platform"
)

var (
	// ErrNotOwner means that the pool's broker runs elsewhere.
	ErrNotOwner = errors.New("another entry owns the pool")
	// ErrBusy means that the dispatcher's ring is full; nothing was asked.
	ErrBusy = errors.New("dispatcher is busy")
)

// notOwner answers asks of a pool that isn't owned, or not any more.
type notOwner struct{ broker.Refuse }

// Dispatcher runs the brokers of one entry. Its fields are set before Start.
type Dispatcher struct {
	// Self is the process that owns.
	Self broker.Entry
	// FetchHolds asks an entry, this one included, for what it holds and has
	// witnessed in a pool. It is called on goroutines of its own, again and
	// again until it succeeds or the term ends.
	FetchHolds func(ctx context.Context, entry, pool string, term uint64) ([]broker.Hold, error)
	// Append writes a record to the keys stream.
	Append func(ctx context.Context, r *keys.Record) error
	// Log receives what is worth noting; it may be nil.
	Log *log.Logger

	// reading is set while keys are waited for; news tells that it begins.
	reading atomic.Bool
	news    chan struct{}
	duty    *duty.Duty[message]
	stop    context.CancelFunc
	ctx     context.Context
	pools   map[string]*pool
	view    *view.View
	keyLog  keyLog
}

// Start begins the duty.
func (d *Dispatcher) Start(s *actor.ActorSystem) error {
	d.ctx, d.stop = context.WithCancel(context.Background())
	d.pools = map[string]*pool{}
	d.view = &view.View{}
	d.keyLog.waiting = map[keys.Key]awaiting{}
	d.news = make(chan struct{}, 1)
	d.keyLog.begun, d.keyLog.held = map[uint64]start{}, map[uint64]start{}
	u, err := duty.Spawn(s, "slots", _ring, duty.Refuse, d.handle, duty.WithTick[message](_tick, tick{}))
	if err != nil {
		return fmt.Errorf("start slots: %w", err)
	}
	d.duty = u
	return nil
}

// Stop ends the duty after what was posted.
func (d *Dispatcher) Stop() {
	d.stop()
	d.duty.Stop()
}

// Ask asks a pool's broker for a slot and waits for its answer: a Grant, a
// Refuse or a Repeat. Where the context ends first, the request is cancelled and
// a grant that comes later goes back unused.
func (d *Dispatcher) Ask(ctx context.Context, pool string, a broker.Ask) (broker.Op, error) {
	w, err := d.AskAsync(pool, a)
	if err != nil {
		return nil, err
	}
	return w.Wait(ctx)
}

// Begin asks without waiting. A Cancel that follows finds the ask.
func (d *Dispatcher) AskAsync(pool string, a broker.Ask) (PendingAsk, error) {
	c := make(chan broker.Op, 1)
	if err := d.duty.Post(ask{pool: pool, ask: a, reply: c}); err != nil {
		return PendingAsk{}, fmt.Errorf("%w: %w", ErrBusy, err)
	}
	return PendingAsk{dispatcher: d, pool: pool, request: a.Request, reply: c}, nil
}

// Cancel takes a request out of the queue. The asker must not use a grant of
// it any more.
func (d *Dispatcher) Cancel(pool string, request uint64) {
	d.must(cancel{pool: pool, request: request})
}

// Done gives a slot back.
func (d *Dispatcher) Done(pool string, slot uint64, r broker.Result) {
	d.must(done{pool: pool, slot: slot, result: r})
}

// Show gives the dispatcher a newer view.
func (d *Dispatcher) SetView(v *view.View) { d.must(shown{view: v}) }

// Lost tells the dispatcher that a process of an entry is silent.
func (d *Dispatcher) EntryLost(e broker.Entry) { d.must(lost{entry: e}) }

// Read gives the dispatcher the next records of the keys stream.
func (d *Dispatcher) ApplyKeys(l []platform.Record) { d.must(read{records: l}) }

// must posts what can't be refused: it waits while the ring is full. The duty
// waits for nobody, so that this ends.
func (d *Dispatcher) must(m message) {
	for errors.Is(d.duty.Post(m), duty.ErrFull) {
		time.Sleep(_poll)
	}
}

// handle applies one message.
func (d *Dispatcher) handle(now time.Time, m message) {
	switch m := m.(type) {
	case ask:
		d.ask(now, m)
	case done:
		d.done(now, m)
	case cancel:
		d.cancel(now, m)
	case shown:
		d.shown(now, m.view)
	case reported:
		d.reported(now, m)
	case lost:
		for _, p := range d.pools {
			d.perform(now, p, p.broker.EntryLost(now, m.entry))
		}
	case read:
		d.readKeys(now, m.records)
	case written:
		d.written(now, m)
	case inspect:
		m.reply <- d.status()
	case idle:
		m.reply <- d.keyLog.idle()
	case tick:
		d.tick(now)
	}
}

func (d *Dispatcher) ask(now time.Time, m ask) {
	p := d.pools[m.pool]
	if p == nil {
		m.reply <- notOwner{}
		return
	}
	p.waiting[m.ask.Request] = m.reply
	if d.inDoubt(now, p, m.ask.Key) {
		p.doubtful = append(p.doubtful, m)
		return
	}
	d.perform(now, p, p.broker.Ask(now, m.ask))
}

// askAgain asks for the requests whose key was in doubt.
func (d *Dispatcher) askAgain(now time.Time, p *pool) {
	l := p.doubtful
	p.doubtful = nil
	for _, m := range l {
		if _, ok := p.waiting[m.ask.Request]; ok {
			d.ask(now, m)
		}
	}
}

// done gives a slot back. A pool may have another broker by now; a key that
// this process started, and that its holder says it did not use, is released.
func (d *Dispatcher) done(now time.Time, m done) {
	k := d.keyLog.end(m.slot)
	if p := d.pools[m.pool]; p != nil {
		p.forget(m.slot)
		d.perform(now, p, p.broker.Done(now, m.slot, m.result))
		if p.term == k.term {
			return
		}
	}
	if k.offset != 0 && (m.result.Outcome == broker.NotSent || m.result.Outcome == broker.Unreachable) {
		d.keyLog.batcher.AddRelease(k.key, k.offset)
	}
}

func (d *Dispatcher) cancel(now time.Time, m cancel) {
	p := d.pools[m.pool]
	if p == nil {
		return
	}
	p.reply(m.request, notOwner{})
	if slot, ok := p.granted[m.request]; ok {
		p.forget(slot)
		d.perform(now, p, p.broker.Done(now, slot, broker.Result{Outcome: broker.NotSent}))
		return
	}
	d.perform(now, p, p.broker.Cancel(now, m.request))
}

// tick does what time has made due.
func (d *Dispatcher) tick(now time.Time) {
	for _, p := range d.pools {
		if t := p.broker.Next(); !t.IsZero() && !now.Before(t) {
			d.perform(now, p, p.broker.Tick(now))
		}
		d.reportFormerOwner(now, p)
		d.askAgain(now, p)
	}
	d.endDoubts(now)
	d.flushKeys(now)
	d.noteReading(now)
}

// perform carries out what a broker decided.
func (d *Dispatcher) perform(now time.Time, p *pool, ops []broker.Op) {
	for _, o := range ops {
		switch o := o.(type) {
		case broker.Grant:
			d.grant(now, p, o)
		case broker.Refuse:
			p.reply(o.Request, o)
		case broker.Repeat:
			p.reply(o.Request, o)
		case broker.Journal:
			d.journal(now, p, o)
		}
	}
}

// grant answers an asker, or takes the slot back where nobody waits any more.
func (d *Dispatcher) grant(now time.Time, p *pool, g broker.Grant) {
	if p.reply(g.Request, g) {
		p.granted[g.Request], p.requests[g.Slot] = g.Slot, g.Request
		d.keyLog.grant(g)
		return
	}
	d.perform(now, p, p.broker.Done(now, g.Slot, broker.Result{Outcome: broker.NotSent}))
}
