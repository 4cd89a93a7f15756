package duty

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"
)

// mailbox delivers messages from a ring to the library's actor, on one goroutine
// that runs until the duty stops.
type mailbox[M any] struct {
	ring *ring[M]
	// urgent holds the messages for which isUrgent returns true; both are nil without
	// WithUrgent.
	urgent   *ring[M]
	isUrgent func(M) bool
	// patience is how long the oldest of the other messages may wait until they take turns with urgent
	// ones. urgentLast is set if the last message was urgent.
	patience   time.Duration
	urgentLast bool
	now        func() time.Time
	policy     Policy
	interval   time.Duration
	tick       M
	invoker    actor.MessageInvoker
	done       chan struct{}
}

// PostUserMessage implements actor.Mailbox. It drops messages of types other
// than the duty's. The policy says what happens when the ring is full.
func (b *mailbox[M]) PostUserMessage(message any) {
	if m, ok := message.(M); ok {
		_ = b.push(m)
	}
}

// PostSystemMessage implements actor.Mailbox. It handles only Stop. The other
// system messages are for children and supervisors, which a duty doesn't have,
// or are delivered by run.
func (b *mailbox[M]) PostSystemMessage(message any) {
	if _, ok := message.(*actor.Stop); ok {
		b.close()
	}
}

func (b *mailbox[M]) push(m M) error {
	if b.isUrgent != nil && b.isUrgent(m) {
		return b.urgent.push(b.now(), m, b.policy)
	}
	return b.ring.push(b.now(), m, b.policy)
}

// pop removes and returns the next message: an urgent one if there is any, unless it is the turn of the
// others. ok is false if there is none; ended is true if there will be none either.
func (b *mailbox[M]) pop() (m M, ok, ended bool) {
	if b.urgent == nil {
		return b.ring.pop()
	}
	if !b.urgentLast || !b.ring.late(b.now(), b.patience) {
		if m, ok, _ := b.urgent.pop(); ok {
			b.urgentLast = true
			return m, true, false
		}
	}
	b.urgentLast = false
	return b.ring.pop()
}

func (b *mailbox[M]) close() {
	if b.urgent != nil {
		b.urgent.close()
	}
	b.ring.close()
}

// counts returns the number of messages waiting, and of those refused or dropped so far.
func (b *mailbox[M]) counts() (waiting int, lost uint64) {
	waiting, lost = b.ring.counts()
	if b.urgent != nil {
		n, l := b.urgent.counts()
		waiting, lost = waiting+n, lost+l
	}
	return waiting, lost
}

// RegisterHandlers implements actor.Mailbox. It ignores the dispatcher, which
// would start a goroutine for each burst of messages.
func (b *mailbox[M]) RegisterHandlers(invoker actor.MessageInvoker, _ actor.Dispatcher) {
	b.invoker = invoker
}

// Start implements actor.Mailbox.
func (b *mailbox[M]) Start() { go b.run() }

// UserMessageCount implements actor.Mailbox.
func (b *mailbox[M]) UserMessageCount() int {
	n, _ := b.counts()
	return n
}

func (b *mailbox[M]) run() {
	defer close(b.done)
	b.invoker.InvokeSystemMessage(&actor.Started{})
	ticks, stop := b.ticker()
	defer stop()
	for {
		b.deliverDueTick(ticks)
		m, ok, ended := b.pop()
		switch {
		case ok:
			b.invoker.InvokeUserMessage(m)
		case ended:
			b.invoker.InvokeSystemMessage(&actor.Stop{})
			return
		default:
			b.wait(ticks)
		}
	}
}

func (b *mailbox[M]) ticker() (<-chan time.Time, func()) {
	if b.interval <= 0 {
		return nil, func() {}
	}
	t := time.NewTicker(b.interval)
	return t.C, t.Stop
}

// deliverDueTick delivers a tick if one is due, so that a busy ring doesn't delay
// it.
func (b *mailbox[M]) deliverDueTick(ticks <-chan time.Time) {
	select {
	case <-ticks:
		b.invoker.InvokeUserMessage(b.tick)
	default:
	}
}

// wait blocks until the ring may have a message or a tick is due, and delivers
// the tick.
func (b *mailbox[M]) wait(ticks <-chan time.Time) {
	select {
	case <-b.ring.wake:
	case <-ticks:
		b.invoker.InvokeUserMessage(b.tick)
	}
}
