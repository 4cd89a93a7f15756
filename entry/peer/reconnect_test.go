package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"gotest.tools/v3/assert"

	"fescuelanding/entry/peer"
)

// recordingDialer dials TCP connections and keeps all of them.
type recordingDialer struct {
	mu    sync.Mutex
	conns []net.Conn
}

func (w *recordingDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err == nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.conns = append(w.conns, c)
	}
	return c, err
}

func (w *recordingDialer) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns)
}

func (w *recordingDialer) closeAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		_ = c.Close()
	}
}

func (w *recordingDialer) use(n *node) { n.Dial = w.dial }

func TestReconnect(t *testing.T) {
	var w recordingDialer
	a, b := start(t, "a", 1, w.use), start(t, "b", 2, nil)
	a.SetPeers([]peer.Peer{{Entry: "b", Address: b.address}})
	for n := 1; n <= 3; n++ {
		eventually(t, a.connected("b"))
		eventually(t, b.connected("a"))
		assert.Equal(t, w.count(), n)
		w.closeAll()
		eventually(t, func() error {
			if w.count() == n {
				return errors.New("not dialled again")
			}
			return nil
		})
	}
}

// simultaneousConn is a dialled connection. Its write of the Start frame waits
// until the connection that the other side dialled writes its own.
type simultaneousConn struct {
	net.Conn
	writes int
	both   *sync.WaitGroup
}

func (c *simultaneousConn) Write(p []byte) (int, error) {
	// The hello takes the first two writes.
	const start = 3
	if c.writes++; c.writes == start {
		c.both.Done()
		c.both.Wait()
	}
	return c.Conn.Write(p)
}

// dialSimultaneously returns a function to pass to start. It replaces the node's
// Dial, so that the first connection dialled is wrapped in a simultaneousConn.
func (w *recordingDialer) dialSimultaneously(both *sync.WaitGroup) func(*node) {
	return func(n *node) {
		n.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			c, err := w.dial(ctx, address)
			if err != nil || w.count() > 1 {
				return c, err
			}
			return &simultaneousConn{Conn: c, both: both}, nil
		}
	}
}

// If both sides dial at once, they must keep the connection dialled by the
// entry whose name sorts first. Closing the other connection must have no
// effect.
func TestBothDialAtOnce(t *testing.T) {
	for range 10 {
		var wa, wb recordingDialer
		var both sync.WaitGroup
		both.Add(2)
		a, b := start(t, "a", 1, wa.dialSimultaneously(&both)), start(t, "b", 2, wb.dialSimultaneously(&both))
		a.SetPeers([]peer.Peer{{Entry: "b", Address: b.address}})
		b.SetPeers([]peer.Peer{{Entry: "a", Address: a.address}})
		both.Wait()
		eventually(t, a.connected("b"))
		eventually(t, b.connected("a"))
		time.Sleep(_interval)
		before := wa.count()
		wb.closeAll()
		time.Sleep(_interval)
		assert.Equal(t, wa.count(), before)
		_, err := a.Call(timeoutContext(t), "b", &peer.Ask{})
		assert.NilError(t, err)
		_, err = b.Call(timeoutContext(t), "a", &peer.Ask{})
		assert.NilError(t, err)
		a.stop()
		b.stop()
	}
}

func TestNewProcessReplacesOld(t *testing.T) {
	a, old := pair(t, nil)
	fresh := start(t, "b", 3, nil)
	a.SetPeers([]peer.Peer{{Entry: "b", Address: fresh.address}})
	assert.Equal(t, a.status("b").Incarnation(), uint64(2), "the old connection must be kept until it fails")
	fresh.SetPeers([]peer.Peer{{Entry: "a", Address: a.address}})
	eventually(t, func() error {
		if i := a.status("b").Incarnation(); i != 3 {
			return fmt.Errorf("incarnation is %d", i)
		}
		return a.connected("b")()
	})
	eventually(t, func() error {
		if old.status("a").Connected() {
			return errors.New("the old process is still connected")
		}
		return nil
	})
}

