package slots

import (
	"context"
	"fmt"

	"fescuelanding/entry/broker"
)

// Wait is an ask that was begun.
type PendingAsk struct {
	dispatcher *Dispatcher
	pool       string
	request    uint64
	reply      <-chan broker.Op
}

// Wait waits for the broker's answer.
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
