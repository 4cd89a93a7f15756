package node

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"fescuelanding/platform"
)

// TestLimits derives the limits of callers from those of the process, which may be missing or odd.
func TestLimits(t *testing.T) {
	var out strings.Builder
	for _, b := range []platform.Boot{
		{},
		{MemoryMB: 284, MaxFiles: 4100},
		{MemoryMB: 160, MaxFiles: 1024},
		{MemoryMB: 1, MaxFiles: 100},
		{MemoryMB: -5, MaxFiles: -5},
		{MemoryMB: 1 << 62, MaxFiles: 1 << 62},
	} {
		l := limitsOf(b)
		assert.Assert(t, l.callerBytes > 0 && l.callerConns > 0 && l.heap >= 0)
		fmt.Fprintf(&out, "%d MiB, %d descriptors: %+v\n", b.MemoryMB, b.MaxFiles, l)
	}
	golden.Assert(t, out.String(), "limits.golden")
}
