package slots

import (
	"context"
	"fmt"

	"fescuelanding/entry/broker"
)

// PendingAsk is an ask whose answer has not been received.
type PendingAsk struct {
	dispatcher *Dispatcher
	pool       string
	request    uint64
	reply      <-chan broker.Op
}

// Wait returns the broker's answer, or ErrNotOwner if this entry doesn't own
// the pool. If the context ends first, the request is cancelled.
func (w PendingAsk) Wait(ctx context.Context) (broker.Op, error) {
	select {
	case o := <-w.reply:
		if _, ok := o.(notOwner); ok {
			return nil, ErrNotOwner
		}
		return o, nil
	case <-ctx.Done():
		w.dispatcher.Cancel(w.pool, w.request)
		return nil, fmt.Errorf("wait for slot: %w", ctx.Err())
	}
}
