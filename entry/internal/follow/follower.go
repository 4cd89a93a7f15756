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

	_wait  = 500 * time.Millisecond
	_pause = 100 * time.Millisecond
	_kept  = 4096
)

// Follower applies the records of the log to one state. Its function fields
// are set before Run; Read and Show are needed.
type Follower struct {
	// Read reads the stream from an offset on, waiting for new records.
	Read func(ctx context.Context, from uint64, wait time.Duration) (platform.Batch, error)
	// Show receives the view after each batch that changed the state, in order.
	Publish func(*view.View)
	// Push passes records on that came from the log.
	Push func([]platform.Record)
	// Proved is told that the state was at the log's head at a time.
	CaughtUp func(at time.Time)
	// Applied is told of each record and its rejection, in order.
	Applied func(r *record.Record, err error)
	// Now is the clock; nil stands for time.Now.
	Now func() time.Time
	// Log receives what goes wrong; it may be nil.
	Log *log.Logger

	mu     sync.Mutex
	state  *fleet.State
	recent []platform.Record
}

// Run follows the log until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.warn("Log can't be read.", err)
			wait.For(ctx, _pause)
		}
	}
}

// step reads once and applies what came.
func (f *Follower) step(ctx context.Context) error {
	start := f.now()
	from := f.Offset() + 1
	b, err := f.Read(ctx, from, _wait)
	var expired *platform.ExpiredError
	if errors.As(err, &expired) {
		return f.recover(ctx, expired.First)
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

// Offer applies records that a peer passed on, as far as they join on.
func (f *Follower) Offer(l []platform.Record) { f.applyAll(l, false) }

// Offset returns the offset of the last record applied.
func (f *Follower) Offset() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current().Offset()
}

// With calls a function with the state, which it must not keep or change.
func (f *Follower) WithState(use func(*fleet.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	use(f.current())
}

// Recent returns the kept records from an offset on, at most n, and the offsets
// of the first kept and of the last applied one.
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

// applyAll applies the records that follow the state's offset, and shows the view.
func (f *Follower) applyAll(l []platform.Record, pass bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current()
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
	if pass && f.Push != nil {
		f.Push(l)
	}
	if changed || f.state.Offset() <= uint64(n) {
		f.Publish(view.New(f.state))
	}
}

// apply applies one record and reports whether it was accepted.
func (f *Follower) apply(r platform.Record) bool {
	var m record.Record
	if err := proto.Unmarshal(r.Data(), &m); err != nil {
		// Applied all the same: the offset moves on every entry alike.
		f.warn("Record can't be decoded.", err)
		m = record.Record{}
	}
	err := f.state.Apply(r.Offset(), &m)
	f.keep(r)
	var d *fleet.DigestMismatch
	if errors.As(err, &d) && f.Log != nil {
		f.Log.Error("State differs from the checkpoint's.", "err", err)
	}
	if f.Applied != nil {
		f.Applied(&m, err)
	}
	return err == nil
}

// current returns the state, empty at first. The lock is held.
func (f *Follower) current() *fleet.State {
	if f.state == nil {
		f.state = &fleet.State{}
	}
	return f.state
}

func (f *Follower) keep(r platform.Record) {
	f.recent = append(f.recent, r)
	if len(f.recent) >= 2*_kept {
		f.recent = append([]platform.Record(nil), f.recent[_kept:]...)
	}
}

func (f *Follower) now() time.Time {
	if f.Now == nil {
		return time.Now()
	}
	return f.Now()
}

func (f *Follower) warn(what string, err error) {
	if f.Log != nil {
		f.Log.Warn(what, "err", err)
	}
}
