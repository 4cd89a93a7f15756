package slots

import (
	"context"
	"fmt"
	"time"
)

// WaitKeysIdle waits until no key is being written to the keys stream or read
// from it. A process should call it before it ends. Otherwise a key may stay
// started in the stream although its request never runs.
func (d *Dispatcher) WaitKeysIdle(ctx context.Context) error {
	for {
		c := make(chan bool, 1)
		d.postBlocking(keysIdleRequest{reply: c})
		select {
		case ok := <-c:
			if ok {
				return nil
			}
		case <-ctx.Done():
			return fmt.Errorf("wait for keys: %w", ctx.Err())
		}
		select {
		case <-time.After(_tickInterval):
		case <-ctx.Done():
			return fmt.Errorf("wait for keys: %w", ctx.Err())
		}
	}
}
