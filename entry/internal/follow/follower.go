package follow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	"fescuelanding/entry/internal/view"
	"fescuelanding/fleet"
	"fescuelanding/fleet/platform"
	"fescuelanding/fleet/record"
	"fescuelanding/fleet/wait"
)

const (
	// Stream is the platform's stream of the fleet's records.
	Stream = "fleet"

	_readWait   = 500 * time.Millisecond
	_retryDelay = 100 * time.Millisecond
	// _minRecentRecords is how many of the last records are retained for peers.
	// More are retained, up to twice as many, before the older half is dropped.
	_minRecentRecords = 4096
)

// Follower applies the records of the log to one state. Its function fields
// are set before Run. Read and Publish are required, the others are optional.
type Follower struct {
	// Read returns the records of the stream that start at the offset from. If
	// there are none yet, it waits for new ones, at most for the given time.
	Read func(ctx context.Context, from uint64, wait time.Duration) (platform.Batch, error)
	// Publish is called with the new view after each batch or checkpoint that
	// changed the state, in order. The Follower's lock is held during the call.
	Publish func(*view.View)
	// Push sends records that were read from the log to the peers. The
	// Follower's lock is held during the call.
	Push func([]platform.Record)
	// CaughtUp is called after each read of the log if the state then includes
	// all records up to the head. Its argument is the time at which the read
	// began, since records appended after that may be missing from the state.
	CaughtUp func(at time.Time)
	// Applied is called with each applied record, in order; err is not nil if
	// the record was rejected.
	Applied func(r *record.Record, err error)
	// Now is the clock; time.Now if nil.
	Now func() time.Time
	// Log receives warnings and errors; it may be nil.
	Log *log.Logger

	mu     sync.Mutex
	state  *fleet.State
	recent []platform.Record
}

// Run follows the log until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.warn("Following the log failed; retrying.", err)
			wait.For(ctx, _retryDelay)
		}
	}
}

// step reads one batch and applies its records.
func (f *Follower) step(ctx context.Context) error {
	start := f.now()
	from := f.Offset() + 1
	b, err := f.Read(ctx, from, _readWait)
	var expired *platform.ExpiredError
	if errors.As(err, &expired) {
		return f.restoreFromLog(ctx, expired.First)
	}
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	f.applyAll(b.Records(), true)
	if f.Offset() >= b.Head() && f.CaughtUp != nil {
		f.CaughtUp(start)
	}
	return nil
}

// Offer applies records received from a peer, up to the first gap after the
// state's offset.
func (f *Follower) Offer(l []platform.Record) { f.applyAll(l, false) }

// Offset returns the offset of the last record applied.
func (f *Follower) Offset() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current().Offset()
}

// WithState calls use with the state, which use must not retain or change.
func (f *Follower) WithState(use func(*fleet.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	use(f.current())
}

// Recent returns at most n of the retained records, starting at the offset
// from. It also returns the offsets of the first retained record and of the last
// applied one. The list is empty if from is outside of these two offsets.
func (f *Follower) Recent(from uint64, n int) (l []platform.Record, first, head uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	head = f.current().Offset()
	first = head + 1
	if len(f.recent) > 0 {
		first = f.recent[0].Offset()
	}
	if from < first || from > head {
		return nil, first, head
	}
	l = f.recent[from-first:]
	return l[:min(n, len(l))], first, head
}

// applyAll applies the records that follow the state's offset without a gap, and
// publishes the view. With push set, it also pushes the records to the peers.
func (f *Follower) applyAll(l []platform.Record, push bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current() // Creates the state on first use.
	n, changed := 0, false
	for _, r := range l {
		if r.Offset() <= f.state.Offset() {
			continue
		}
		if r.Offset() != f.state.Offset()+1 {
			break
		}
		changed = f.apply(r) || changed
		n++
	}
	if n == 0 {
		return
	}
	if push && f.Push != nil {
		f.Push(l)
	}
	// If the state was empty before, its offset is now n. It is then published even
	// if all records were rejected, so that the view's offset isn't zero any more.
	if changed || f.state.Offset() <= uint64(n) {
		f.Publish(view.New(f.state))
	}
}

// apply applies one record and reports whether it was accepted.
func (f *Follower) apply(r platform.Record) bool {
	var m record.Record
	if err := proto.Unmarshal(r.Data(), &m); err != nil {
		// An empty record is applied in its place, so that the offset advances
		// in the same way on every entry.
		f.warn("A log record can't be decoded; its change is skipped.", err)
		m = record.Record{}
	}
	err := f.state.Apply(r.Offset(), &m)
	f.retain(r)
	var d *fleet.DigestMismatch
	if errors.As(err, &d) && f.Log != nil {
		f.Log.Error("This entry's state differs from a checkpoint in the log, and the entry keeps its state; an operator must find out which of the two is wrong.", "err", err)
	}
	if f.Applied != nil {
		f.Applied(&m, err)
	}
	return err == nil
}

// current returns the state and creates an empty one on the first call. The
// caller holds the lock.
func (f *Follower) current() *fleet.State {
	if f.state == nil {
		f.state = &fleet.State{}
	}
	return f.state
}

// retain adds a record to the recent ones. It drops the older half once there
// are twice _minRecentRecords.
func (f *Follower) retain(r platform.Record) {
	f.recent = append(f.recent, r)
	if len(f.recent) >= 2*_minRecentRecords {
		f.recent = append([]platform.Record(nil), f.recent[_minRecentRecords:]...)
	}
}

func (f *Follower) now() time.Time {
	if f.Now == nil {
		return time.Now()
	}
	return f.Now()
}

func (f *Follower) warn(message string, err error) {
	if f.Log != nil {
		f.Log.Warn(message, "err", err)
	}
}
