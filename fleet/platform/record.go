package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fescuelanding/fleet/wait"
)

// AppendRecord appends a record that carries an id of its own, and tries until
// it stands in the stream or the context ends. Before it appends a second time
// after a lost answer, it reads the stream from after+1 on and looks for a
// record that own accepts; after is an offset that the caller had read up to
// before. It returns the offset of the record.
//
// An append whose answer was lost can still take effect after the look, so the
// record may stand in the stream twice; readers skip the second by its id.
//
// If the context ends first, the error matches ErrUnknownOutcome if any attempt
// may have taken effect, else ErrUnavailable. An error that matches ErrRejected
// is returned at once. Where the records after the offset have expired, whether
// an earlier attempt took effect can no longer be told: the error then matches
// ErrUnknownOutcome and *ExpiredError.
func (c *Client) AppendRecord(
	ctx context.Context, stream string, after uint64, data []byte, own func(data []byte) bool,
) (uint64, error) {
	a := appender{client: c, stream: stream, next: after + 1, data: data, own: own}
	b := newBackOff()
	for {
		o, err := a.step(ctx)
		if err == nil {
			return o, nil
		}
		if a.final(err) {
			return 0, a.outcome(err)
		}
		if !wait.For(ctx, max(b.NextBackOff(), retryAfter(err))) {
			return 0, a.outcome(err)
		}
	}
}

// appender holds what AppendRecord knows between its attempts.
type appender struct {
	client *Client
	stream string
	data   []byte
	own    func(data []byte) bool
	next   uint64 // offset from which the own record is looked for
	lost   bool   // an attempt may have taken effect
}

// step makes one attempt: a look first if an answer was lost, then an append.
func (a *appender) step(ctx context.Context) (uint64, error) {
	if a.lost {
		o, found, err := a.look(ctx)
		if err != nil || found {
			return o, err
		}
	}
	o, err := a.client.Append(ctx, a.stream, a.data)
	if errors.Is(err, ErrUnknownOutcome) {
		a.lost = true
	}
	return o, err
}

// look reads up to the head for the own record.
func (a *appender) look(ctx context.Context) (uint64, bool, error) {
	for {
		b, err := a.client.Read(ctx, a.stream, a.next, 0)
		if err != nil {
			return 0, false, fmt.Errorf("look for own record: %w", err)
		}
		for _, r := range b.Records() {
			if a.own(r.Data()) {
				return r.Offset(), true, nil
			}
		}
		a.next += uint64(len(b.Records()))
		if len(b.Records()) == 0 || a.next > b.Head() {
			return 0, false, nil
		}
	}
}

// final tells whether another attempt can't help.
func (a *appender) final(err error) bool {
	var e *ExpiredError
	return errors.Is(err, ErrRejected) || errors.As(err, &e)
}

// outcome gives the error its truthful type: a lost answer stays unknown
// whatever failed after it.
func (a *appender) outcome(err error) error {
	if a.lost && !errors.Is(err, ErrUnknownOutcome) {
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
