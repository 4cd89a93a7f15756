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

const (
	_interval    = 20 * time.Millisecond
	_silent      = 100 * time.Millisecond
	_testTimeout = 5 * time.Second
)

// node is a running set with its address.
type node struct {
	*peer.Set
	address string
	stop    func()
	mu      sync.Mutex
	got     []peer.Message
}

// start runs a Set on a loopback listener. change, if not nil, may replace the
// Set or its function fields first.
func start(t testing.TB, name string, incarnation uint64, change func(*node)) *node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return startOn(t, l, name, incarnation, change)
}

func startOn(t testing.TB, l net.Listener, name string, incarnation uint64, change func(*node)) *node {
	t.Helper()
	id := peer.Identity{Entry: name, Incarnation: incarnation, DataCentre: "muscat1"}
	n := &node{Set: peer.New(id, peer.WithHeartbeat(_interval, _silent)), address: l.Addr().String()}
	n.Handle = n.handle
	n.NextHeartbeat = func(time.Time) *peer.Heartbeat {
		return &peer.Heartbeat{AppliedOffset: incarnation, ProofAgeMs: 7, Ready: true}
	}
	if change != nil {
		change(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Serve(ctx, l) }()
	n.stop = sync.OnceFunc(func() {
		cancel()
		assert.Check(t, <-done)
	})
	t.Cleanup(n.stop)
	return n
}

// handle replies to an Ask with a Grant and to a FetchCheckpoint with a Fault, the
// latter after a reply that is too large to be sent. It never replies to a
// FetchHolds, and keeps all other messages.
func (n *node) handle(_ time.Time, in peer.Inbound) {
	switch m := in.Message().(type) {
	case *peer.Ask:
		_ = in.Reply(&peer.Grant{RequestId: m.GetRequestId(), Host: m.GetPool()})
	case *peer.FetchHolds:
		// No reply.
	case *peer.FetchCheckpoint:
		_ = in.Reply(&peer.CheckpointChunk{Data: make([]byte, 1<<20)})
		_ = in.Reply(&peer.Fault{Detail: "chunk is too large"})
	default:
		n.mu.Lock()
		defer n.mu.Unlock()
		n.got = append(n.got, m)
	}
}

func (n *node) received() []peer.Message {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]peer.Message(nil), n.got...)
}

func (n *node) status(entry string) peer.Status {
	for _, s := range n.Peers() {
		if s.Entry() == entry {
			return s
		}
	}
	return peer.Status{}
}

func (n *node) connected(entry string) func() error {
	return func() error {
		if s := n.status(entry); !s.Connected() || s.RTT() == 0 {
			return fmt.Errorf("%s is not connected: %w", entry, s.ConnectErr())
		}
		return nil
	}
}

func (n *node) lost(entry string, want error) func() error {
	return func() error {
		if s := n.status(entry); s.Connected() || !errors.Is(s.DisconnectErr(), want) {
			return fmt.Errorf("connected %v, lost %w", s.Connected(), s.DisconnectErr())
		}
		return nil
	}
}

// eventually polls until check returns nil, for _testTimeout at most.
func eventually(t testing.TB, check func() error) {
	t.Helper()
	deadline := time.Now().Add(_testTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
}

func timeoutContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), _testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// pair starts two nodes a and b and lets a dial b.
func pair(t testing.TB, changeB func(*node)) (a, b *node) {
	t.Helper()
	a, b = start(t, "a", 1, nil), start(t, "b", 2, changeB)
	a.SetPeers([]peer.Peer{{Entry: "b", Address: b.address}, {Entry: "a", Address: a.address}})
	eventually(t, a.connected("b"))
	eventually(t, b.connected("a"))
	return a, b
}

func TestCallAndSend(t *testing.T) {
	a, b := pair(t, nil)
	m, err := a.Call(timeoutContext(t), "b", &peer.Ask{RequestId: 5, Pool: "fitting"})
	assert.NilError(t, err)
	assert.Equal(t, m.(*peer.Grant).GetHost(), "fitting")
	assert.Equal(t, m.(*peer.Grant).GetRequestId(), uint64(5))

	assert.NilError(t, b.Send("a", &peer.Cancel{RequestId: 6}))
	assert.Equal(t, b.SendAll(&peer.Push{Stream: "fleet"}), 1)
	eventually(t, func() error {
		if n := len(a.received()); n != 2 {
			return fmt.Errorf("received %d messages", n)
		}
		return nil
	})

	s := a.status("b")
	assert.Equal(t, s.AppliedOffset(), uint64(2))
	assert.Equal(t, s.ProofAge(), 7*time.Millisecond)
	assert.Equal(t, s.DataCentre(), "muscat1")
	assert.Assert(t, s.Ready() && !s.LastReceived().IsZero())
	assert.Equal(t, len(a.Peers()), 1)
}

func TestCallErrors(t *testing.T) {
	a, b := pair(t, nil)
	_, err := a.Call(timeoutContext(t), "c", &peer.Ask{})
	assert.ErrorIs(t, err, peer.ErrNotConnected)
	_, err = a.Call(timeoutContext(t), "b", &peer.Ask{Key: make([]byte, 1<<17)})
	assert.ErrorIs(t, err, peer.ErrTooLarge)
	var fault *peer.FaultError
	_, err = a.Call(timeoutContext(t), "b", &peer.FetchCheckpoint{})
	assert.Assert(t, errors.As(err, &fault), "%v", err)
	assert.ErrorContains(t, err, "chunk is too large")

	ctx, cancel := context.WithTimeout(context.Background(), _interval)
	defer cancel()
	_, err = a.Call(ctx, "b", &peer.FetchHolds{})
	assert.ErrorIs(t, err, context.DeadlineExceeded)

	ended := make(chan error, 1)
	go func() {
		_, err := a.Call(timeoutContext(t), "b", &peer.FetchHolds{})
		ended <- err
	}()
	time.Sleep(_interval)
	b.stop()
	assert.ErrorIs(t, <-ended, peer.ErrDisconnected)
	eventually(t, func() error {
		if err := a.Send("b", &peer.Ack{}); !errors.Is(err, peer.ErrNotConnected) {
			return fmt.Errorf("sent: %w", err)
		}
		return nil
	})
}
