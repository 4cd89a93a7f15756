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
	// ErrNoCheckpoint means that the log has dropped records that this entry
	// needs, and holds no usable checkpoint to replace them.
	ErrNoCheckpoint = errors.New("log has dropped records and holds no usable checkpoint")
	// ErrNotAhead means that the offset of a checkpoint isn't higher than that
	// of the state.
	ErrNotAhead = errors.New("checkpoint is not ahead of the state")
)

// restoreFromLog replaces the state by that of the newest complete checkpoint in the
// log, if that is ahead of the state. The parameter first is the lowest offset
// that the log still holds. Later steps read the records that follow the
// checkpoint.
func (f *Follower) restoreFromLog(ctx context.Context, first uint64) error {
	var a fleet.Assembler
	var chunks []*record.Checkpoint
	for from := first; ; {
		b, err := f.Read(ctx, from, 0)
		if err != nil {
			return fmt.Errorf("read checkpoint: %w", err)
		}
		for _, r := range b.Records() {
			if l := addChunk(&a, r); l != nil {
				chunks = l
			}
			from = r.Offset() + 1
		}
		if len(b.Records()) == 0 || from > b.Head() {
			break
		}
	}
	// The log must still hold every record that follows the checkpoint.
	if len(chunks) == 0 || chunks[0].GetAtOffset()+1 < first {
		return ErrNoCheckpoint
	}
	if err := f.Restore(chunks); err != nil {
		return fmt.Errorf("%w: %w", ErrNoCheckpoint, err)
	}
	return nil
}

// Restore replaces the state by that of a complete checkpoint, which was read
// from the log or received from a peer. It returns ErrNotAhead if the checkpoint
// is not ahead of the state, because the state's offset never decreases. It
// returns fleet.ErrCheckpoint if chunks are missing or damaged. It doesn't call
// CaughtUp, since a checkpoint doesn't show where the head of the log is.
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

// addChunk adds the chunk in a record to the assembler. It returns the chunks of
// the checkpoint if that is now complete. Records without a chunk and records
// that can't be decoded are skipped.
func addChunk(a *fleet.Assembler, r platform.Record) []*record.Checkpoint {
	var m record.Record
	if proto.Unmarshal(r.Data(), &m) != nil || m.GetCheckpoint() == nil {
		return nil
	}
	return a.Add(m.GetCheckpoint())
}
