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
	_keysWait       = 500 * time.Millisecond
	_keysPause      = 100 * time.Millisecond
	_keysRest       = time.Second
	_stalenessBound = 5 * time.Second
)

// stalenessBound returns how long the entry may act on a view that it can't
// prove to be the newest.
func (d *Daemon) stalenessBound() time.Duration {
	if t := d.table.View().Config().Fleet().StalenessBound(); t > 0 {
		return t
	}
	return _stalenessBound
}

func (d *Daemon) readFleet(ctx context.Context, from uint64, wait time.Duration) (platform.Batch, error) {
	b, err := d.platform.Read(ctx, follow.Stream, from, wait)
	if err != nil {
		return b, fmt.Errorf("read fleet: %w", err)
	}
	return b, nil
}

// append writes a record, its basis taken from the present state, and returns
// once it stands in the log. Whether it was accepted shows when it is applied.
func (d *Daemon) append(ctx context.Context, r *record.Record) error {
	d.follower.WithState(func(s *fleet.State) { r.Basis = s.Basis(r) })
	r.AtUnixMs = time.Now().UnixMilli()
	_, err := d.appendAs(ctx, r)
	return err
}

// appendAs writes a record whose basis is set, and returns its offset.
func (d *Daemon) appendAs(ctx context.Context, r *record.Record) (uint64, error) {
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

// appendKeys writes a record of the keys stream, once: a key is refused where
// it isn't known whether its record stands there.
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

// followKeys reads the keys stream into the dispatcher. Where its beginning has
// expired, so have the keys there.
func (d *Daemon) followKeys(ctx context.Context) {
	next := uint64(1)
	for ctx.Err() == nil {
		b, err := d.platform.Read(ctx, slots.KeysStream, next, _keysWait)
		var expired *platform.ExpiredError
		switch {
		case errors.As(err, &expired):
			next = expired.First
		case err != nil:
			select {
			case <-ctx.Done():
			case <-time.After(_keysPause):
			}
		case len(b.Records()) > 0:
			d.dispatcher.ApplyKeys(b.Records())
			next = b.Records()[len(b.Records())-1].Offset() + 1
			d.restKeys(ctx)
		}
	}
}

// restKeys waits before the keys stream is read again, unless somebody waits for
// it: entries that only keep up with it take many records at once.
func (d *Daemon) restKeys(ctx context.Context) {
	if d.dispatcher.KeysNeeded() {
		return
	}
	t := time.NewTimer(_keysRest)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-d.dispatcher.KeysNeededSignal():
	}
}

// slots asks this entry's dispatcher or another entry, whichever is the broker.
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
