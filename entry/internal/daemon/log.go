package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/internal/follow"
	"fescuelanding/entry/internal/serve"
	"fescuelanding/entry/internal/slots"
	"fescuelanding/entry/keys"
	"fescuelanding/fleet"
	"fescuelanding/fleet/platform"
	"fescuelanding/fleet/record"
)

const (
	_keysPollTimeout       = 500 * time.Millisecond
	_keysRetryDelay        = 100 * time.Millisecond
	_keysReadDelay         = time.Second
	_defaultStalenessBound = 5 * time.Second
)

// stalenessBound returns how long the entry may act on a view after the log was
// last read to its head.
func (d *Daemon) stalenessBound() time.Duration {
	if t := d.table.View().Config().Fleet().StalenessBound(); t > 0 {
		return t
	}
	return _defaultStalenessBound
}

func (d *Daemon) readFleet(ctx context.Context, from uint64, wait time.Duration) (platform.Batch, error) {
	b, err := d.platform.Read(ctx, follow.Stream, from, wait)
	if err != nil {
		return b, fmt.Errorf("read fleet: %w", err)
	}
	return b, nil
}

// appendRecord appends a record and returns once the log has it. The record's
// basis, which is the offset of the last record about the same object, is taken
// from the present state. Whether the fleet's state accepts the record is decided
// when it is applied.
func (d *Daemon) appendRecord(ctx context.Context, r *record.Record) error {
	d.follower.WithState(func(s *fleet.State) { r.Basis = s.Basis(r) })
	r.AtUnixMs = time.Now().UnixMilli()
	_, err := d.appendWithBasis(ctx, r)
	return err
}

// appendWithBasis appends a record whose basis is set, and returns its offset.
// After a lost response, the platform client searches the log for the record's ID
// before it appends the record again.
func (d *Daemon) appendWithBasis(ctx context.Context, r *record.Record) (uint64, error) {
	r.Id = record.NewID()
	r.Writer = d.self.Name
	b, err := proto.Marshal(r)
	if err != nil {
		return 0, fmt.Errorf("encode record: %w", err)
	}
	o, err := d.platform.AppendRecord(ctx, follow.Stream, d.follower.Offset(), b, func(data []byte) bool {
		var m record.Record
		return proto.Unmarshal(data, &m) == nil && bytes.Equal(m.GetId(), r.GetId())
	})
	if err != nil {
		return 0, fmt.Errorf("append record: %w", err)
	}
	return o, nil
}

// appendKeys appends a record to the stream of idempotency keys. It doesn't retry:
// if it is uncertain whether an append succeeded, the requests with the record's
// keys are refused.
func (d *Daemon) appendKeys(ctx context.Context, r *keys.Record) error {
	b, err := proto.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode keys: %w", err)
	}
	if _, err := d.platform.Append(ctx, slots.KeysStream, b); err != nil {
		return fmt.Errorf("append keys: %w", err)
	}
	return nil
}

// followKeys passes the records of the keys stream to the dispatcher. It skips
// records that the platform has expired, since their keys have expired as well.
func (d *Daemon) followKeys(ctx context.Context) {
	next := uint64(1)
	for ctx.Err() == nil {
		b, err := d.platform.Read(ctx, slots.KeysStream, next, _keysPollTimeout)
		var expired *platform.ExpiredError
		switch {
		case errors.As(err, &expired):
			next = expired.First
		case err != nil:
			select {
			case <-ctx.Done():
			case <-time.After(_keysRetryDelay):
			}
		case len(b.Records()) > 0:
			d.dispatcher.ApplyKeys(b.Records())
			next = b.Records()[len(b.Records())-1].Offset() + 1
			d.delayKeysRead(ctx)
		}
	}
}

// delayKeysRead waits before the next read of the keys stream, so that each read
// returns many records. It doesn't wait while the dispatcher expects a record that
// it needs from the stream.
func (d *Daemon) delayKeysRead(ctx context.Context) {
	if d.dispatcher.KeysNeeded() {
		return
	}
	t := time.NewTimer(_keysReadDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-d.dispatcher.KeysNeededSignal():
	}
}

// slots returns the slot operations of the forwarder. They call this entry's
// dispatcher if this entry is the broker, and the broker's entry otherwise.
func (d *Daemon) slots() serve.Slots {
	return serve.Slots{
		Ask: func(ctx context.Context, entry, pool string, a broker.Ask) (broker.Op, error) {
			if entry == d.self.Name {
				return d.dispatcher.Ask(ctx, pool, a)
			}
			return d.remote.Ask(ctx, entry, pool, a)
		},
		Cancel: func(entry, pool string, request uint64) {
			if entry == d.self.Name {
				d.dispatcher.Cancel(pool, request)
				return
			}
			d.remote.Cancel(entry, pool, request)
		},
		Done: func(entry, pool string, slot uint64, r broker.Result) error {
			if entry == d.self.Name {
				d.dispatcher.Done(pool, slot, r)
				return nil
			}
			return d.remote.Done(entry, pool, slot, r)
		},
		AddWitnessed:    d.remote.AddWitnessed,
		RemoveWitnessed: d.remote.RemoveWitnessed,
	}
}
