package upstream

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// writeTracker tells whether any byte of an attempt went out, on whichever
// connections the transport tried. Its zero value is ready.
type writeTracker struct {
	conn  atomic.Pointer[countingConn]
	start atomic.Int64
	definite  atomic.Bool
}

// mayHaveWritten reports whether a byte was written, or may have been.
func (w *writeTracker) mayHaveWritten() bool {
	if w.definite.Load() {
		return true
	}
	c := w.conn.Load()
	return c != nil && c.count.Load() > w.start.Load()
}

// trace notes the connection that the attempt is given. Where the transport
// changes connections, what the first one wrote still counts.
func (w *writeTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if w.mayHaveWritten() {
			w.definite.Store(true)
		}
		c, ok := i.Conn.(*countingConn)
		if !ok {
			w.definite.Store(true)
			return
		}
		w.start.Store(c.count.Load())
		w.conn.Store(c)
	}}
}

// countingConn counts the bytes handed to the connection.
type countingConn struct {
	net.Conn
	count atomic.Int64
}

// Write counts before it writes: a write that fails may have sent a part.
func (c *countingConn) Write(b []byte) (int, error) {
	c.count.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// countingDial wraps the connections of a dial function.
func countingDial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	if dial == nil {
		dial = (&net.Dialer{Timeout: _dialTimeout}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c}, nil
	}
}
