package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	// _dialTimeout is far above a round trip between data centres.
	_dialTimeout = 400 * time.Millisecond
	// _writeTimeout limits a write to a peer that doesn't read.
	_writeTimeout = time.Second
	// When a call fails, its connection is closed if calls have been unanswered on it
	// for _answerTimeout. The owner of a pool waits for the platform's store and then
	// answers within a few milliseconds, so a longer silence means that the connection
	// is broken.
	_answerTimeout = 900 * time.Millisecond
	// MaxMessage limits a message, in bytes; it is enough for a job with its steps.
	MaxMessage = 1 << 20
	// _streamWindow is the flow-control window of the stream, in bytes.
	_streamWindow = 512 << 10
)

var (
	// ErrNotSent means that the call was not sent.
	ErrNotSent = errors.New("call was not sent")
	// ErrNoAnswer means that no answer came; the call may have been carried out.
	ErrNoAnswer = errors.New("no answer to call")
)

// sessionConfig returns the yamux settings of both sides. The keepalive of yamux is
// off, as each call has a time-out.
func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = _writeTimeout
	c.StreamOpenTimeout = 0
	c.MaxStreamWindowSize = _streamWindow
	c.LogOutput = io.Discard
	return c
}

// Client calls other entries. It is safe for concurrent use, and its zero value is
// ready to use.
type Client struct {
	mu    sync.Mutex
	peers map[string]*peer
}

// Call sends a call to an address and waits for its answer until ctx ends. An error
// wraps ErrNotSent or ErrNoAnswer.
func (c *Client) Call(ctx context.Context, address string, q *Call) (*Answer, error) {
	p := c.peer(address)
	a, err := p.call(ctx, q)
	if err != nil {
		if p.broken() || p.unresponsive() {
			c.remove(address, p)
		}
		return nil, fmt.Errorf("call %s: %w", address, err)
	}
	return a, nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.close()
	}
	c.peers = nil
}

func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if p == nil {
		if c.peers == nil {
			c.peers = make(map[string]*peer)
		}
		p = &peer{address: address, done: make(chan struct{}), waiting: make(map[uint64]chan *Answer)}
		c.peers[address] = p
	}
	return p
}

func (c *Client) remove(address string, p *peer) {
	c.mu.Lock()
	if c.peers[address] == p {
		delete(c.peers, address)
	}
	c.mu.Unlock()
	p.close()
}

// peer is an entry that is called, with the connection to it.
type peer struct {
	address   string
	openOnce  sync.Once
	closeOnce sync.Once
	done      chan struct{}
	err       error
	conn      net.Conn
	stream    net.Conn

	mu         sync.Mutex
	lastNumber uint64
	waiting    map[uint64]chan *Answer
	// unansweredSince is when the first call after the last answer was sent. It is
	// zero if no call was sent since.
	unansweredSince time.Time
}

// open dials on the first call and returns the result of that dial.
func (p *peer) open() error {
	p.openOnce.Do(func() {
		c, err := net.DialTimeout("tcp", p.address, _dialTimeout)
		if err != nil {
			p.err = fmt.Errorf("dial: %w", err)
			return
		}
		p.conn = c
		s, err := yamux.Client(c, sessionConfig())
		if err != nil {
			p.err = fmt.Errorf("open yamux session: %w", err)
			return
		}
		if p.stream, err = s.Open(); err != nil {
			p.err = fmt.Errorf("open yamux stream: %w", err)
			return
		}
		go p.read()
	})
	return p.err
}

func (p *peer) broken() bool {
	select {
	case <-p.done:
		return true
	default:
		return p.err != nil
	}
}

// unresponsive reports whether calls were sent and nothing was received for
// _answerTimeout.
func (p *peer) unresponsive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.unansweredSince.IsZero() && time.Since(p.unansweredSince) > _answerTimeout
}

func (p *peer) close() {
	p.closeOnce.Do(func() { close(p.done) })
	// Prevent a later call from dialling.
	p.openOnce.Do(func() { p.err = ErrNotSent })
	if p.conn != nil {
		p.conn.Close()
	}
}

// read passes answers to the waiting calls until the stream ends.
func (p *peer) read() {
	r := bufio.NewReader(p.stream)
	for {
		var a Answer
		if err := (protodelim.UnmarshalOptions{MaxSize: MaxMessage}).UnmarshalFrom(r, &a); err != nil {
			p.close()
			return
		}
		p.mu.Lock()
		w := p.waiting[a.GetNumber()]
		delete(p.waiting, a.GetNumber())
		p.unansweredSince = time.Time{}
		p.mu.Unlock()
		if w != nil {
			w <- &a
		}
	}
}

func (p *peer) call(ctx context.Context, q *Call) (*Answer, error) {
	if err := p.open(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	w := make(chan *Answer, 1)
	m := proto.CloneOf(q) // A call may go to several owners.
	p.mu.Lock()
	p.lastNumber++
	n := p.lastNumber
	p.waiting[n] = w
	if p.unansweredSince.IsZero() {
		p.unansweredSince = time.Now()
	}
	m.Number = n
	err := send(p.stream, m)
	p.mu.Unlock()
	if err != nil {
		p.close()
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	select {
	case a := <-w:
		return a, nil
	case <-p.done:
		return nil, fmt.Errorf("%w: connection closed", ErrNoAnswer)
	case <-ctx.Done():
		p.mu.Lock()
		delete(p.waiting, n)
		p.mu.Unlock()
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, ctx.Err())
	}
}
