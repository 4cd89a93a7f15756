package owner

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/entry/internal/duty"
	"fescuelanding/entry/scheduler"
)

// TestStopAnswerLostInFullQueue checks that the answer to an order isn't dropped while the queue of
// events is full. A run whose stop had no answer was never stopped again.
func TestStopAnswerLostInFullQueue(t *testing.T) {
	const size = 4
	busy, seen := make(chan struct{}), make(chan scheduler.Event, 3*size)
	d, err := duty.Spawn(duty.System(nil), "owner.test", size, duty.Refuse, func(_ time.Time, e scheduler.Event) {
		<-busy
		seen <- e
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := &Owner{duty: d, ctx: ctx}
	for d.Post(scheduler.Woken{}) == nil {
		time.Sleep(time.Millisecond) // The duty takes the first one out of its queue.
	}
	lost := d.Lost()
	delivered := make(chan struct{})
	go func() {
		o.deliver(scheduler.Ordered{Op: scheduler.Stop{Task: "task"}})
		close(delivered)
	}()
	for d.Lost() == lost {
		time.Sleep(time.Millisecond) // until the full queue has refused the answer once
	}
	close(busy)
	<-delivered
	d.Stop()
	close(seen)
	for e := range seen {
		if _, ok := e.(scheduler.Ordered); ok {
			return
		}
	}
	t.Error("the answer was dropped")
}
