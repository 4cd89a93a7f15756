package hedge

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestPace runs testdata/pace.txt. The golden file has the intervals before the repeats.
//
//	answered MS [overtook]    an answer, and whether an earlier attempt has none
//	pass MS                   time passes
//	intervals N               the intervals before the first N repeats of a call
func TestPace(t *testing.T) {
	text, err := os.ReadFile("testdata/pace.txt")
	assert.NilError(t, err)
	var out strings.Builder
	var p Pace
	now := time.Unix(1_700_000_000, 0)
	sc := bufio.NewScanner(strings.NewReader(string(text)))
	for sc.Scan() {
		line, _, _ := strings.Cut(sc.Text(), "#")
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		n, err := strconv.Atoi(f[1])
		assert.NilError(t, err)
		fmt.Fprintf(&out, "> %s\n", strings.Join(f, " "))
		switch f[0] {
		case "answered":
			p.Answered(now, time.Duration(n)*time.Millisecond, len(f) > 2)
		case "pass":
			now = now.Add(time.Duration(n) * time.Millisecond)
		case "intervals":
			for i := range n {
				fmt.Fprintf(&out, "%v\n", p.After(now, i+1))
			}
		default:
			t.Fatalf("unknown event %q", f[0])
		}
	}
	golden.Assert(t, out.String(), "pace.golden")
}

// TestLostAnswers replays calls to a store that loses four of ten answers. The bound is that of
// docs/design/shiftedWork.md.
func TestLostAnswers(t *testing.T) {
	const calls, answer, bound = 20_000, 6 * time.Millisecond, 100 * time.Millisecond
	r := rand.New(rand.NewPCG(1, 0))
	var p Pace
	now := time.Unix(1_700_000_000, 0)
	var waits []time.Duration
	for range calls {
		wait := time.Duration(0)
		n := 1
		for ; r.Float64() < 0.4; n++ {
			wait += p.After(now, n)
		}
		now = now.Add(wait + answer)
		p.Answered(now, answer, n > 1)
		waits = append(waits, wait+answer)
	}
	slices.Sort(waits)
	at := waits[calls*99/100]
	assert.Assert(t, at <= bound, "99 of 100 calls take up to %v", at)
}
