package member_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"fescuelanding/entry/member"
)

// TestShares plays testdata/shares.txt: "deal GENERATION PARTITION,..." and "lose
// PARTITION", and prints the tokens after each line.
func TestShares(t *testing.T) {
	text, err := os.ReadFile("testdata/shares.txt")
	assert.NilError(t, err)
	var s member.Partitions
	var out strings.Builder
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		n, err := strconv.Atoi(f[1])
		assert.NilError(t, err)
		if f[0] == "lose" {
			s.NoteLaterOwner(n)
		} else {
			c := member.Assignment{Generation: int64(n)}
			for _, w := range f[2:] {
				k, err := strconv.Atoi(w)
				assert.NilError(t, err)
				c.Partitions = append(c.Partitions, k)
			}
			s.Assign(c)
		}
		fmt.Fprintf(&out, "%-14s", strings.Join(f, " "))
		for k := range 4 {
			fmt.Fprintf(&out, " %d", s.Token(k))
		}
		fmt.Fprintln(&out)
	}
	golden.Assert(t, out.String(), "shares.golden")
}
