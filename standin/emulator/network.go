package emulator

import (
	"context"
	"fmt"
	"time"
)

// errNoAnswer is the error of a call that timed out.
var errNoAnswer = fmt.Errorf("no answer: %w", context.DeadlineExceeded)

const (
	// _minDelay and _maxDelay bound the one-way latency of a call.
	_minDelay = 400 * time.Microsecond
	_maxDelay = 3 * time.Millisecond
)

// path is one direction of a connection: from peer a to peer b.
type path struct{ a, b string }

// network holds the paths that are partitioned, each with the end of the partition.
type network struct {
	cut map[path]time.Duration
}

// cutOff partitions two peers, in both directions, until a time.
func (n *network) cutOff(a, b string, until time.Duration) {
	n.cutPath(a, b, until)
	n.cutPath(b, a, until)
}

// cutPath partitions two peers, in the direction from a to b, until a time.
func (n *network) cutPath(a, b string, until time.Duration) {
	if n.cut == nil {
		n.cut = make(map[path]time.Duration)
	}
	p := path{a, b}
	n.cut[p] = max(n.cut[p], until)
}

func (n *network) open(a, b string, now time.Duration) bool { return n.cut[path{a, b}] <= now }

func (w *World) delay() time.Duration {
	return _minDelay + time.Duration(w.rand.Int64N(int64(_maxDelay-_minDelay)))
}

// call sends a request from an entry to a peer. serve runs at the peer and may answer
// later or never. done runs at the entry exactly once, with the answer or errNoAnswer,
// unless the calling incarnation has ended.
func call[T any](e *entry, to string, timeout time.Duration, serve func(answer func(T, error)), done func(T, error)) {
	w := e.world
	incarnation, over := e.incarnation, false
	finish := func(v T, err error) {
		e.do(incarnation, func() {
			if !over {
				over = true
				done(v, err)
			}
		})
	}
	w.after(w.delay(), func() {
		if !w.net.open(e.name, to, w.now) {
			return
		}
		serve(func(v T, err error) {
			w.after(w.delay(), func() {
				if w.net.open(to, e.name, w.now) {
					finish(v, err)
				}
			})
		})
	})
	e.after(timeout, func() {
		var zero T
		finish(zero, errNoAnswer)
	})
}
