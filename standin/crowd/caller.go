package crowd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	_dialTimeout = 5 * time.Second
	// _returnPause is how long a caller that was closed waits before it comes back.
	_returnPause = 200 * time.Millisecond
	// _stuckTime is how long a write takes before the caller counts as settled: the entry has
	// stopped reading.
	_stuckTime = 2 * time.Second
	// _writeBytes is the most that is written at once.
	_writeBytes = 32 << 10
	// _receiveBytes is the receive buffer of callers that read no answers.
	_receiveBytes = 4 << 10
)

// caller is one of a crowd. It has one connection at a time.
type caller struct {
	crowd  *Crowd
	number int
	// settled is set once the crowd knows that this caller has settled.
	settled bool
}

// run calls the entry, and again after it was closed, if this caller is one that comes back.
func (c *caller) run(ctx context.Context) {
	times := 1
	if c.number%_returningEvery == 0 {
		times += c.crowd.script.Reconnects
	}
	for i := range times {
		if i > 0 {
			sleep(ctx, _returnPause)
		}
		if ctx.Err() != nil {
			break
		}
		c.call(ctx)
	}
	c.settle()
}

func (c *caller) settle() {
	if !c.settled {
		c.settled = true
		c.crowd.settle()
	}
}

// call opens a connection, sends the requests, and stays until the entry closes it or the
// crowd leaves.
func (c *caller) call(ctx context.Context) {
	d := net.Dialer{Timeout: _dialTimeout}
	n, err := d.DialContext(ctx, "tcp", c.crowd.sender.target.Address)
	if err != nil {
		c.crowd.record(func(a *Answers) { a.refused++ })
		return
	}
	c.crowd.record(func(a *Answers) { a.opened++ })
	defer n.Close()
	defer context.AfterFunc(ctx, func() { n.Close() })()
	if k := c.crowd.script.Kind; k == FinishedHeaderLines || k == AnswersUnread {
		_ = n.(*net.TCPConn).SetReadBuffer(_receiveBytes) // A larger one only takes more answers.
		if c.send(ctx, n) == nil {
			c.settle()
			<-ctx.Done()
		}
	} else {
		read := make(chan struct{})
		go func() {
			defer close(read)
			c.read(n)
			n.Close()
		}()
		if c.send(ctx, n) == nil {
			c.settle()
		}
		<-read
	}
	if ctx.Err() == nil {
		c.crowd.record(func(a *Answers) { a.closed++ })
	}
}

// read counts the answers until the connection ends.
func (c *caller) read(n net.Conn) {
	r := bufio.NewReader(n)
	for {
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, a.Body)
		a.Body.Close()
		c.crowd.record(func(l *Answers) { l.add(a) })
		if err != nil || a.Close {
			return
		}
	}
}

// send sends the requests of a connection.
func (c *caller) send(ctx context.Context, n net.Conn) error {
	s := c.crowd.script
	piece := s.Piece
	if piece == 0 {
		piece = _writeBytes
	}
	for range max(s.Requests, 1) {
		for _, p := range c.crowd.sender.parts(c.number, c.crowd.jobID()) {
			next := time.Now()
			for len(p) > 0 {
				k := min(piece, len(p))
				if err := c.write(n, p[:k]); err != nil {
					return err
				}
				p = p[k:]
				next = next.Add(s.Pause)
				sleep(ctx, time.Until(next))
			}
		}
	}
	return nil
}

// write writes all bytes, however long the entry doesn't read them.
func (c *caller) write(n net.Conn, b []byte) error {
	for len(b) > 0 {
		if err := n.SetWriteDeadline(time.Now().Add(_stuckTime)); err != nil {
			return fmt.Errorf("set deadline: %w", err)
		}
		k, err := n.Write(b)
		b = b[k:]
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.settle()
			continue
		}
		if err != nil {
			return fmt.Errorf("send: %w", err)
		}
	}
	return nil
}

// sleep sleeps for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
