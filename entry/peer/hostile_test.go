package peer_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"fescuelanding/entry/peer"
)

const _magic = 0x46534355

func dialRaw(t testing.TB, address string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(_patience)))
	return c.(*net.TCPConn)
}

// greet sends a hello and returns the other side's.
func greet(t testing.TB, c net.Conn, h *peer.Hello) *peer.Hello {
	t.Helper()
	_, err := protodelim.MarshalTo(c, h)
	assert.NilError(t, err)
	got := new(peer.Hello)
	assert.NilError(t, protodelim.UnmarshalFrom(bufio.NewReader(c), got))
	return got
}

var _rawHello = &peer.Hello{Magic: _magic, Version: 1, Oldest: 1, Entry: "raw", Incarnation: 9}

// raw connects as an entry that speaks the protocol by hand.
func raw(t testing.TB, address string) (*yamux.Session, []net.Conn) {
	t.Helper()
	c := dialRaw(t, address)
	h := greet(t, c, _rawHello)
	assert.Assert(t, h.GetRefusal() == nil, "%v", h)
	_, err := protodelim.MarshalTo(c, new(peer.Start))
	assert.NilError(t, err)
	s, lanes := openLanes(t, c)
	return s, lanes
}

func quietConfig() *yamux.Config {
	conf := yamux.DefaultConfig()
	conf.EnableKeepAlive, conf.LogOutput = false, io.Discard
	return conf
}

// openLanes opens a session with the control and the bulk lane.
func openLanes(t testing.TB, c net.Conn) (*yamux.Session, []net.Conn) {
	t.Helper()
	s, err := yamux.Client(c, quietConfig())
	assert.NilError(t, err)
	var lanes []net.Conn
	for range 2 {
		l, err := s.Open()
		assert.NilError(t, err)
		lanes = append(lanes, l)
	}
	return s, lanes
}

// writeFrame sends a frame in one piece, for lanes with several senders.
func writeFrame(w io.Writer, m proto.Message) error {
	var b bytes.Buffer
	if _, err := protodelim.MarshalTo(&b, m); err != nil {
		return err
	}
	_, err := w.Write(b.Bytes())
	return err
}

// beat keeps a raw connection from being silent.
func beat(t testing.TB, control net.Conn) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	e := &peer.Envelope{Body: &peer.Envelope_Heartbeat{Heartbeat: &peer.Heartbeat{SentUs: 1}}}
	go func() {
		for {
			_ = writeFrame(control, e)
			select {
			case <-stop:
				return
			case <-time.After(_interval):
			}
		}
	}()
}

func linked(n *node) func() error {
	return func() error {
		if !n.status("raw").Connected() {
			return errors.New("raw is not connected")
		}
		return nil
	}
}

func expectsRaw(n *node) { n.SetPeers([]peer.Peer{{Entry: "raw", Address: "127.0.0.1:1"}}) }

// inProduction gives a node that expects raw the settings of production.
func inProduction(n *node) {
	n.Set = peer.New(peer.Identity{Entry: "b", Incarnation: 2})
	expectsRaw(n)
}

func TestHello(t *testing.T) {
	text, err := os.ReadFile("testdata/hello.json")
	assert.NilError(t, err)
	var cases []struct {
		Name  string
		Hello json.RawMessage
		Want  string
	}
	assert.NilError(t, json.Unmarshal(text, &cases))
	b := start(t, "b", 2, nil)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			h := new(peer.Hello)
			assert.NilError(t, protojson.Unmarshal(c.Hello, h))
			got := greet(t, dialRaw(t, b.address), h)
			assert.Equal(t, got.GetRefusal().GetCode().String(), c.Want, "%v", got)
		})
	}
	assert.Equal(t, len(b.Peers()), 0)
}

