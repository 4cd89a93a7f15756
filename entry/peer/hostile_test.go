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
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(_testTimeout)))
	return c.(*net.TCPConn)
}

// exchangeHello sends a hello and returns the hello of the other side.
func exchangeHello(t testing.TB, c net.Conn, h *peer.Hello) *peer.Hello {
	t.Helper()
	_, err := protodelim.MarshalTo(c, h)
	assert.NilError(t, err)
	got := new(peer.Hello)
	assert.NilError(t, protodelim.UnmarshalFrom(bufio.NewReader(c), got))
	return got
}

var _rawHello = &peer.Hello{Magic: _magic, Version: 1, Oldest: 1, Entry: "raw", Incarnation: 9}

// raw connects as an entry named raw, without a Set, and returns the session
// and its lanes.
func raw(t testing.TB, address string) (*yamux.Session, []net.Conn) {
	t.Helper()
	c := dialRaw(t, address)
	h := exchangeHello(t, c, _rawHello)
	assert.Assert(t, h.GetRefusal() == nil, "%v", h)
	_, err := protodelim.MarshalTo(c, new(peer.Start))
	assert.NilError(t, err)
	s, lanes := openLanes(t, c)
	return s, lanes
}

func sessionConfig() *yamux.Config {
	conf := yamux.DefaultConfig()
	conf.EnableKeepAlive, conf.LogOutput = false, io.Discard
	return conf
}

// openLanes opens a session with the control lane and the bulk lane.
func openLanes(t testing.TB, c net.Conn) (*yamux.Session, []net.Conn) {
	t.Helper()
	s, err := yamux.Client(c, sessionConfig())
	assert.NilError(t, err)
	var lanes []net.Conn
	for range 2 {
		l, err := s.Open()
		assert.NilError(t, err)
		lanes = append(lanes, l)
	}
	return s, lanes
}

// writeFrame sends a frame in a single write, so that concurrent senders can
// share a lane.
func writeFrame(w io.Writer, m proto.Message) error {
	var b bytes.Buffer
	if _, err := protodelim.MarshalTo(&b, m); err != nil {
		return err
	}
	_, err := w.Write(b.Bytes())
	return err
}

// sendHeartbeats sends heartbeats on a raw connection until the test ends.
func sendHeartbeats(t testing.TB, control net.Conn) {
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

// withDefaults gives a node the default heartbeat settings and the peer raw.
func withDefaults(n *node) {
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
			got := exchangeHello(t, dialRaw(t, b.address), h)
			assert.Equal(t, got.GetRefusal().GetCode().String(), c.Want, "%v", got)
		})
	}
	assert.Equal(t, len(b.Peers()), 0)
}

// Bytes other than a valid hello must end only their own connection. If they
// make up an invalid frame, the sender must receive a refusal first.
func TestHostileBeforeHello(t *testing.T) {
	a, b := pair(t, nil)
	for name, c := range map[string]struct {
		data    string
		refused bool
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
			assert.Equal(t, err == nil, c.refused, "%v", err)
			if c.refused {
				assert.Equal(t, h.GetRefusal().GetCode(), peer.RefusalCode_REFUSAL_CODE_MALFORMED)
			}
			_, err = io.Copy(io.Discard, r)
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "still open")
		})
	}
	_, err := a.Call(timeoutContext(t), "b", &peer.Ask{})
	assert.NilError(t, err)
}

// Connections that send no hello must be limited in number. The next connection
// must receive a refusal.
func TestTooManyConnections(t *testing.T) {
	const limit = 128
	b := start(t, "b", 2, nil)
	for range limit {
		dialRaw(t, b.address)
	}
	// The refusal arrives although the connection sent no hello.
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

// A call with an unknown type of message must get a Fault as the reply, and the
// connection must stay open.
func TestUnknownMessage(t *testing.T) {
	b := start(t, "b", 2, nil)
	_, lanes := raw(t, b.address)
	sendHeartbeats(t, lanes[0])
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

// A process stopped by SIGSTOP keeps its connection open but sends nothing.
// With the default settings, its connection must be closed within a second.
func TestStoppedProcessIsDropped(t *testing.T) {
	b := start(t, "b", 2, withDefaults)
	raw(t, b.address)
	eventually(t, linked(b))
	stopped := time.Now()
	eventually(t, b.lost("raw", peer.ErrHeartbeatTimeout))
	assert.Assert(t, time.Since(stopped) < time.Second, "took %v", time.Since(stopped))
}

var _push = &peer.Push{Records: []*peer.LogRecord{{Data: make([]byte, 200<<10)}}}

// flood sends bulk messages until lost returns nil. It checks that Send never
// waits and returned ErrQueueFull at least once.
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
	assert.Assert(t, full > 0, "Send never returned ErrQueueFull")
}

// A peer that does not read its bulk lane must be disconnected even if it keeps
// sending heartbeats.
func TestSlowReaderIsDropped(t *testing.T) {
	b := start(t, "b", 2, withDefaults)
	_, lanes := raw(t, b.address)
	sendHeartbeats(t, lanes[0])
	eventually(t, linked(b))
	flood(t, b, b.lost("raw", peer.ErrTimeout))
}

// A peer that reads nothing at all must be disconnected as well. Its heartbeats
// may stop arriving too, since its kernel drops acknowledgements outside its
// closed receive window, so either error is accepted.
func TestPeerThatReadsNothingIsDropped(t *testing.T) {
	b := start(t, "b", 2, withDefaults)
	c := dialRaw(t, b.address)
	assert.NilError(t, c.SetReadBuffer(1<<12))
	exchangeHello(t, c, _rawHello)
	_, err := protodelim.MarshalTo(c, new(peer.Start))
	assert.NilError(t, err)
	_, lanes := openLanes(t, nonReadingConn{c})
	sendHeartbeats(t, lanes[0])
	eventually(t, linked(b))
	begun := time.Now()
	flood(t, b, func() error {
		slow := b.lost("raw", peer.ErrTimeout)()
		if silent := b.lost("raw", peer.ErrHeartbeatTimeout)(); silent != nil {
			return slow
		}
		return nil
	})
	assert.Assert(t, time.Since(begun) < 2*time.Second, "took %v", time.Since(begun))
}

// nonReadingConn reads nothing: its Read returns io.EOF after _testTimeout.
type nonReadingConn struct{ *net.TCPConn }

func (c nonReadingConn) Read([]byte) (int, error) {
	time.Sleep(_testTimeout)
	return 0, io.EOF
}

// Heartbeats and calls must go on while bulk messages fill the window of their
// stream.
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
			return fmt.Errorf("bulk lane is not full: %w", err)
		}
		return nil
	})
	_, err := a.Call(timeoutContext(t), "b", &peer.Ask{})
	assert.NilError(t, err)
	assert.Assert(t, a.status("b").Connected())
}

// A message just below the maximum frame size of the bulk lane must arrive.
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
