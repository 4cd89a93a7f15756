package platform

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	_callTimeout       = 2 * time.Second
	_retryFor          = 3 * time.Second
	_firstRetryDelay   = 50 * time.Millisecond
	_maxRetryDelay     = time.Second
	_maxRecordsPerRead = 1000
)

// Client is a client of the platform. It is safe for concurrent use. Every call of
// the zero value returns ErrUnavailable.
type Client struct {
	dialect     Dialect
	callTimeout time.Duration
	retryFor    time.Duration

	mu    sync.Mutex
	heads map[string]uint64 // by stream, the highest offset known to exist
}

// Option is an option of New.
type Option func(*Client)

// WithDialect replaces the dialect. New's base URL is then not used.
func WithDialect(d Dialect) Option {
	return func(c *Client) { c.dialect = d }
}

// WithCallTimeout sets the time-out of each attempt, 2 s by default. The time-out of
// a read is longer by the time that it may wait for records.
func WithCallTimeout(d time.Duration) Option {
	return func(c *Client) { c.callTimeout = d }
}

// WithRetryFor sets for how long a failed read is retried, 3 s by default. After that
// the read returns the last error.
func WithRetryFor(d time.Duration) Option {
	return func(c *Client) { c.retryFor = d }
}

// New returns a client of the platform at a base URL such as
// http://127.0.0.1:7100.
func New(baseURL string, opts ...Option) *Client {
	c := &Client{dialect: HTTP(baseURL)}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Append appends a record to a stream, in one attempt, and returns its offset. If the
// error matches ErrUnavailable (as a RateLimitError does) or ErrRejected, the record
// was not appended. If it matches ErrUnknownOutcome, the record may have been
// appended or may still be appended later.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	o, err := c.dialect.append(ctx, stream, data)
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w", stream, err)
	}
	c.raiseHead(stream, o)
	return o, nil
}

// Read returns consecutive records of a stream, starting at the offset from, which must
// be at least 1. If there are none yet, it waits up to wait and then returns an empty
// batch.
//
// It returns an *ExpiredError if the record at from has expired. It returns an error
// that matches ErrUnavailable if the retries failed as well; if the error also
// matches ErrStale, the platform responded, but with a head older than one that it
// returned before.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Batch, error) {
	b, err := retry(ctx, c.retryLimit(), func() (Batch, error) {
		return c.readOnce(ctx, stream, from, wait)
	})
	if err != nil {
		return Batch{}, fmt.Errorf("read %s from %d: %w", stream, from, err)
	}
	return b, nil
}

func (c *Client) readOnce(ctx context.Context, stream string, from uint64, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout())
	defer cancel()
	known := c.head(stream)
	b, err := c.dialect.read(ctx, stream, from, _maxRecordsPerRead, wait)
	if err != nil {
		return Batch{}, err
	}
	if b.Head() < known {
		return Batch{}, fmt.Errorf("head %d after earlier head %d: %w", b.Head(), known, ErrStale)
	}
	c.raiseHead(stream, b.Head())
	if from < b.First() {
		return Batch{}, &ExpiredError{From: from, First: b.First()}
	}
	if err := checkOrder(b, from); err != nil {
		return Batch{}, err
	}
	return b, nil
}

// Live returns the platform's list of hosts. The list may be out of date; see
// LiveHost.AsOf.
func (c *Client) Live(ctx context.Context) ([]LiveHost, error) {
	h, err := retry(ctx, c.retryLimit(), func() ([]LiveHost, error) {
		ctx, cancel := context.WithTimeout(ctx, c.timeout())
		defer cancel()
		return c.dialect.live(ctx)
	})
	if err != nil {
		return nil, fmt.Errorf("read live hosts: %w", err)
	}
	return h, nil
}

func (c *Client) timeout() time.Duration {
	if c.callTimeout <= 0 {
		return _callTimeout
	}
	return c.callTimeout
}

func (c *Client) retryLimit() time.Duration {
	if c.retryFor <= 0 {
		return _retryFor
	}
	return c.retryFor
}

func (c *Client) head(stream string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heads[stream]
}

func (c *Client) raiseHead(stream string, head uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heads == nil {
		c.heads = make(map[string]uint64)
	}
	c.heads[stream] = max(c.heads[stream], head)
}

// checkOrder returns an error if the batch has a gap or records outside the requested
// range. A reader that applied it would reach another state than other readers.
func checkOrder(b Batch, from uint64) error {
	for i, r := range b.Records() {
		if want := from + uint64(i); r.Offset() != want {
			return fmt.Errorf("record %d in place of %d: %w", r.Offset(), want, ErrUnavailable)
		}
	}
	return nil
}

// retry repeats a call while the platform is unavailable. The call must have no side
// effects. If the context ends during a wait, retry returns the last error of the
// call, so that the caller gets the cause.
func retry[T any](ctx context.Context, limit time.Duration, call func() (T, error)) (T, error) {
	var last error
	v, err := backoff.Retry(ctx, func() (T, error) {
		v, err := call()
		last = err
		if err != nil && !errors.Is(err, ErrUnavailable) {
			return v, backoff.Permanent(err)
		}
		return v, err
	}, backoff.WithBackOff(newBackOff()), backoff.WithMaxElapsedTime(limit))
	if err != nil && last != nil {
		return v, last
	}
	return v, err
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = _firstRetryDelay
	b.MaxInterval = _maxRetryDelay
	return b
}
