package duty

import (
	"sync"
	"time"
)

// slot is a message and when it was posted.
type slot[M any] struct {
	message M
	at      time.Time
}

// ring is a bounded first-in first-out queue with many senders and one receiver.
// Its wake channel holds at most one token, so that a waiting receiver uses no
// processor time and a sender never blocks.
type ring[M any] struct {
	mu     sync.Mutex
	slots  []slot[M]
	head   int
	len    int
	lost   uint64
	closed bool
	wake   chan struct{}
}

func newRing[M any](size int) *ring[M] {
	return &ring[M]{slots: make([]slot[M], size), wake: make(chan struct{}, 1)}
}

// push adds m at a time. If the ring is full, the policy decides whether m is refused or
// the oldest message is dropped.
func (r *ring[M]) push(now time.Time, m M, p Policy) error {
	r.mu.Lock()
	err := r.pushLocked(now, m, p)
	r.mu.Unlock()
	if err == nil {
		r.signal()
	}
	return err
}

func (r *ring[M]) pushLocked(now time.Time, m M, p Policy) error {
	if r.closed {
		return ErrStopped
	}
	if r.len == len(r.slots) {
		r.lost++
		if p == Refuse {
			return ErrFull
		}
		r.dropOldest()
	}
	r.slots[(r.head+r.len)%len(r.slots)] = slot[M]{m, now}
	r.len++
	return nil
}

func (r *ring[M]) dropOldest() {
	r.slots[r.head] = slot[M]{}
	r.head = (r.head + 1) % len(r.slots)
	r.len--
}

// pop removes and returns the oldest message. ok is false if the ring is empty;
// ended is true if it is also closed.
func (r *ring[M]) pop() (m M, ok, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.len == 0 {
		return m, false, r.closed
	}
	m = r.slots[r.head].message
	r.dropOldest()
	return m, true, false
}

// late reports whether the oldest message has waited for at least d.
func (r *ring[M]) late(now time.Time, d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.len > 0 && now.Sub(r.slots[r.head].at) >= d
}

// waited returns how long the oldest message has waited; zero if there is none.
func (r *ring[M]) waited(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.len == 0 {
		return 0
	}
	return now.Sub(r.slots[r.head].at)
}

func (r *ring[M]) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.signal()
}

func (r *ring[M]) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// counts returns the number of messages waiting, and of those refused or dropped
// so far.
func (r *ring[M]) counts() (waiting int, lost uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.len, r.lost
}
