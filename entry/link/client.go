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
)

const (
	// _dialTimeout is far above a round trip between data centres.
	_dialTimeout = 400 * time.Millisecond
	// _writeTimeout limits a write to a peer that doesn't read.
	_writeTimeout = time.Second
	// _answerTimeout is how long a connection may have unanswered calls and receive
	// nothing before it is closed. Owners answer within a few milliseconds of the
	// store's answer.
	_answerTimeout = 900 * time.Millisecond
	// _maxMessage limits a message, in bytes; it is enough for a job with its steps.
	_maxMessage = 1 << 20
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
	l := c.peer(address)
	a, err := l.call(ctx, q)
	if err != nil {
		if l.broken() || l.unresponsive() {
			c.remove(address, l)
		}
		return nil, fmt.Errorf("call %s: %w", address, err)
	}
	return a, nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.peers {
		l.close()
	}
	c.peers = nil
}

func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.peers[address]
	if l == nil {
		if c.peers == nil {
			c.peers = make(map[string]*peer)
		}
		l = &peer{address: address, done: make(chan struct{}), waiting: make(map[uint64]chan *Answer)}
		c.peers[address] = l
	}
	return l
}

func (c *Client) remove(address string, l *peer) {
	c.mu.Lock()
	if c.peers[address] == l {
		delete(c.peers, address)
	}
	c.mu.Unlock()
	l.close()
}

// peer is the connection to one entry.
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
	// unansweredSince is when the first call was sent after the last answer; it is
	// zero while there is none.
	unansweredSince time.Time
}

// open dials on the first call and returns the result of that dial.
func (l *peer) open() error {
	l.openOnce.Do(func() {
		c, err := net.DialTimeout("tcp", l.address, _dialTimeout)
		if err != nil {
			l.err = fmt.Errorf("dial: %w", err)
			return
		}
		l.conn = c
		s, err := yamux.Client(c, sessionConfig())
		if err != nil {
			l.err = fmt.Errorf("open session: %w", err)
			return
		}
		if l.stream, err = s.Open(); err != nil {
			l.err = fmt.Errorf("open stream: %w", err)
			return
		}
		go l.read()
	})
	return l.err
}

func (l *peer) broken() bool {
	select {
	case <-l.done:
		return true
	default:
		return l.err != nil
	}
}

// unresponsive reports whether calls were sent and nothing was received for
// _answerTimeout.
func (l *peer) unresponsive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.unansweredSince.IsZero() && time.Since(l.unansweredSince) > _answerTimeout
}

func (l *peer) close() {
	l.closeOnce.Do(func() { close(l.done) })
	l.openOnce.Do(func() { l.err = ErrNotSent })
	if l.conn != nil {
		l.conn.Close()
	}
}

// read passes answers to the waiting calls until the stream ends.
func (l *peer) read() {
	r := bufio.NewReader(l.stream)
	for {
		var a Answer
		if err := (protodelim.UnmarshalOptions{MaxSize: _maxMessage}).UnmarshalFrom(r, &a); err != nil {
			l.close()
			return
		}
		l.mu.Lock()
		w := l.waiting[a.GetNumber()]
		delete(l.waiting, a.GetNumber())
		l.unansweredSince = time.Time{}
		l.mu.Unlock()
		if w != nil {
			w <- &a
		}
	}
}

func (l *peer) call(ctx context.Context, q *Call) (*Answer, error) {
	if err := l.open(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	w := make(chan *Answer, 1)
	l.mu.Lock()
	l.lastNumber++
	n := l.lastNumber
	l.waiting[n] = w
	if l.unansweredSince.IsZero() {
		l.unansweredSince = time.Now()
	}
	m := &Call{Number: n, Pool: q.GetPool(), Body: q.GetBody()}
	err := send(l.stream, m)
	l.mu.Unlock()
	if err != nil {
		l.close()
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	select {
	case a := <-w:
		return a, nil
	case <-l.done:
		return nil, fmt.Errorf("%w: connection closed", ErrNoAnswer)
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.waiting, n)
		l.mu.Unlock()
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, ctx.Err())
	}
}
