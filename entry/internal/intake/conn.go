package intake

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"syscall"
	"time"
)

const (
	// _receiveBuffer is the size of the kernel's buffer for what a caller has sent and the
	// entry hasn't read.
	_receiveBuffer = 64 << 10
	// _writeTimeout limits the write of _writeBytes to a caller that doesn't read.
	_writeTimeout = 5 * time.Second
	_writeBytes   = 64 << 10
	// _lastWriteTimeout limits the writes to a connection that was given up.
	_lastWriteTimeout = 500 * time.Millisecond
	// _restTimeout limits how long net/http waits for a body that the handler didn't read.
	_restTimeout = 3 * time.Second
	// _lingerTimeout limits how long a caller that was refused while it sent its body may
	// take to receive the answer. A connection that is closed before the caller has stopped
	// sending is reset, and the answer may be lost.
	_lingerTimeout = 200 * time.Millisecond
	// _lingerBytes limits what is read from it meanwhile.
	_lingerBytes = 256 << 10
)

// _past is a deadline that has passed.
var _past = time.Unix(1, 0)

// Listen listens on a TCP address for callers. warn is called if the kernel's buffers can't be
// limited.
func Listen(address string, warn func(error)) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, r syscall.RawConn) error {
		var err error
		if e := r.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, _receiveBuffer)
		}); e != nil {
			return fmt.Errorf("access socket: %w", e)
		}
		if err != nil {
			warn(fmt.Errorf("set receive buffer: %w", err))
		}
		return nil
	}}
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// Serve has a server serve a listener, whose connections are accounted. It wraps the server's
// handler and sets its ConnContext. The error is that of http.Server.Serve.
func (b *Budget) Serve(s *http.Server, l net.Listener) error {
	b.register()
	s.Handler = accounted{s.Handler}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if c, ok := c.(*conn); ok {
			return context.WithValue(ctx, contextKey{}, c.account)
		}
		return ctx
	}
	return s.Serve(&listener{Listener: l, budget: b})
}

// accounted is a handler whose requests are accounted.
type accounted struct{ http.Handler }

// ServeHTTP implements http.Handler.
func (h accounted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := From(r.Context())
	if a == nil {
		h.Handler.ServeHTTP(w, r)
		return
	}
	a.begin()
	defer func() {
		if complete := a.end(); !complete && r.Body != nil && r.Body != http.NoBody {
			// A connection whose deadline can't be set is closed already.
			_ = a.setReadDeadline(time.Now().Add(_restTimeout))
		}
	}()
	h.Handler.ServeHTTP(w, r)
}

// listener accepts connections that are accounted.
type listener struct {
	net.Listener
	budget *Budget
}

// Accept implements net.Listener. It returns the errors of the listener as they are, because
// net/http looks at their type.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		a := l.budget.admit(c)
		if a == nil {
			// Connections that were given up may close now.
			runtime.Gosched()
			a = l.budget.admit(c)
		}
		if a != nil {
			return &conn{Conn: c, account: a}, nil
		}
		l.budget.refuse()
		_ = c.Close()
	}
}

// conn is a connection that is accounted.
type conn struct {
	net.Conn
	account *Account
	// failed is the error of a read. Without it, net/http would take the rest of a body that
	// came too late for the next request.
	failed error
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.failed != nil {
		return 0, c.failed
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.account.read(p[:n], len(p)) {
		n, err = 0, os.ErrDeadlineExceeded
	}
	// net/http ends the read of a single byte beside a handler by a deadline.
	if err != nil && len(p) > 1 {
		c.failed = err
	}
	return n, err
}

// Write implements net.Conn. A long text is written in parts, each with a deadline of its own.
func (c *conn) Write(p []byte) (int, error) {
	d := _writeTimeout
	if c.account.givenUp.Load() {
		d = _lastWriteTimeout
	}
	n := 0
	for {
		// If the deadline can't be set, the connection is closed, and the write fails.
		_ = c.SetWriteDeadline(time.Now().Add(d))
		m, err := c.Conn.Write(p[n:min(len(p), n+_writeBytes)])
		n += m
		if err != nil || n == len(p) {
			return n, err
		}
	}
}

// SetReadDeadline implements net.Conn. That of a connection that was given up stays in the past.
func (c *conn) SetReadDeadline(t time.Time) error { return c.account.setReadDeadline(t) }

func (a *Account) setReadDeadline(t time.Time) error {
	err := a.conn.SetReadDeadline(t)
	if a.givenUp.Load() {
		err = a.conn.SetReadDeadline(_past)
	}
	return err
}

// CloseWrite is called by net/http before it waits for a caller that is still sending.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.account.lingers() {
		c.linger()
	}
	c.account.budget.remove(c.account)
	return c.Conn.Close()
}

// linger lets a caller that is still sending receive its answer.
func (c *conn) linger() {
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(_lingerTimeout)) != nil {
		return
	}
	p, _ := _chunks.Get().(*[_chunkBytes]byte)
	defer _chunks.Put(p)
	for n := 0; n < _lingerBytes; {
		m, err := c.Conn.Read(p[:])
		n += m
		if err != nil {
			return
		}
	}
}
