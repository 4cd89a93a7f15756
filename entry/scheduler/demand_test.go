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

// TestDemand runs the scripts of testdata/demand:
//
//	jobs FROM TO every MS work N chain MS [refused]   jobs of N millicore-seconds each
//	at MS     prints rate and slope of demand, and the CPU expected 2.2 s later, in cores
func TestDemand(t *testing.T) {
	files, err := filepath.Glob("testdata/demand/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		var out strings.Builder
		var d demand
		for line := range strings.Lines(string(text)) {
			w := strings.Fields(line)
			if len(w) == 0 || w[0] == "#" {
				continue
			}
			ms := func(i int) time.Duration {
				n, err := strconv.Atoi(w[i])
				assert.NilError(t, err, line)
				return time.Duration(n) * time.Millisecond
			}
			switch w[0] {
			case "jobs":
				for at := ms(1); at < ms(2); at += ms(4) {
					x := demandSample{work: float64(ms(6).Milliseconds()), chain: ms(8), fresh: true, accepted: len(w) == 9}
					d.add(_startTime.Add(at), x)
				}
			case "at":
				now := _startTime.Add(ms(1))
				f := d.expected(now, 2200*time.Millisecond)
				fmt.Fprintf(&out, "at %s: rate %.0f slope %.0f expected %.0f deviation %.0f\n", w[1],
					d.rate(now)/1000, d.trend(now)/1000, f.cpu/1000, f.deviation/1000)
			}
		}
		golden.Assert(t, out.String(), "demand/"+strings.TrimSuffix(filepath.Base(file), ".txt")+".golden")
	}
}
