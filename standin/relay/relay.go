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

// Mode is what a relay lets through.
type Mode string

const (
	// ModeOpen lets everything through.
	ModeOpen Mode = ""
	// ModeKeep lets the bytes of open connections through, and no new ones.
	ModeKeep Mode = "keep"
	// ModeCut lets nothing through.
	ModeCut Mode = "cut"
)

// Relay passes connections on. At most 64 are open at the same time; further
// ones wait.
type Relay struct {
	to    string
	slots chan struct{}

	mu      sync.Mutex
	changed *sync.Cond
	mode    Mode
	stats   Stats
}

// Stats counts what a relay has done.
type Stats struct {
	// Open is the number of connections.
	Open int `json:"open"`
	// Bytes were passed on, in both directions together.
	Bytes int64 `json:"bytes"`
}

// New returns an open relay to an address.
func New(to string) *Relay {
	r := &Relay{to: to, slots: make(chan struct{}, _maxConnections)}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// SetMode cuts the relay or heals it.
func (r *Relay) SetMode(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	r.changed.Broadcast()
}

// Stats returns the counts up to now.
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
		go r.pass(c)
	}
}

// pass joins a connection with one to the address, once new ones come through.
func (r *Relay) pass(c net.Conn) {
	defer func() { <-r.slots }()
	defer c.Close()
	r.await(func(m Mode) bool { return m == ModeOpen })
	to, err := net.DialTimeout("tcp", r.to, _dialTimeout)
	if err != nil {
		return // The dialer sees its connection closed.
	}
	defer to.Close()
	r.count(1, 0)
	defer r.count(-1, 0)
	var g sync.WaitGroup
	g.Go(func() { r.copy(to, c) })
	g.Go(func() { r.copy(c, to) })
	g.Wait()
}

// copy passes the bytes of one direction on, and then closes both connections.
// Also the end of a connection doesn't come through a cut.
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

// await blocks until the mode is one that lets through.
func (r *Relay) await(through func(Mode) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !through(r.mode) {
		r.changed.Wait()
	}
}

func (r *Relay) count(connections, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Open += connections
	r.stats.Bytes += int64(bytes)
}
