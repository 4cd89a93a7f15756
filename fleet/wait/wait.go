// Package wait pauses for a while, or until a context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d, which may be zero or less, and reports whether ctx goes on.
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
