package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fescuelanding/fleet/wait"
)

// AppendRecord appends a record with a unique ID. It retries until the record is in
// the stream or the context ends, and returns the offset of the record.
//
// After a lost response it searches the stream for the record, and appends it again
// only if it is not there. The search starts at the offset lastRead+1: the caller must
// have read the stream up to lastRead before this call. The function isOwn gets the data
// of each record and returns true for the record that is being appended.
//
// An append whose response was lost can still take effect after the search, so the
// record may be in the stream twice. Readers skip the second one by its ID.
//
// If the context ends first, the error matches ErrUnknownOutcome if any attempt may
// have taken effect, else ErrUnavailable. An error that matches ErrRejected is
// returned at once. If the records after lastRead have expired, it is no longer
// possible to find out whether an earlier attempt took effect: the error then matches
// ErrUnknownOutcome and *ExpiredError.
func (c *Client) AppendRecord(
	ctx context.Context, stream string, lastRead uint64, data []byte, isOwn func(data []byte) bool,
) (uint64, error) {
	a := appender{client: c, stream: stream, next: lastRead + 1, data: data, isOwn: isOwn}
	b := newBackOff()
	for {
		o, err := a.attempt(ctx)
		if err == nil {
			return o, nil
		}
		if a.isFinal(err) {
			return 0, a.outcomeError(err)
		}
		if !wait.For(ctx, max(b.NextBackOff(), retryAfter(err))) {
			return 0, a.outcomeError(err)
		}
	}
}

// appender is the state of AppendRecord between its attempts.
type appender struct {
	client  *Client
	stream  string
	data    []byte
	isOwn   func(data []byte) bool
	next    uint64 // offset from which the search for the record continues
	unknown bool   // an attempt may have taken effect
}

// attempt makes one attempt: if a response was lost, it first searches for the record.
func (a *appender) attempt(ctx context.Context) (uint64, error) {
	if a.unknown {
		o, found, err := a.find(ctx)
		if err != nil || found {
			return o, err
		}
	}
	o, err := a.client.Append(ctx, a.stream, a.data)
	if errors.Is(err, ErrUnknownOutcome) {
		a.unknown = true
	}
	return o, err
}

// find searches the stream for the record, up to the head.
func (a *appender) find(ctx context.Context) (uint64, bool, error) {
	for {
		b, err := a.client.Read(ctx, a.stream, a.next, 0)
		if err != nil {
			return 0, false, fmt.Errorf("search for appended record: %w", err)
		}
		for _, r := range b.Records() {
			if a.isOwn(r.Data()) {
				return r.Offset(), true, nil
			}
		}
		a.next += uint64(len(b.Records()))
		if len(b.Records()) == 0 || a.next > b.Head() {
			return 0, false, nil
		}
	}
}

// isFinal reports whether a retry can't succeed after the error.
func (a *appender) isFinal(err error) bool {
	var e *ExpiredError
	return errors.Is(err, ErrRejected) || errors.As(err, &e)
}

// outcomeError makes the error match ErrUnknownOutcome if an attempt may have taken
// effect, whatever error followed.
func (a *appender) outcomeError(err error) error {
	if a.unknown && !errors.Is(err, ErrUnknownOutcome) {
		return fmt.Errorf("append to %s: %w: %w", a.stream, ErrUnknownOutcome, err)
	}
	return err
}

func retryAfter(err error) time.Duration {
	var e *RateLimitError
	if errors.As(err, &e) {
		return e.After
	}
	return 0
}
