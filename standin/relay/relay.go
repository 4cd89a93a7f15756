package relay

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	_maxConnections = 64
	_bufferBytes    = 32 << 10
	_dialTimeout    = time.Second
)

// Mode is what a relay forwards.
type Mode string

const (
	// ModeOpen forwards everything.
	ModeOpen Mode = ""
	// ModeKeep forwards the bytes of established connections, but holds new
	// connections back.
	ModeKeep Mode = "keep"
	// ModeCut forwards nothing.
	ModeCut Mode = "cut"
)

// Relay forwards connections. It accepts at most 64 at the same time; further
// ones wait in the listener's backlog.
type Relay struct {
	to    string
	slots chan struct{}

	mu      sync.Mutex
	changed *sync.Cond
	mode    Mode
	stats   Stats
}

// Stats has the counts of a relay.
type Stats struct {
	// Open is the number of connections that are being forwarded.
	Open int `json:"open"`
	// Bytes is the number of bytes forwarded, in both directions together.
	Bytes int64 `json:"bytes"`
}

// New returns a relay to an address, in ModeOpen.
func New(to string) *Relay {
	r := &Relay{to: to, slots: make(chan struct{}, _maxConnections)}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// SetMode changes the mode, also for established connections.
func (r *Relay) SetMode(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	r.changed.Broadcast()
}

// Stats returns the current counts.
func (r *Relay) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// Serve accepts connections until the listener is closed.
func (r *Relay) Serve(l net.Listener) error {
	for {
		r.slots <- struct{}{}
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		go r.forward(c)
	}
}

// forward waits until the mode allows new connections, dials the address and
// copies bytes in both directions until the connections are closed.
func (r *Relay) forward(c net.Conn) {
	defer func() { <-r.slots }()
	defer c.Close()
	r.await(func(m Mode) bool { return m == ModeOpen })
	to, err := net.DialTimeout("tcp", r.to, _dialTimeout)
	if err != nil {
		return // The client sees its connection closed.
	}
	defer to.Close()
	r.count(1, 0)
	defer r.count(-1, 0)
	var g sync.WaitGroup
	g.Go(func() { r.copy(to, c) })
	g.Go(func() { r.copy(c, to) })
	g.Wait()
}

// copy forwards the bytes of one direction, and closes both connections when
// that direction ends. During a cut the end isn't forwarded either.
func (r *Relay) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, _bufferBytes)
	for {
		n, err := from.Read(b)
		r.await(func(m Mode) bool { return m != ModeCut })
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
			r.count(0, n)
		}
		if err != nil {
			return
		}
	}
}

// await blocks until the mode satisfies allowed.
func (r *Relay) await(allowed func(Mode) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !allowed(r.mode) {
		r.changed.Wait()
	}
}

func (r *Relay) count(connections, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Open += connections
	r.stats.Bytes += int64(bytes)
}
