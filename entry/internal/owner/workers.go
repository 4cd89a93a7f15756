package owner

import "sync"

// _maxIdleWorkers is the number of goroutines that are kept for further calls. In a burst there are more.
const _maxIdleWorkers = 64

// workers runs functions concurrently. It reuses goroutines, because a call to an upstream needs more stack
// than a new goroutine has, and growing it costs as much as the call. Their number is that of
// the functions that run, and at most _maxIdleWorkers more. The scheduler bounds the functions: two polls for each
// upstream, a window of starts, and a stop or a pace for each run. What they send is as old as its permit allows, however
// long they wait for a connection. The zero value is ready for use.
type workers struct {
	mu sync.Mutex
	// idle are the goroutines that wait for a function, the last one used last.
	idle   []chan func()
	closed bool
}

// run runs a function on a goroutine. It doesn't wait for it.
func (w *workers) run(f func()) {
	w.mu.Lock()
	n := len(w.idle) - 1
	if n < 0 {
		w.mu.Unlock()
		go w.work(f)
		return
	}
	c := w.idle[n]
	w.idle = w.idle[:n]
	w.mu.Unlock()
	c <- f
}

// work runs a function and those that follow.
func (w *workers) work(f func()) {
	// The capacity lets run hand over a function without waiting for this goroutine.
	c := make(chan func(), 1)
	for f != nil {
		f()
		if !w.rest(c) {
			return
		}
		f = <-c
	}
}

// rest adds a goroutine to the idle ones, and reports whether it is kept.
func (w *workers) rest(c chan func()) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.idle) >= _maxIdleWorkers {
		return false
	}
	w.idle = append(w.idle, c)
	return true
}

// close ends the goroutines that are idle, now or later.
func (w *workers) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, c := range w.idle {
		c <- nil
	}
	w.idle = nil
}
