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
	// ErrNotOwner means that another entry runs the pool's broker.
	ErrNotOwner = errors.New("another entry owns the pool")
	// ErrBusy means that the dispatcher's queue is full. The ask was not
	// queued.
	ErrBusy = errors.New("dispatcher queue is full")
)

// notOwner is the answer to an ask for a pool that this entry doesn't own, or
// no longer owns. It embeds a Refuse only to be a broker.Op.
type notOwner struct{ broker.Refuse }

// Dispatcher runs the brokers of one entry. Its exported fields must be set
// before Start.
type Dispatcher struct {
	// Self is this process of the entry.
	Self broker.Entry
	// FetchHolds returns the holds of an entry in a pool, both its own and
	// those that it recorded as a witness. It is called for every registered
	// entry, including this one, each on its own goroutine, and repeated until
	// it succeeds or the term ends.
	FetchHolds func(ctx context.Context, entry, pool string, term uint64) ([]broker.Hold, error)
	// Append writes a record to the keys stream.
	Append func(ctx context.Context, r *keys.Record) error
	// Log is optional.
	Log *log.Logger

	// keysNeeded is set while a request waits for the keys stream.
	// keysNeededSignal gets a value when it becomes set.
	keysNeeded       atomic.Bool
	keysNeededSignal chan struct{}
	duty             *duty.Duty[message]
	stop             context.CancelFunc
	ctx              context.Context
	pools            map[string]*pool
	view             *view.View
	keyLog           keyLog
}

// Start starts the actor.
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

// Stop ends the actor after it has handled the messages in its queue.
func (d *Dispatcher) Stop() {
	d.stop()
	d.duty.Stop()
}

// Ask asks a pool's broker for a slot and waits for the answer: a Grant, a
// Refuse or a Repeat. If the context ends first, the request is cancelled, and
// a grant that was already decided is returned unused.
func (d *Dispatcher) Ask(ctx context.Context, pool string, a broker.Ask) (broker.Op, error) {
	w, err := d.AskAsync(pool, a)
	if err != nil {
		return nil, err
	}
	return w.Wait(ctx)
}

// AskAsync queues an ask and returns without waiting for the answer. A later
// call of Cancel is handled after the ask.
func (d *Dispatcher) AskAsync(pool string, a broker.Ask) (PendingAsk, error) {
	c := make(chan broker.Op, 1)
	if err := d.duty.Post(ask{pool: pool, ask: a, reply: c}); err != nil {
		return PendingAsk{}, fmt.Errorf("%w: %w", ErrBusy, err)
	}
	return PendingAsk{dispatcher: d, pool: pool, request: a.Request, reply: c}, nil
}

// Cancel withdraws a request. The caller must not use a grant for it
// afterwards.
func (d *Dispatcher) Cancel(pool string, request uint64) {
	d.postBlocking(cancel{pool: pool, request: request})
}

// Done returns a slot.
func (d *Dispatcher) Done(pool string, slot uint64, r broker.Result) {
	d.postBlocking(done{pool: pool, slot: slot, result: r})
}

// SetView replaces the view, which is the state of the fleet as this entry has
// applied it, unless the new view is older than the current one.
func (d *Dispatcher) SetView(v *view.View) { d.postBlocking(viewChanged{view: v}) }

// EntryLost notifies the brokers that a process of an entry no longer answers.
func (d *Dispatcher) EntryLost(e broker.Entry) { d.postBlocking(entryLost{entry: e}) }

// ApplyKeys applies the next records of the keys stream.
func (d *Dispatcher) ApplyKeys(l []platform.Record) { d.postBlocking(keysRead{records: l}) }

// postBlocking posts a message that must not be refused. It waits while the
// queue is full. The wait ends because the actor never blocks.
func (d *Dispatcher) postBlocking(m message) {
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

// retryDeferred repeats the asks that wait for a release of their key.
func (d *Dispatcher) retryDeferred(now time.Time, p *pool) {
	l := p.deferred
	p.deferred = nil
	for _, m := range l {
		if _, ok := p.waiting[m.ask.Request]; ok {
			d.ask(now, m)
		}
	}
}

// done returns a slot to the pool's broker. If the request was not sent and the
// broker that granted the slot no longer runs here, done writes a release of the
// key to the keys stream. Only the process that started a key can release it.
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

// tick runs what is due at now.
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

// perform carries out the decisions of a broker.
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

// grant answers the request with a grant, or returns the slot unused if the
// request no longer waits.
func (d *Dispatcher) grant(now time.Time, p *pool, g broker.Grant) {
	if p.reply(g.Request, g) {
		p.slotByRequest[g.Request], p.requestBySlot[g.Slot] = g.Slot, g.Request
		d.keyLog.grant(g)
		return
	}
	d.perform(now, p, p.broker.Done(now, g.Slot, broker.Result{Outcome: broker.NotSent}))
}
