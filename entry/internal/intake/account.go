package intake

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync/atomic"
)

const (
	// _lineBytes is what a line of a header takes up in a map of net/http.
	_lineBytes = 160
	// _minLine is the length of the shortest header line of which a request can have many.
	_minLine = 4
	// _textFactor is how often the text of a header is in memory: the line that is being
	// read, the room to which it grows, and the strings made of it.
	_textFactor = 4
	// _bufferBytes is the size of the buffer from which net/http reads headers.
	_bufferBytes = 4 << 10
)

// ErrGivenUp reports a connection that was given up, because callers' connections held too
// much.
var ErrGivenUp = errors.New("connection was given up")

// phase is what a connection is doing.
type phase int

const (
	// _idle is between requests, and before the first.
	_idle phase = iota
	// _reading is while a header is being read.
	_reading
	// _serving is from the begin of the handler.
	_serving
	// _passed is from when the request was passed on.
	_passed
)

// Account is what one connection holds. The methods of a nil account do nothing.
type Account struct {
	budget *Budget
	conn   net.Conn
	origin *origin
	// givenUp is set under the budget's lock, and read without.
	givenUp atomic.Bool

	// The budget's lock guards the fields below.
	index     int
	opened    uint64
	idleSince uint64
	closed    bool
	phase     phase
	held      int64
	// last is the cost of what was read last, which may be the header of the next request.
	last int64
	// large is set if the request was passed on and isn't a small one.
	large bool
	// complete is set when the body of the request has been read to its end.
	complete bool
	// interrupted is set if the connection was given up while a handler ran.
	interrupted bool
}

type contextKey struct{}

// From returns the account of the connection from which a request came, nil if it has none.
func From(ctx context.Context) *Account {
	a, _ := ctx.Value(contextKey{}).(*Account)
	return a
}

// Pass notes that the request is about to be passed on. From then on it isn't given up. The
// error is ErrGivenUp if it already was, or there is no room for another large one.
func (a *Account) Pass() error {
	if a == nil {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.givenUp.Load() || a.closed {
		return ErrGivenUp
	}
	large := !a.small()
	if b.MaxBytes > 0 && large && b.passed > 0 && b.passed+a.held > b.MaxBytes/_passedShare {
		b.giveUp(a, _reasonBytes)
		return ErrGivenUp
	}
	a.phase, a.large = _passed, large
	if large {
		b.passed += a.held
	}
	return nil
}

// begin notes that the handler of a request begins.
func (a *Account) begin() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.phase, a.complete = _serving, false
}

// end notes that the handler has returned, and reports whether it read the body to its end.
func (a *Account) end() (complete bool) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return a.complete
	}
	if a.large {
		b.passed -= a.held
	}
	a.phase, a.large = _idle, false
	b.add(a, _connBytes+a.last-a.held)
	b.moments++
	a.idleSince = b.moments
	return a.complete
}

// read charges what was read from the connection. room is the size of the buffer that was
// offered. The result is false if there is no room for it.
func (a *Account) read(p []byte, room int) bool {
	cost := int64(0)
	if room <= _bufferBytes {
		cost = headerCost(p)
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if room > 1 {
		a.last = 0
	}
	// While a handler runs, net/http reads a single byte beside what it has in its buffer.
	a.last += cost
	if a.phase >= _serving {
		return true
	}
	a.phase = _reading
	return b.charge(a, cost)
}

// headerCost returns what a part of a header takes up once it is decoded.
func headerCost(p []byte) int64 {
	n := len(p)
	return int64(n)*_textFactor + int64(min(bytes.Count(p, _newline), n/_minLine))*_lineBytes
}

var _newline = []byte{'\n'}

// charge charges n bytes to the request. The error is ErrGivenUp.
func (a *Account) charge(n int64) error {
	if a == nil {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.charge(a, n) {
		return ErrGivenUp
	}
	return nil
}

// setComplete notes that the body has been read to its end.
func (a *Account) setComplete() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.complete = true
}

// lingers reports whether the connection waits for its caller to receive the answer, before it
// is closed.
func (a *Account) lingers() bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return a.interrupted && !a.closed && b.leaving <= b.MaxBytes/_leavingShare/2
}

func (a *Account) evictable() bool { return !a.givenUp.Load() && !a.closed && a.phase != _passed }

// small reports whether the account holds no more than that of a small request.
func (a *Account) small() bool { return a.held <= _connBytes+_smallBytes }

// larger reports whether the account holds more than another, or is the older one of equals.
func (a *Account) larger(w *Account) bool {
	if a.held != w.held {
		return a.held > w.held
	}
	return a.opened < w.opened
}
