package upstream

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// writeTracker records whether any byte of an attempt was written, on any of
// the connections that the transport used. Its zero value is ready to use.
type writeTracker struct {
	// Current connection, and its count when the attempt got it.
	conn  atomic.Pointer[countingConn]
	start atomic.Int64
	// Set if a byte may have been written to a previous connection, or if the
	// current one doesn't count its bytes.
	assumeWritten atomic.Bool
}

// mayHaveWritten reports whether a byte of the attempt may have been written.
func (w *writeTracker) mayHaveWritten() bool {
	if w.assumeWritten.Load() {
		return true
	}
	c := w.conn.Load()
	return c != nil && c.count.Load() > w.start.Load()
}

// trace returns a trace that records the connection of the attempt. If the
// transport changes connections, bytes written to the previous one still count.
func (w *writeTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if w.mayHaveWritten() {
			w.assumeWritten.Store(true)
		}
		c, ok := i.Conn.(*countingConn)
		if !ok {
			w.assumeWritten.Store(true)
			return
		}
		w.start.Store(c.count.Load())
		w.conn.Store(c)
	}}
}

// countingConn counts the bytes passed to Write.
type countingConn struct {
	net.Conn
	count atomic.Int64
}

// Write counts the bytes before it writes them, since a write that fails may
// have sent some of them.
func (c *countingConn) Write(b []byte) (int, error) {
	c.count.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// countingDial returns a dial function that wraps each connection in a
// countingConn. A nil dial means TCP.
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
