package upstream

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// written tells whether any byte of an attempt went out, on whichever
// connections the transport tried. Its zero value is ready.
type written struct {
	conn  atomic.Pointer[countedConn]
	start atomic.Int64
	sure  atomic.Bool
}

// any reports whether a byte was written, or may have been.
func (w *written) any() bool {
	if w.sure.Load() {
		return true
	}
	c := w.conn.Load()
	return c != nil && c.count.Load() > w.start.Load()
}

// trace notes the connection that the attempt is given. Where the transport
// changes connections, what the first one wrote still counts.
func (w *written) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if w.any() {
			w.sure.Store(true)
		}
		c, ok := i.Conn.(*countedConn)
		if !ok {
			w.sure.Store(true)
			return
		}
		w.start.Store(c.count.Load())
		w.conn.Store(c)
	}}
}

// countedConn counts the bytes handed to the connection.
type countedConn struct {
	net.Conn
	count atomic.Int64
}

// Write counts before it writes: a write that fails may have sent a part.
func (c *countedConn) Write(b []byte) (int, error) {
	c.count.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// countedDial wraps the connections of a dial function.
func countedDial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	if dial == nil {
		dial = (&net.Dialer{Timeout: _dialTimeout}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c}, nil
	}
}
