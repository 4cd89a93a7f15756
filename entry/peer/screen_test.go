package peer

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The filter must detect ping frames, and only those, regardless of how reads
// split the bytes.
func TestFilterDetectsPings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var wire []byte
		ping := false
		for range rapid.IntRange(0, 5).Draw(t, "frames") {
			kind := rapid.SampledFrom([]byte{_frameTypeData, 1, _frameTypePing, 3}).Draw(t, "kind")
			h := make([]byte, _headerBytes)
			h[_headerTypeAt] = kind
			if kind == _frameTypeData {
				body := rapid.SliceOfN(rapid.Just(_frameTypePing), 0, 40).Draw(t, "body")
				h[_headerBytes-1] = byte(len(body))
				h = append(h, body...)
			}
			wire = append(wire, h...)
			ping = ping || kind == _frameTypePing
		}
		var s frameFilter
		found := false
		for len(wire) > 0 && !found {
			n := rapid.IntRange(1, len(wire)).Draw(t, "cut")
			found = s.checkPing(wire[:n]) != nil
			wire = wire[n:]
		}
		assert.Equal(t, found, ping)
	})
}

// A header and its body must be written at once, even if the body looks like a
// header.
func TestFilterJoinsHeaderAndBody(t *testing.T) {
	frame := func(kind byte, length int) []byte {
		h := make([]byte, _headerBytes)
		h[_headerTypeAt], h[_headerBytes-1] = kind, byte(length)
		return h
	}
	var wire recorder
	s := frameFilter{Conn: &wire}
	header, body := frame(_frameTypeData, _headerBytes), frame(_frameTypeData, 1)
	for _, p := range [][]byte{frame(1, 9), header, body, frame(_frameTypeData, 0), header, body} {
		n, err := s.Write(p)
		assert.NilError(t, err)
		assert.Equal(t, n, len(p))
	}
	both := append(append([]byte(nil), header...), body...)
	assert.DeepEqual(t, wire.writes, [][]byte{frame(1, 9), both, frame(_frameTypeData, 0), both})
}

// recorder keeps what is written to it.
type recorder struct {
	net.Conn
	writes [][]byte
}

func (r *recorder) Write(p []byte) (int, error) {
	r.writes = append(r.writes, append([]byte(nil), p...))
	return len(p), nil
}