// A process that is not the registered one, such as one that was paused and
// replaced, must not replace the connection of the registered process. It may
// connect once the registered process has disconnected.
func TestRegisteredProcessIsKept(t *testing.T) {
	a, b := pair(t, nil)
	a.SetPeers([]peer.Peer{{Entry: "b", Address: b.address, Incarnation: 2}})
	late := start(t, "b", 3, nil)
	late.SetPeers([]peer.Peer{{Entry: "a", Address: a.address}})
	var refused *peer.RefusedError
	eventually(t, func() error {
		if err := late.status("a").ConnectErr(); !errors.As(err, &refused) {
			return fmt.Errorf("not refused: %w", err)
		}
		return nil
	})
	assert.Equal(t, refused.Code(), peer.RefusalCode_REFUSAL_CODE_REPLACED)
	assert.Equal(t, a.status("b").Incarnation(), uint64(2))
	assert.NilError(t, a.connected("b")())
	b.stop()
	eventually(t, late.connected("a"))
}

func TestAddressChange(t *testing.T) {
	a, b := pair(t, nil)
	b.stop()
	moved := start(t, "b", 3, nil)
	a.SetPeers([]peer.Peer{{Entry: "b", Address: moved.address}})
	eventually(t, a.connected("b"))
}

func TestWrongEntryIsRefused(t *testing.T) {
	a, b := start(t, "a", 1, nil), start(t, "b", 2, nil)
	a.SetPeers([]peer.Peer{{Entry: "c", Address: b.address}})
	var refused *peer.RefusedError
	eventually(t, func() error {
		if err := a.status("c").ConnectErr(); !errors.As(err, &refused) {
			return fmt.Errorf("not refused: %w", err)
		}
		return nil
	})
	assert.Equal(t, refused.Code(), peer.RefusalCode_REFUSAL_CODE_WRONG_ENTRY)
	assert.Error(t, refused, "peer: refused by the other side: reached b, wanted c")
}

// If the acceptor ignores which entry the dialer wants and answers with another
// name, the dialer must refuse the connection.
func TestDialerRefusesWrongEntry(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			_, _ = protodelim.MarshalTo(c, _rawHello)
		}
	}()
	a := start(t, "a", 1, nil)
	a.SetPeers([]peer.Peer{{Entry: "b", Address: l.Addr().String()}})
	eventually(t, func() error {
		if err := a.status("b").ConnectErr(); err == nil || !strings.HasSuffix(err.Error(), "this side: reached raw, wanted b") {
			return fmt.Errorf("not refused: %w", err)
		}
		return nil
	})
}

// The name of a seed must be learnt from its hello. A seed that is the address
// of this entry itself must have no effect.
func TestSeeds(t *testing.T) {
	a, b := start(t, "a", 1, nil), start(t, "b", 2, nil)
	a.SetPeers([]peer.Peer{{Address: b.address}, {Address: a.address}})
	eventually(t, a.connected("b"))
	time.Sleep(2 * _interval)
	assert.Equal(t, len(a.Peers()), 1)
	assert.NilError(t, a.connected("b")())
}

// A seed whose address also belongs to a registered entry must not be dialled
// twice.
func TestRegisteredSeedIsDialledOnce(t *testing.T) {
	var w recordingDialer
	a, b := start(t, "a", 1, w.use), start(t, "b", 2, nil)
	a.SetPeers([]peer.Peer{{Address: b.address}, {Entry: "b", Address: b.address}})
	eventually(t, a.connected("b"))
	assert.Equal(t, w.count(), 1)
}

func TestDialBacksOff(t *testing.T) {
	const maxDials = 10
	var dialled atomic.Int64
	a := start(t, "a", 1, func(n *node) {
		n.Dial = func(context.Context, string) (net.Conn, error) {
			dialled.Add(1)
			return nil, errors.New("out of order")
		}
	})
	a.SetPeers([]peer.Peer{{Entry: "b", Address: "127.0.0.1:1"}})
	time.Sleep(_silent)
	n := dialled.Load()
	assert.Assert(t, n > 1 && n < maxDials, "dialled %d times", n)
	assert.ErrorContains(t, a.status("b").ConnectErr(), "out of order")
}
