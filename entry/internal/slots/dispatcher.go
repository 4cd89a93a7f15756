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

	// keysNeeded is set while keys are waited for; news tells that it begins.
	keysNeeded       atomic.Bool
	keysNeededSignal chan struct{}
	duty             *duty.Duty[message]
	stop             context.CancelFunc
	ctx              context.Context
	pools            map[string]*pool
	view             *view.View
	keyLog           keyLog
}

// Start begins the duty.
func (d *Dispatcher) Start(s *actor.ActorSystem) error {
	d.ctx, d.stop = context.WithCancel(context.Background())
	d.pools = map[string]*pool{}
	d.view = &view.View{}
	d.keyLog.waiting = map[keys.Key]keyWaiter{}
	d.keysNeededSignal = make(chan struct{}, 1)
	d.keyLog.starting, d.keyLog.inUse = map[uint64]startedKey{}, map[uint64]startedKey{}
	u, err := duty.Spawn(s, "slots", _queueSize, duty.Refuse, d.handle, duty.WithTick[message](_tickInterval, tick{}))
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

// AskAsync asks without waiting. A Cancel that follows finds the ask.
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
	d.postWaiting(cancel{pool: pool, request: request})
}

// Done gives a slot back.
func (d *Dispatcher) Done(pool string, slot uint64, r broker.Result) {
	d.postWaiting(done{pool: pool, slot: slot, result: r})
}

// SetView gives the dispatcher a newer view.
func (d *Dispatcher) SetView(v *view.View) { d.postWaiting(viewChanged{view: v}) }

// EntryLost tells the dispatcher that a process of an entry is silent.
func (d *Dispatcher) EntryLost(e broker.Entry) { d.postWaiting(entryLost{entry: e}) }

// ApplyKeys gives the dispatcher the next records of the keys stream.
func (d *Dispatcher) ApplyKeys(l []platform.Record) { d.postWaiting(keysRead{records: l}) }

// postWaiting posts what can't be refused: it waits while the ring is full. The duty
// waits for nobody, so that this ends.
func (d *Dispatcher) postWaiting(m message) {
	for errors.Is(d.duty.Post(m), duty.ErrFull) {
		time.Sleep(_fullQueuePause)
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
	case viewChanged:
		d.handleView(now, m.view)
	case holdsReported:
		d.handleReport(now, m)
	case entryLost:
		for _, p := range d.pools {
			d.perform(now, p, p.broker.EntryLost(now, m.entry))
		}
	case keysRead:
		d.handleKeys(now, m.records)
	case appendDone:
		d.handleAppendDone(now, m)
	case statusRequest:
		m.reply <- d.status()
	case keysIdleRequest:
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
	if d.mayBeReleased(now, p, m.ask.Key) {
		p.deferred = append(p.deferred, m)
		return
	}
	d.perform(now, p, p.broker.Ask(now, m.ask))
}

// retryDeferred asks for the requests whose key was in doubt.
func (d *Dispatcher) retryDeferred(now time.Time, p *pool) {
	l := p.deferred
	p.deferred = nil
	for _, m := range l {
		if _, ok := p.waiting[m.ask.Request]; ok {
			d.ask(now, m)
		}
	}
}

// done gives a slot back. A pool may have another broker by now; a key that
// this process started, and that its holder says it did not use, is released.
func (d *Dispatcher) done(now time.Time, m done) {
	k := d.keyLog.remove(m.slot)
	if p := d.pools[m.pool]; p != nil {
		p.removeSlot(m.slot)
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
	if slot, ok := p.slotByRequest[m.request]; ok {
		p.removeSlot(slot)
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
		d.retryDeferred(now, p)
	}
	d.expireUnconfirmed(now)
	d.flushKeys(now)
	d.updateKeysNeeded(now)
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
		p.slotByRequest[g.Request], p.requestBySlot[g.Slot] = g.Slot, g.Request
		d.keyLog.grant(g)
		return
	}
	d.perform(now, p, p.broker.Done(now, g.Slot, broker.Result{Outcome: broker.NotSent}))
}
