package follow

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"fescuelanding/entry/internal/view"
	"fescuelanding/fleet"
	"fescuelanding/fleet/platform"
	"fescuelanding/fleet/record"
)

var (
	// ErrNoCheckpoint means that the log has dropped records this entry needs,
	// and holds no complete checkpoint in their place.
	ErrNoCheckpoint = errors.New("log holds no complete checkpoint")
	// ErrNotAhead means that a checkpoint isn't ahead of the state.
	ErrNotAhead = errors.New("checkpoint is not ahead")
)

// recover takes the state of the newest complete checkpoint in the log, where
// that is ahead of the own state. The records behind it are read as usual.
func (f *Follower) recover(ctx context.Context, first uint64) error {
	var a fleet.Assembler
	var whole []*record.Checkpoint
	for from := first; ; {
		b, err := f.Read(ctx, from, 0)
		if err != nil {
			return fmt.Errorf("read checkpoint: %w", err)
		}
		for _, r := range b.Records() {
			if l := add(&a, r); l != nil {
				whole = l
			}
			from = r.Offset() + 1
		}
		if len(b.Records()) == 0 || from > b.Head() {
			break
		}
	}
	// Whatever follows the checkpoint has to be retained still.
	if len(whole) == 0 || whole[0].GetAtOffset()+1 < first {
		return ErrNoCheckpoint
	}
	if err := f.Restore(whole); err != nil {
		return fmt.Errorf("%w: %w", ErrNoCheckpoint, err)
	}
	return nil
}

// Restore replaces the state by that of a whole checkpoint, as it came from the
// log or from a peer. It returns ErrNotAhead where the checkpoint is not ahead
// of the state, which never goes back, and fleet.ErrCheckpoint where chunks are
// missing or damaged. The log's head isn't proved by it.
func (f *Follower) Restore(chunks []*record.Checkpoint) error {
	s, err := fleet.Restore(chunks)
	if err != nil {
		return fmt.Errorf("restore checkpoint: %w", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Offset() <= f.current().Offset() {
		return ErrNotAhead
	}
	f.state = s
	f.recent = nil
	f.Publish(view.New(s))
	return nil
}

// add gives the chunk in a record to the assembler, and returns the checkpoint
// that it makes whole. Other records, and damaged ones, are passed over.
func add(a *fleet.Assembler, r platform.Record) []*record.Checkpoint {
	var m record.Record
	if proto.Unmarshal(r.Data(), &m) != nil || m.GetCheckpoint() == nil {
		return nil
	}
	return a.Add(m.GetCheckpoint())
}
