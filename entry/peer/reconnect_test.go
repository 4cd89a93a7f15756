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

// wire counts and keeps the connections that a set dials.
type wire struct {
	mu    sync.Mutex
	conns []net.Conn
}

func (w *wire) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err == nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.conns = append(w.conns, c)
	}
	return c, err
}

func (w *wire) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns)
}

func (w *wire) cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		_ = c.Close()
	}
}

func (w *wire) use(n *node) { n.Dial = w.dial }

func TestCutIsReconnected(t *testing.T) {
	var w wire
	a, b := start(t, "a", 1, w.use), start(t, "b", 2, nil)
	a.SetPeers([]peer.Peer{{Entry: "b", Address: b.address}})
	for n := 1; n <= 3; n++ {
		eventually(t, a.connected("b"))
		eventually(t, b.connected("a"))
		assert.Equal(t, w.count(), n)
		w.cut()
		eventually(t, func() error {
			if w.count() == n {
				return errors.New("not dialled again")
			}
			return nil
		})
	}
}

// crossing is a dialled connection whose last frame of the handshake waits
// until the other side has come as far.
type crossing struct {
	net.Conn
	writes int
	both   *sync.WaitGroup
}

func (c *crossing) Write(p []byte) (int, error) {
	// The hello takes two writes.
	const start = 3
	if c.writes++; c.writes == start {
		c.both.Done()
		c.both.Wait()
	}
	return c.Conn.Write(p)
}

// cross has the first connection that w dials cross that of another wire.
func (w *wire) cross(both *sync.WaitGroup) func(*node) {
	return func(n *node) {
		n.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			c, err := w.dial(ctx, address)
			if err != nil || w.count() > 1 {
				return c, err
			}
			return &crossing{Conn: c, both: both}, nil
		}
	}
}

// Both sides dial at once: the connection dialled by the smaller name stays,
// and nothing happens when the other one is cut.
func TestBothDialAtOnce(t *testing.T) {
	for range 10 {
		var wa, wb wire
		var both sync.WaitGroup
		both.Add(2)
		a, b := start(t, "a", 1, wa.cross(&both)), start(t, "b", 2, wb.cross(&both))
		a.SetPeers([]peer.Peer{{Entry: "b", Address: b.address}})
		b.SetPeers([]peer.Peer{{Entry: "a", Address: a.address}})
		both.Wait()
		eventually(t, a.connected("b"))
		eventually(t, b.connected("a"))
		time.Sleep(_interval)
		before := wa.count()
		wb.cut()
		time.Sleep(_interval)
		assert.Equal(t, wa.count(), before)
		_, err := a.Call(patience(t), "b", &peer.Ask{})
		assert.NilError(t, err)
		_, err = b.Call(patience(t), "a", &peer.Ask{})
		assert.NilError(t, err)
		a.stop()
		b.stop()
	}
}

func TestNewProcessReplacesOld(t *testing.T) {
	a, old := pair(t, nil)
	fresh := start(t, "b", 3, nil)
	a.SetPeers([]peer.Peer{{Entry: "b", Address: fresh.address}})
	assert.Equal(t, a.status("b").Incarnation(), uint64(2), "the link is kept while it lasts")
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

// A process that was replaced and wakes late can't take the connection of the
// registered one, but a new one can once the registered one is gone.
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

func TestWrongEntryIsNamed(t *testing.T) {
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

// An acceptor that doesn't mind whom the dialler wants is refused by it.
func TestWrongAcceptor(t *testing.T) {
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

// A seed's name is learnt, and the seed that is this entry itself is harmless.
func TestSeeds(t *testing.T) {
	a, b := start(t, "a", 1, nil), start(t, "b", 2, nil)
	a.SetPeers([]peer.Peer{{Address: b.address}, {Address: a.address}})
	eventually(t, a.connected("b"))
	time.Sleep(2 * _interval)
	assert.Equal(t, len(a.Peers()), 1)
	assert.NilError(t, a.connected("b")())
}

// An address that is also registered isn't dialled twice.
func TestSeedThatIsRegistered(t *testing.T) {
	var w wire
	a, b := start(t, "a", 1, w.use), start(t, "b", 2, nil)
	a.SetPeers([]peer.Peer{{Address: b.address}, {Entry: "b", Address: b.address}})
	eventually(t, a.connected("b"))
	assert.Equal(t, w.count(), 1)
}

func TestDialBacksOff(t *testing.T) {
	const most = 10
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
	assert.Assert(t, n > 1 && n < most, "dialled %d times", n)
	assert.ErrorContains(t, a.status("b").ConnectErr(), "out of order")
}
