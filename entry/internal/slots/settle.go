package slots

import (
	"context"
	"fmt"
	"time"
)

// Settle waits until no key is on its way to or from the log, so that a process
// that ends leaves none started for nothing.
func (d *Dispatcher) WaitKeysIdle(ctx context.Context) error {
	for {
		c := make(chan bool, 1)
		d.must(idle{reply: c})
		select {
		case ok := <-c:
			if ok {
				return nil
			}
		case <-ctx.Done():
			return fmt.Errorf("settle keys: %w", ctx.Err())
		}
		select {
		case <-time.After(_tick):
		case <-ctx.Done():
			return fmt.Errorf("settle keys: %w", ctx.Err())
		}
	}
}
