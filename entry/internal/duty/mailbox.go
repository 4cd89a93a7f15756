package duty

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"
)

// mailbox feeds the library's actor from a ring, on one goroutine that lives
// as long as the duty.
type mailbox[M any] struct {
	ring     *ring[M]
	policy   Policy
	interval time.Duration
	tick     M
	invoker  actor.MessageInvoker
	done     chan struct{}
}

// PostUserMessage implements actor.Mailbox. Messages of other types than the
// duty's are dropped, and a full ring is settled by the policy.
func (b *mailbox[M]) PostUserMessage(message any) {
	if m, ok := message.(M); ok {
		_ = b.ring.push(m, b.policy)
	}
}

// PostSystemMessage implements actor.Mailbox. A duty has no children and no
// supervisor; its start and end are invoked by run.
func (b *mailbox[M]) PostSystemMessage(message any) {
	if _, ok := message.(*actor.Stop); ok {
		b.ring.close()
	}
}

// RegisterHandlers implements actor.Mailbox. The dispatcher stays unused, for
// it starts a goroutine for each burst of messages.
func (b *mailbox[M]) RegisterHandlers(invoker actor.MessageInvoker, _ actor.Dispatcher) {
	b.invoker = invoker
}

// Start implements actor.Mailbox.
func (b *mailbox[M]) Start() { go b.run() }

// UserMessageCount implements actor.Mailbox.
func (b *mailbox[M]) UserMessageCount() int {
	n, _ := b.ring.counts()
	return n
}

func (b *mailbox[M]) run() {
	defer close(b.done)
	b.invoker.InvokeSystemMessage(&actor.Started{})
	ticks, stop := b.ticker()
	defer stop()
	for {
		b.deliverDueTick(ticks)
		m, ok, ended := b.ring.pop()
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

// fire invokes a tick that is due, so that a busy ring doesn't hold it up.
func (b *mailbox[M]) deliverDueTick(ticks <-chan time.Time) {
	select {
	case <-ticks:
		b.invoker.InvokeUserMessage(b.tick)
	default:
	}
}

// wait sleeps until a message or a tick is due.
func (b *mailbox[M]) wait(ticks <-chan time.Time) {
	select {
	case <-b.ring.wake:
	case <-ticks:
		b.invoker.InvokeUserMessage(b.tick)
	}
}
