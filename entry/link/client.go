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
	// _writeTimeout is how long a peer may not read.
	_writeTimeout = time.Second
	// _silence is when a connection without an answer is given up. Owners
	// answer within some milliseconds of the store.
	_silence = 900 * time.Millisecond
	// _maxMessage bounds a message, in bytes: a job with its steps.
	_maxMessage = 1 << 20
	// _lane is the window of the one stream, in bytes.
	_lane = 512 << 10
)

var (
	// ErrNotSent says that a call never left this entry.
	ErrNotSent = errors.New("call was not sent")
	// ErrNoAnswer says that no answer came; the call may have been carried out.
	ErrNoAnswer = errors.New("no answer to call")
)

// session returns how both sides run yamux. Its own keepalive stays off: each
// call has a time-out.
func session() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = _writeTimeout
	c.StreamOpenTimeout = 0
	c.MaxStreamWindowSize = _lane
	c.LogOutput = io.Discard
	return c
}

// Client calls other entries. Its zero value is ready.
type Client struct {
	mu    sync.Mutex
	lanes map[string]*lane
}

// Call sends a call to an address and waits for its answer until ctx ends.
func (c *Client) Call(ctx context.Context, address string, q *Call) (*Answer, error) {
	l := c.lane(address)
	a, err := l.call(ctx, q)
	if err != nil {
		if l.broken() || l.silent() {
			c.drop(address, l)
		}
		return nil, fmt.Errorf("call %s: %w", address, err)
	}
	return a, nil
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.lanes {
		l.close()
	}
	c.lanes = nil
}

func (c *Client) lane(address string) *lane {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.lanes[address]
	if l == nil {
		if c.lanes == nil {
			c.lanes = make(map[string]*lane)
		}
		l = &lane{address: address, done: make(chan struct{}), waiting: make(map[uint64]chan *Answer)}
		c.lanes[address] = l
	}
	return l
}

func (c *Client) drop(address string, l *lane) {
	c.mu.Lock()
	if c.lanes[address] == l {
		delete(c.lanes, address)
	}
	c.mu.Unlock()
	l.close()
}

// lane is the connection to one entry.
type lane struct {
	address string
	once    sync.Once
	ending  sync.Once
	done    chan struct{}
	err     error
	conn    net.Conn
	stream  net.Conn

	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan *Answer
	// since is when the oldest call went out after which nothing was heard.
	since time.Time
}

// open dials once.
func (l *lane) open() error {
	l.once.Do(func() {
		c, err := net.DialTimeout("tcp", l.address, _dialTimeout)
		if err != nil {
			l.err = fmt.Errorf("dial: %w", err)
			return
		}
		l.conn = c
		s, err := yamux.Client(c, session())
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

func (l *lane) broken() bool {
	select {
	case <-l.done:
		return true
	default:
		return l.err != nil
	}
}

// silent reports whether calls went out and nothing has come back for long.
func (l *lane) silent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.since.IsZero() && time.Since(l.since) > _silence
}

func (l *lane) close() {
	l.ending.Do(func() { close(l.done) })
	l.once.Do(func() { l.err = ErrNotSent })
	if l.conn != nil {
		l.conn.Close()
	}
}

// read hands answers to those who wait for them.
func (l *lane) read() {
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
		l.since = time.Time{}
		l.mu.Unlock()
		if w != nil {
			w <- &a
		}
	}
}

func (l *lane) call(ctx context.Context, q *Call) (*Answer, error) {
	if err := l.open(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	w := make(chan *Answer, 1)
	l.mu.Lock()
	l.last++
	n := l.last
	l.waiting[n] = w
	if l.since.IsZero() {
		l.since = time.Now()
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
		return nil, fmt.Errorf("%w: connection ended", ErrNoAnswer)
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.waiting, n)
		l.mu.Unlock()
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, ctx.Err())
	}
}
