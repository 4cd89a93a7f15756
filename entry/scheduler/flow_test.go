package scheduler

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestFlow runs the scripts of testdata/flow and prints, after each line, the window, the
// average delay, the extension of timeouts and the pause between polls:
//
//	limited          placement is held up by the window
//	answers N MS     N starts are answered within 250 ms, each MS after its decision
//	wait N           prints how long it takes to send N starts
func TestFlow(t *testing.T) {
	files, err := filepath.Glob("testdata/flow/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		var out strings.Builder
		var f flow
		now := _startTime
		for line := range strings.Lines(string(text)) {
			w := strings.Fields(line)
			if len(w) == 0 || w[0] == "#" {
				continue
			}
			fmt.Fprintf(&out, "%-14s", strings.Join(w, " "))
			switch w[0] {
			case "limited":
				f.open(now, _maxWindow)
			case "answers":
				n, _ := strconv.Atoi(w[1])
				ms, _ := strconv.Atoi(w[2])
				for range n {
					now = now.Add(250 * time.Millisecond / time.Duration(n))
					f.answered(now, time.Duration(ms)*time.Millisecond, true)
				}
			case "wait":
				n, _ := strconv.Atoi(w[1])
				fmt.Fprintf(&out, " %v\n", f.wait(now, n).Round(time.Millisecond))
				continue
			}
			fmt.Fprintf(&out, " window %.0f delay %v timeout +%v gap %v rate %.0f\n", f.size(), f.delay.Round(time.Millisecond),
				f.timeout(0).Round(time.Millisecond), f.pollGap().Round(time.Millisecond), f.rate)
		}
		golden.Assert(t, out.String(), "flow/"+strings.TrimSuffix(filepath.Base(file), ".txt")+".golden")
	}
}
