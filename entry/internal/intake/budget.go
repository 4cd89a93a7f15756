package intake

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// _connBytes is what a connection holds without a request: the stacks of its goroutines,
	// the buffers of net/http, and those of the kernel.
	_connBytes = 24 << 10
	// _smallBytes is what a small request holds beside it.
	_smallBytes = 16 << 10
	// _leavingShare is the inverse of the share of each limit that may be held by connections
	// that were given up.
	_leavingShare = 4
	// _passedShare is the inverse of the share of the bytes that may be held by large requests
	// that have been passed on.
	_passedShare = 2
	// _roomShare is the inverse of the share of the bytes that is made free at once, so that
	// not each read has to look for a connection to give up.
	_roomShare = 16
)

// Budget limits what the connections of a listener hold together. The fields are set before
// its first use.
type Budget struct {
	// Name is the listener's name in log lines and metrics.
	Name string
	// MaxBytes limits the memory that the connections hold. Zero means no limit.
	MaxBytes int64
	// MaxConns limits the number of connections. Zero means no limit.
	MaxConns int
	// Log writes a log line with key-value pairs. Nil means none.
	Log func(message string, keyvals ...any)

	mu       sync.Mutex
	accounts []*Account
	origins  map[netip.Addr]*origin
	// held and conns are the bytes and connections that count, leaving and leavingConns those
	// of connections that were given up and aren't closed yet.
	held, leaving       int64
	conns, leavingConns int
	// passed is the part of held that large requests hold that have been passed on.
	passed int64
	// moments counts what happened to connections, and tells which came first.
	moments uint64
	episode episode
}

// Held returns the bytes that the connections hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held + b.leaving
}

// Conns returns the number of open connections.
func (b *Budget) Conns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conns + b.leavingConns
}

// origin is an address from which connections come.
type origin struct {
	address netip.Addr
	held    int64
	conns   int
}

// admit opens the account of a new connection. It returns nil if there is no room for it.
func (b *Budget) admit(c net.Conn) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.MaxConns > 0 && b.conns+b.leavingConns >= b.MaxConns+max(b.MaxConns/_leavingShare, 1) {
		return nil
	}
	if b.MaxConns > 0 && b.conns >= b.MaxConns {
		v := b.mostIdle()
		if v == nil {
			return nil
		}
		b.giveUp(v, _reasonConns)
	}
	o := b.origin(addressOf(c))
	b.moments++
	a := &Account{budget: b, conn: c, origin: o, opened: b.moments, idleSince: b.moments, index: len(b.accounts)}
	b.accounts = append(b.accounts, a)
	o.conns++
	b.conns++
	b.add(a, _connBytes)
	b.makeRoom(a)
	return a
}

// refuse counts a connection for which there is no room.
func (b *Budget) refuse() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count(time.Now(), _reasonRefused)
}

// origin returns the origin of an address, which is added if it isn't known.
func (b *Budget) origin(a netip.Addr) *origin {
	o, ok := b.origins[a]
	if ok {
		return o
	}
	if b.origins == nil {
		b.origins = make(map[netip.Addr]*origin)
	}
	o = &origin{address: a}
	b.origins[a] = o
	return o
}

func addressOf(c net.Conn) netip.Addr {
	if t, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return t.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// add changes what an account holds.
func (b *Budget) add(a *Account, n int64) {
	a.held += n
	if a.givenUp.Load() {
		b.leaving += n
		return
	}
	b.held += n
	a.origin.held += n
	if a.large {
		b.passed += n
	}
}

// remove closes an account.
func (b *Budget) remove(a *Account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	b.add(a, -a.held)
	if a.givenUp.Load() {
		b.leavingConns--
	} else {
		b.leave(a)
	}
	last := b.accounts[len(b.accounts)-1]
	last.index = a.index
	b.accounts[a.index] = last
	b.accounts[len(b.accounts)-1] = nil
	b.accounts = b.accounts[:len(b.accounts)-1]
}

// leave takes a connection out of those that count.
func (b *Budget) leave(a *Account) {
	b.conns--
	a.origin.conns--
	if a.origin.conns == 0 {
		delete(b.origins, a.origin.address)
	}
}

// charge charges n bytes to an account and makes room for them. It reports whether the account
// wasn't given up. If it was, the bytes aren't charged.
func (b *Budget) charge(a *Account, n int64) bool {
	if a.closed || a.givenUp.Load() {
		return false
	}
	b.add(a, n)
	b.makeRoom(a)
	if a.givenUp.Load() {
		b.add(a, -n)
		return false
	}
	return true
}

// makeRoom gives up connections until the bytes are within their limit, and large ones until
// a part of it is free. a is the account that was charged last; it is given up itself if there
// still is no room.
func (b *Budget) makeRoom(a *Account) {
	if b.MaxBytes <= 0 || !b.exceeded() {
		return
	}
	low := b.MaxBytes - b.MaxBytes/_roomShare
	for over := b.held > b.MaxBytes; over && b.held > low && b.leaving < b.MaxBytes/_leavingShare; {
		v := b.largest()
		if v == nil || b.held <= b.MaxBytes && v.small() {
			break
		}
		b.giveUp(v, _reasonBytes)
	}
	if b.exceeded() && a.evictable() && !a.small() {
		b.giveUp(a, _reasonBytes)
	}
}

// exceeded reports whether the bytes exceed their limit, or the limit and the share of those
// that were given up.
func (b *Budget) exceeded() bool {
	return b.held > b.MaxBytes || b.held+b.leaving > b.MaxBytes+b.MaxBytes/_leavingShare
}

// largest returns the account to give up when the bytes run out, nil if there is none.
func (b *Budget) largest() *Account {
	return b.pick(func(v, w *Account) bool {
		switch {
		case v.small() != w.small():
			return w.small()
		case v.origin != w.origin && v.origin.held != w.origin.held:
			return v.origin.held > w.origin.held
		default:
			return v.larger(w)
		}
	})
}

// mostIdle returns the account to give up when the connections run out, nil if there is none.
func (b *Budget) mostIdle() *Account {
	return b.pick(func(v, w *Account) bool {
		switch {
		case (v.phase == _idle) != (w.phase == _idle):
			return v.phase == _idle
		case v.origin != w.origin && v.origin.conns != w.origin.conns:
			return v.origin.conns > w.origin.conns
		case v.phase == _idle:
			return v.idleSince < w.idleSince
		default:
			return v.larger(w)
		}
	})
}

// pick returns the first account, in an order, that may be given up.
func (b *Budget) pick(before func(v, w *Account) bool) *Account {
	var w *Account
	for _, v := range b.accounts {
		if v.evictable() && (w == nil || before(v, w)) {
			w = v
		}
	}
	return w
}

// giveUp ends the reads of a connection, which no longer counts.
func (b *Budget) giveUp(a *Account, reason string) {
	now, n := time.Now(), a.held
	a.interrupted = a.phase == _serving
	b.add(a, -n)
	b.leave(a)
	a.givenUp.Store(true)
	b.add(a, n)
	b.leavingConns++
	// A connection whose deadlines can't be set is closed already.
	_ = a.conn.SetReadDeadline(_past)
	_ = a.conn.SetWriteDeadline(now.Add(_lastWriteTimeout))
	b.count(now, reason)
}
