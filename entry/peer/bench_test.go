package peer_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/yamux"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/encoding/protodelim"
	"gotest.tools/v3/assert"

	"fescuelanding/entry/peer"
)

var _ask = &peer.Ask{
	RequestId: 5, Pool: "fitting", Service: "fitting", Class: "counter", Team: "desk", DeadlineLeftMs: 800,
}

// timed runs call in a loop and reports its median and 99th percentile.
func timed(b *testing.B, call func() error) {
	h := hdrhistogram.New(1, time.Minute.Nanoseconds(), 3)
	for b.Loop() {
		begun := time.Now()
		assert.NilError(b, call())
		assert.NilError(b, h.RecordValue(time.Since(begun).Nanoseconds()))
	}
	b.ReportMetric(float64(h.ValueAtPercentile(50))/1e3, "p50-us")
	b.ReportMetric(float64(h.ValueAtPercentile(99))/1e3, "p99-us")
}

func BenchmarkCall(b *testing.B) {
	a, _ := pair(b, nil)
	timed(b, func() error {
		_, err := a.Call(context.Background(), "b", _ask)
		return err
	})
}

// BenchmarkCallBesideBulk measures calls while the bulk lane is kept full.
func BenchmarkCallBesideBulk(b *testing.B) {
	a, _ := pair(b, func(n *node) {
		n.Handle = func(now time.Time, in peer.Inbound) {
			if _, ok := in.Message().(*peer.Push); !ok {
				n.handle(now, in)
			}
		}
	})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			if a.Send("b", _push) != nil {
				time.Sleep(time.Millisecond)
			}
		}
	})
	timed(b, func() error {
		_, err := a.Call(context.Background(), "b", _ask)
		return err
	})
	close(stop)
	wg.Wait()
}

// BenchmarkStreamForEachCall measures the alternative to the control lane: one
// yamux stream for each call.
func BenchmarkStreamForEachCall(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	go answerStreams(l)
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(b, err)
	s, _ := openLanes(b, c)
	b.Cleanup(func() { _ = s.Close() })
	timed(b, func() error {
		st, err := s.Open()
		if err != nil {
			return err
		}
		defer func() { _ = st.Close() }()
		if _, err := protodelim.MarshalTo(st, &peer.Envelope{Body: &peer.Envelope_Ask{Ask: _ask}}); err != nil {
			return err
		}
		return protodelim.UnmarshalFrom(byteConn{st}, new(peer.Envelope))
	})
}

// answerStreams accepts one connection and replies to the message of each of
// its streams with a Grant.
func answerStreams(l net.Listener) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	s, err := yamux.Server(c, sessionConfig())
	if err != nil {
		return
	}
	for {
		st, err := s.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = st.Close() }()
			if protodelim.UnmarshalFrom(byteConn{st}, new(peer.Envelope)) == nil {
				_, _ = protodelim.MarshalTo(st, &peer.Envelope{Body: &peer.Envelope_Grant{Grant: new(peer.Grant)}})
			}
		}()
	}
}

// byteConn adds an unbuffered ReadByte to a stream.
type byteConn struct{ net.Conn }

// ReadByte implements io.ByteReader.
func (c byteConn) ReadByte() (byte, error) {
	var p [1]byte
	_, err := c.Read(p[:])
	return p[0], err
}

// BenchmarkHeartbeats measures the cost of idle connections in a full mesh of
// entries with the default heartbeat settings. The kernel counts the packets.
func BenchmarkHeartbeats(b *testing.B) {
	for _, entries := range []int{3, 9, 27} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) { measureIdle(b, entries) })
	}
}

func measureIdle(b *testing.B, entries int) {
	const (
		period = 2 * time.Second
		// Bytes of the IPv4 and TCP headers, with TCP timestamps.
		packetHeader = 52
	)
	var w recordingDialer
	mesh(b, entries, &w)
	for b.Loop() {
		used := processorTime(b)
		bytes, packets := w.traffic(b)
		time.Sleep(period)
		used = processorTime(b) - used
		bytesAfter, packetsAfter := w.traffic(b)
		bytes, packets = bytesAfter-bytes, packetsAfter-packets
		entrySeconds := period.Seconds() * float64(entries)
		b.ReportMetric(100*used.Seconds()/entrySeconds, "%core/entry")
		b.ReportMetric(float64(packets)/entrySeconds, "packets/s/entry")
		b.ReportMetric(float64(bytes+packetHeader*packets)/entrySeconds, "B/s/entry")
	}
}

// mesh starts entries and connects each with all others.
func mesh(b *testing.B, entries int, w *recordingDialer) {
	var nodes []*node
	var peers []peer.Peer
	for i := range entries {
		name := fmt.Sprintf("entry%02d", i)
		n := start(b, name, uint64(i+1), func(n *node) {
			n.Set = peer.New(peer.Identity{Entry: name, Incarnation: uint64(i + 1)})
			n.Dial = w.dial
		})
		nodes = append(nodes, n)
		peers = append(peers, peer.Peer{Entry: name, Address: n.address})
	}
	for _, n := range nodes {
		n.SetPeers(peers)
	}
	for _, n := range nodes {
		for _, p := range peers {
			if p.Address != n.address {
				eventually(b, n.connected(p.Entry))
			}
		}
	}
}

// traffic returns the bytes and packets that the open connections have sent
// and received, as counted by the kernel.
func (w *recordingDialer) traffic(t testing.TB) (bytes, packets int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		r, err := c.(*net.TCPConn).SyscallConn()
		assert.NilError(t, err)
		// The call fails on a connection that was closed as a duplicate, which
		// isn't counted.
		_ = r.Control(func(fd uintptr) {
			if i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				bytes += int(i.Bytes_acked + i.Bytes_received)
				packets += int(i.Segs_out + i.Segs_in)
			}
		})
	}
	return bytes, packets
}

func processorTime(t testing.TB) time.Duration {
	var u syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
