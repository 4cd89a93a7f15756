// Package wait sleeps for a duration or until a context ends:
//
//	for wait.For(ctx, interval) {
//		poll(ctx)
//	}
package wait

import (
	"context"
	"time"
)

// For waits until d has elapsed or ctx ends, and reports whether d elapsed first.
// If d is zero or less, it returns at once and reports whether ctx is still active.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
