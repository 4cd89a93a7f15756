package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

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

// Both sides dial at once: one connection stays and nothing is dialled again.
func TestBothDialAtOnce(t *testing.T) {
	for range 20 {
		var wa, wb wire
		a, b := start(t, "a", 1, wa.use), start(t, "b", 2, wb.use)
		var both sync.WaitGroup
		both.Go(func() { a.SetPeers([]peer.Peer{{Entry: "b", Address: b.address}}) })
		both.Go(func() { b.SetPeers([]peer.Peer{{Entry: "a", Address: a.address}}) })
		both.Wait()
		settled := func() error {
			time.Sleep(_interval)
			before := wa.count() + wb.count()
			time.Sleep(2 * _interval)
			if after := wa.count() + wb.count(); after != before {
				return fmt.Errorf("dialled %d times, then %d", before, after)
			}
			return errors.Join(a.connected("b")(), b.connected("a")())
		}
		eventually(t, settled)
		assert.Assert(t, wa.count()+wb.count() <= 4, "dialled %d and %d times", wa.count(), wb.count())
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
		if err := a.status("c").Err(); !errors.As(err, &refused) {
			return fmt.Errorf("not refused: %w", err)
		}
		return nil
	})
	assert.Equal(t, refused.Code(), peer.RefusalCode_REFUSAL_CODE_WRONG_ENTRY)
	assert.Error(t, refused, "peer: refused by the other side: reached b, wanted c")
}

// A seed's name is learnt, and an address that is also registered isn't
// dialled twice; the seed that is this entry itself is harmless.
func TestSeeds(t *testing.T) {
	var w wire
	a, b := start(t, "a", 1, w.use), start(t, "b", 2, nil)
	a.SetPeers([]peer.Peer{{Address: b.address}})
	eventually(t, a.connected("b"))
	a.SetPeers([]peer.Peer{{Address: b.address}, {Entry: "b", Address: b.address}})
	time.Sleep(2 * _interval)
	assert.Equal(t, w.count(), 1)
	a.SetPeers([]peer.Peer{{Address: a.address}})
	time.Sleep(2 * _interval)
	assert.Equal(t, len(a.Peers()), 1)
	assert.NilError(t, a.connected("b")())
}
