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
	_callTimeout  = 2 * time.Second
	_retryFor     = 3 * time.Second
	_retryFirst   = 50 * time.Millisecond
	_retryLongest = time.Second
	_readLimit    = 1000
)

// Client calls the platform. It is safe for concurrent use. The zero value
// reports ErrUnavailable to every call.
type Client struct {
	dialect     Dialect
	callTimeout time.Duration
	retryFor    time.Duration

	mu    sync.Mutex
	heads map[string]uint64 // by stream, the highest offset proved to exist
}

// Option changes a Client while New makes it.
type Option func(*Client)

// WithDialect replaces the dialect; New's base URL is unused then.
func WithDialect(d Dialect) Option {
	return func(c *Client) { c.dialect = d }
}

// WithCallTimeout limits each attempt, 2 s by default. A read gets the time it
// waits for records on top.
func WithCallTimeout(d time.Duration) Option {
	return func(c *Client) { c.callTimeout = d }
}

// WithRetryFor bounds the time during which a failing read is tried again, 3 s
// by default. After it the caller is told of the outage.
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

// Append adds a record to a stream, in one attempt, and returns its offset.
// The record was not appended if the error matches ErrUnavailable (a
// RateLimitError does) or ErrRejected; it may have been, or may yet be, if it
// matches ErrUnknownOutcome.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	o, err := c.dialect.append(ctx, stream, data)
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w", stream, err)
	}
	c.raise(stream, o)
	return o, nil
}

// Read returns records of a stream from an offset on, at least 1. Where there
// are none yet it waits up to wait and then returns an empty batch. It returns
// an *ExpiredError if the record at from was dropped, and an error that
// matches ErrUnavailable once retries did not help; if that matches ErrStale,
// the platform answers but with a head older than it had shown before.
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
	proved := c.head(stream)
	b, err := c.dialect.read(ctx, stream, from, _readLimit, wait)
	if err != nil {
		return Batch{}, err
	}
	if b.Head() < proved {
		return Batch{}, fmt.Errorf("head %d after %d: %w", b.Head(), proved, ErrStale)
	}
	c.raise(stream, b.Head())
	if from < b.First() {
		return Batch{}, &ExpiredError{From: from, First: b.First()}
	}
	if err := checkOrder(b, from); err != nil {
		return Batch{}, err
	}
	return b, nil
}

// Live returns the platform's list of hosts, which may be old: see
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

func (c *Client) raise(stream string, head uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heads == nil {
		c.heads = make(map[string]uint64)
	}
	c.heads[stream] = max(c.heads[stream], head)
}

// checkOrder refuses a batch with a gap or with records not asked for: applied,
// it would leave this reader with another state than the others.
func checkOrder(b Batch, from uint64) error {
	for i, r := range b.Records() {
		if want := from + uint64(i); r.Offset() != want {
			return fmt.Errorf("record %d in place of %d: %w", r.Offset(), want, ErrUnavailable)
		}
	}
	return nil
}

// retry repeats a call that has no effect while the platform is unavailable.
// It returns the last failure also where the context ended the wait, so that
// the caller sees the cause.
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
	b.InitialInterval = _retryFirst
	b.MaxInterval = _retryLongest
	return b
}
