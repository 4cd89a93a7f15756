package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"fescuelanding/fleet"
	"fescuelanding/fleet/platform"
	"fescuelanding/fleet/record"
)

const _stream = "fleet"

var (
	// errLogUnreadable means that the log can't be decoded or applied, or that the
	// state can't be restored from a checkpoint.
	errLogUnreadable = errors.New("log can't be read")
	// errOutcomeUnread means that a record was appended but its outcome could not be
	// read from the log.
	errOutcomeUnread = errors.New("record appended, but its outcome could not be read back; run status before trying again")
)

// history reads the fleet stream and holds the state that results from applying
// the records read so far.
type history struct {
	client *platform.Client
	state  *fleet.State
}

// load reads the stream up to its head. If the first records have expired, it
// starts from a checkpoint.
func load(ctx context.Context, c *platform.Client) (*history, error) {
	h := &history{client: c, state: new(fleet.State)}
	err := h.applyNew(ctx, nil)
	var expired *platform.ExpiredError
	if errors.As(err, &expired) {
		err = h.restoreCheckpoint(ctx, expired.First)
	}
	if err != nil {
		return nil, fmt.Errorf("read fleet: %w", err)
	}
	return h, nil
}

// applyNew applies the records after the last applied offset up to the head. If
// show isn't nil, it is called with each record and the outcome of applying it. If
// a guard, a rule that fleet.State enforces, rejects a record, the outcome is the
// *fleet.Rejection and applyNew continues with the next record.
func (h *history) applyNew(ctx context.Context, show func(offset uint64, r *record.Record, outcome error)) error {
	return h.forEach(ctx, h.state.Offset()+1, func(offset uint64, r *record.Record) error {
		err := h.state.Apply(offset, r)
		var rejection *fleet.Rejection
		if err != nil && !errors.As(err, &rejection) {
			return fmt.Errorf("%w: apply offset %d: %w", errLogUnreadable, offset, err)
		}
		if show != nil {
			show(offset, r, err)
		}
		return nil
	})
}

// restoreCheckpoint restores the newest complete checkpoint that the log retains,
// and applies the records after it. first is the first retained offset.
func (h *history) restoreCheckpoint(ctx context.Context, first uint64) error {
	var a fleet.Assembler
	var complete []*record.Checkpoint
	err := h.forEach(ctx, first, func(_ uint64, r *record.Record) error {
		if c := r.GetCheckpoint(); c != nil {
			if w := a.Add(c); w != nil {
				complete = w
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	// If the state of the checkpoint ends before first-1, records between the two have
	// expired.
	if len(complete) == 0 || complete[0].GetAtOffset()+1 < first {
		return fmt.Errorf("%w: it begins at offset %d and holds no whole checkpoint; try again after the next checkpoint", errLogUnreadable, first)
	}
	if h.state, err = fleet.Restore(complete); err != nil {
		return fmt.Errorf("%w: restore checkpoint: %w", errLogUnreadable, err)
	}
	return h.applyNew(ctx, nil)
}

// forEach calls do for every record from an offset up to the head.
func (h *history) forEach(ctx context.Context, from uint64, do func(uint64, *record.Record) error) error {
	for {
		b, err := h.client.Read(ctx, _stream, from, 0)
		if err != nil {
			return err
		}
		for _, r := range b.Records() {
			m := new(record.Record)
			if err := proto.Unmarshal(r.Data(), m); err != nil {
				return fmt.Errorf("%w: offset %d: %w", errLogUnreadable, r.Offset(), err)
			}
			if err := do(r.Offset(), m); err != nil {
				return err
			}
			from = r.Offset() + 1
		}
		if len(b.Records()) == 0 || from > b.Head() {
			return nil
		}
	}
}

// submit appends a record with its basis, reads it back, and returns its offset.
// The error is a *supersededError if the object was changed after it was read, and
// a *fleet.Rejection if a guard rejected the record.
func (h *history) submit(ctx context.Context, writer string, now time.Time, r *record.Record) (uint64, error) {
	r.Id = record.NewID()
	r.Writer, r.AtUnixMs = writer, now.UnixMilli()
	r.Basis = h.state.Basis(r)
	data, err := proto.Marshal(r)
	if err != nil {
		return 0, fmt.Errorf("marshal record: %w", err)
	}
	own := func(d []byte) bool { return bytes.Equal(d, data) }
	if _, err := h.client.AppendRecord(ctx, _stream, h.state.Offset(), data, own); err != nil {
		return 0, fmt.Errorf("append record: %w", err)
	}
	return h.readBack(ctx, r.GetId())
}

// readBack returns the offset and the outcome of the first record with an id. A
// second record with the same id, appended after a lost answer, has no effect.
func (h *history) readBack(ctx context.Context, id []byte) (uint64, error) {
	var offset uint64
	var outcome error
	err := h.applyNew(ctx, func(o uint64, r *record.Record, err error) {
		if offset == 0 && bytes.Equal(r.GetId(), id) {
			offset, outcome = o, err
		}
	})
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errOutcomeUnread, err)
	}
	if offset == 0 {
		return 0, errOutcomeUnread
	}
	var rejection *fleet.Rejection
	if errors.As(outcome, &rejection) && rejection.Reason() == fleet.ReasonStaleBasis {
		return offset, &supersededError{detail: rejection.Detail()}
	}
	return offset, outcome
}