// Whatever a stranger sends, it is told why where it sent a frame, the
// connection ends and the others go on.
func TestHostileBeforeHello(t *testing.T) {
	a, b := pair(t, nil)
	for name, c := range map[string]struct {
		data string
		told bool
	}{
		"http":     {"GET / HTTP/1.1\r\nHost: b\r\n\r\n" + string(make([]byte, 100)), true},
		"huge":     {"\xff\xff\xff\xff\x0f", true},
		"overlong": {"\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", true},
		"nothing":  {"", false},
		"half":     {"\x20abc", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := dialRaw(t, b.address)
			_, err := n.Write([]byte(c.data))
			assert.NilError(t, err)
			r := bufio.NewReader(n)
			h := new(peer.Hello)
			err = protodelim.UnmarshalFrom(r, h)
			assert.Equal(t, err == nil, c.told, "%v", err)
			if c.told {
				assert.Equal(t, h.GetRefusal().GetCode(), peer.RefusalCode_REFUSAL_CODE_MALFORMED)
			}
			_, err = io.Copy(io.Discard, r)
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "still open")
		})
	}
	_, err := a.Call(patience(t), "b", &peer.Ask{})
	assert.NilError(t, err)
}

// Connections that say nothing are bounded, and the next one is told.
func TestTooManyConnections(t *testing.T) {
	const limit = 128
	b := start(t, "b", 2, nil)
	for range limit {
		dialRaw(t, b.address)
	}
	// It is refused before it says a word, and the connection is closed.
	got := new(peer.Hello)
	assert.NilError(t, protodelim.UnmarshalFrom(bufio.NewReader(dialRaw(t, b.address)), got))
	assert.Equal(t, got.GetRefusal().GetCode(), peer.RefusalCode_REFUSAL_CODE_FULL)
}

func TestHostileAfterHello(t *testing.T) {
	b := start(t, "b", 2, expectsRaw)
	var control, bulk net.Conn
	write := func(c *net.Conn, data string) func(*yamux.Session) {
		return func(*yamux.Session) { _, _ = (*c).Write([]byte(data)) }
	}
	for _, c := range []struct {
		name string
		do   func(*yamux.Session)
		want error
	}{
		{"huge frame", write(&control, "\xff\xff\xff\x0f"), peer.ErrBadFrame},
		{"huge bulk frame", write(&bulk, "\xff\xff\xff\x0f"), peer.ErrBadFrame},
		{"garbage", write(&control, "\x03\xff\xff\xff"), peer.ErrBadFrame},
		{"ping", func(s *yamux.Session) { _, _ = s.Ping() }, peer.ErrBadFrame},
		{"third stream", func(s *yamux.Session) { _, _ = s.Open() }, peer.ErrTooManyStreams},
		{"closed lane", func(*yamux.Session) { _ = bulk.Close() }, peer.ErrDisconnected},
		{"silence", func(*yamux.Session) {}, peer.ErrHeartbeatTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, lanes := raw(t, b.address)
			control, bulk = lanes[0], lanes[1]
			eventually(t, linked(b))
			c.do(s)
			eventually(t, b.lost("raw", c.want))
		})
	}
}

// An unknown kind of message is answered and ends nothing.
func TestUnknownMessage(t *testing.T) {
	b := start(t, "b", 2, nil)
	_, lanes := raw(t, b.address)
	beat(t, lanes[0])
	assert.NilError(t, writeFrame(lanes[0], &peer.Envelope{Call: 4}))
	r := bufio.NewReader(lanes[0])
	for {
		e := new(peer.Envelope)
		assert.NilError(t, protodelim.UnmarshalFrom(r, e))
		if e.GetReply() {
			assert.Equal(t, e.GetCall(), uint64(4))
			assert.Equal(t, e.GetFault().GetDetail(), "message of an unknown kind")
			break
		}
	}
	assert.Assert(t, b.status("raw").Connected())
}

