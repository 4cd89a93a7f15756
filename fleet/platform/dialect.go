package platform

import (
	"context"
	"fmt"
	"time"
)

// Dialect implements the protocol of one kind of platform. Each function makes one
// attempt, respects its context and reports failures as errors of this package. A
// call of a nil function returns ErrUnavailable.
type Dialect struct {
	// Append appends a record to a stream and returns its offset. It returns
	// ErrUnavailable only if the record can't have been appended, and
	// ErrUnknownOutcome whenever it may have been.
	Append func(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns at most limit records from an offset on. If there are none, it
	// waits for one, up to wait.
	Read func(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error)
	// Live returns the list of hosts.
	Live func(ctx context.Context) ([]LiveHost, error)
}

func (d Dialect) append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if d.Append == nil {
		return 0, fmt.Errorf("dialect does not implement the call: %w", ErrUnavailable)
	}
	return d.Append(ctx, stream, data)
}

func (d Dialect) read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error) {
	if d.Read == nil {
		return Batch{}, fmt.Errorf("dialect does not implement the call: %w", ErrUnavailable)
	}
	return d.Read(ctx, stream, from, limit, wait)
}

func (d Dialect) live(ctx context.Context) ([]LiveHost, error) {
	if d.Live == nil {
		return nil, fmt.Errorf("dialect does not implement the call: %w", ErrUnavailable)
	}
	return d.Live(ctx)
}
