package emulator

import (
	"errors"
	"time"
)

// errNoAnswer stands for a call that nobody answered in time.
var errNoAnswer = errors.New("no answer")

const (
	// _minDelay and _maxDelay bound one way of a call.
	_minDelay = 400 * time.Microsecond
	_maxDelay = 3 * time.Millisecond
)

// path is the way between two names, in either direction.
type path struct{ a, b string }

// network carries calls, where nothing cuts them off.
type network struct {
	cut map[path]time.Duration
}

// cutOff cuts a path until a time.
func (n *network) cutOff(a, b string, until time.Duration) {
	if n.cut == nil {
		n.cut = make(map[path]time.Duration)
	}
	for _, l := range []path{{a, b}, {b, a}} {
		n.cut[l] = max(n.cut[l], until)
	}
}

func (n *network) open(a, b string, now time.Duration) bool { return n.cut[path{a, b}] <= now }

func (w *World) delay() time.Duration {
	return _minDelay + time.Duration(w.rand.Int64N(int64(_maxDelay-_minDelay)))
}

// call sends something from an entry to a peer. serve runs there, and may answer
// later or never; done runs at the entry, once, in the life that called.
func call[T any](e *entry, to string, timeout time.Duration, serve func(answer func(T, error)), done func(T, error)) {
	w := e.world
	life, over := e.life, false
	finish := func(v T, err error) {
		e.do(life, func() {
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
				if w.net.open(e.name, to, w.now) {
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
