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

// TestPartitions runs testdata/partitions.txt and prints the tokens of partitions 0
// to 3 after each command:
//
//	assign GENERATION PARTITION...   the group assigns these partitions
//	laterOwner PARTITION             a later owner of the partition is known
func TestPartitions(t *testing.T) {
	text, err := os.ReadFile("testdata/partitions.txt")
	assert.NilError(t, err)
	var p member.Partitions
	var out strings.Builder
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		n, err := strconv.Atoi(f[1])
		assert.NilError(t, err)
		if f[0] == "laterOwner" {
			p.NoteLaterOwner(n)
		} else {
			a := member.Assignment{Generation: int64(n)}
			for _, w := range f[2:] {
				k, err := strconv.Atoi(w)
				assert.NilError(t, err)
				a.Partitions = append(a.Partitions, k)
			}
			p.Assign(a)
		}
		fmt.Fprintf(&out, "%-14s", strings.Join(f, " "))
		for k := range 4 {
			fmt.Fprintf(&out, " %d", p.Token(k))
		}
		fmt.Fprintln(&out)
	}
	golden.Assert(t, out.String(), "partitions.golden")
}