// A peer that was stopped by a signal keeps its connection open and says
// nothing; it is noticed within a second with the settings of production.
func TestFrozenPeerIsNoticed(t *testing.T) {
	b := start(t, "b", 2, inProduction)
	raw(t, b.address)
	eventually(t, linked(b))
	frozen := time.Now()
	eventually(t, b.lost("raw", peer.ErrHeartbeatTimeout))
	assert.Assert(t, time.Since(frozen) < time.Second, "took %v", time.Since(frozen))
}

var _push = &peer.Push{Records: []*peer.LogRecord{{Data: make([]byte, 200<<10)}}}

// flood sends bulk until the connection is lost, and checks that sending
// never waits and that the lane was full at some time.
func flood(t *testing.T, b *node, lost func() error) {
	t.Helper()
	full := 0
	eventually(t, func() error {
		begun := time.Now()
		err := b.Send("raw", _push)
		assert.Assert(t, time.Since(begun) < _silent, "send waited")
		if errors.Is(err, peer.ErrQueueFull) {
			full++
		}
		return lost()
	})
	assert.Assert(t, full > 0, "the lane never was full")
}

// A peer that takes nothing off its bulk lane is dropped though it goes on
// beating.
func TestSlowReaderIsDropped(t *testing.T) {
	b := start(t, "b", 2, inProduction)
	_, lanes := raw(t, b.address)
	beat(t, lanes[0])
	eventually(t, linked(b))
	flood(t, b, b.lost("raw", peer.ErrWriteTimeout))
}

// One that reads nothing at all is dropped as well. Its heartbeats may come
// to a halt too, since the kernel drops acknowledgements outside its closed
// window.
func TestDeafPeerIsDropped(t *testing.T) {
	b := start(t, "b", 2, inProduction)
	c := dialRaw(t, b.address)
	assert.NilError(t, c.SetReadBuffer(1<<12))
	greet(t, c, _rawHello)
	_, err := protodelim.MarshalTo(c, new(peer.Start))
	assert.NilError(t, err)
	_, lanes := openLanes(t, deafConn{c})
	beat(t, lanes[0])
	eventually(t, linked(b))
	begun := time.Now()
	flood(t, b, func() error {
		slow := b.lost("raw", peer.ErrWriteTimeout)()
		if silent := b.lost("raw", peer.ErrHeartbeatTimeout)(); silent != nil {
			return slow
		}
		return nil
	})
	assert.Assert(t, time.Since(begun) < 2*time.Second, "took %v", time.Since(begun))
}

// deafConn never returns from Read until it is closed.
type deafConn struct{ *net.TCPConn }

func (c deafConn) Read([]byte) (int, error) {
	time.Sleep(_patience)
	return 0, io.EOF
}

// Bulk fills its stream's window while heartbeats and calls go on.
func TestControlIsNotBehindBulk(t *testing.T) {
	hold := make(chan struct{})
	a, _ := pair(t, func(n *node) {
		n.Handle = func(now time.Time, in peer.Inbound) {
			if _, ok := in.Message().(*peer.Push); ok {
				<-hold
			}
			n.handle(now, in)
		}
	})
	t.Cleanup(func() { close(hold) })
	eventually(t, func() error {
		if err := a.Send("b", _push); !errors.Is(err, peer.ErrQueueFull) {
			return fmt.Errorf("lane has room: %w", err)
		}
		return nil
	})
	_, err := a.Call(patience(t), "b", &peer.Ask{})
	assert.NilError(t, err)
	assert.Assert(t, a.status("b").Connected())
}

func TestMaxFrameIsNotExceeded(t *testing.T) {
	a, b := pair(t, nil)
	m := &peer.Push{Records: []*peer.LogRecord{{Data: make([]byte, 255<<10)}}}
	assert.NilError(t, a.Send("b", m))
	eventually(t, func() error {
		if got := b.received(); len(got) != 1 || !proto.Equal(got[0], m) {
			return fmt.Errorf("received %d messages", len(got))
		}
		return nil
	})
}
