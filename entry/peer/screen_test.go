package peer

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Pings are found, and only they, however the bytes are cut.
func TestScreenFindsPings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var wire []byte
		ping := false
		for range rapid.IntRange(0, 5).Draw(t, "frames") {
			kind := rapid.SampledFrom([]byte{_typeData, 1, _typePing, 3}).Draw(t, "kind")
			h := make([]byte, _headerBytes)
			h[_headerTypeAt] = kind
			if kind == _typeData {
				body := rapid.SliceOfN(rapid.Just(_typePing), 0, 40).Draw(t, "body")
				h[_headerBytes-1] = byte(len(body))
				h = append(h, body...)
			}
			wire = append(wire, h...)
			ping = ping || kind == _typePing
		}
		var s screen
		found := false
		for len(wire) > 0 && !found {
			n := rapid.IntRange(1, len(wire)).Draw(t, "cut")
			found = s.inspect(wire[:n]) != nil
			wire = wire[n:]
		}
		assert.Equal(t, found, ping)
	})
}
