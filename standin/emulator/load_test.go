package emulator_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"fescuelanding/standin/emulator"
)

// _loadSeeds is how many seeds each load is replayed with. Their figures are added.
const _loadSeeds = 3

// TestLoads replays the loads of testdata/loads. The file of a load sets bounds for the
// figures summed over the seeds, and says what a former policy reached with the same
// seeds. No guarantee may be broken.
func TestLoads(t *testing.T) {
	files, err := filepath.Glob("testdata/loads/*.load")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".load"), func(t *testing.T) {
			l := parseLoad(t, f)
			sum := make(map[string]int)
			for seed := range uint64(_loadSeeds) {
				r := emulator.Replay(l, seed+1, nil)
				assert.Equal(t, len(r.Violations()), 0, "%v", r.Violations())
				for k, n := range r.Figures() {
					sum[k] += n
				}
			}
			t.Logf("%v", sum)
			for _, b := range l.Bounds() {
				assert.Assert(t, b.Met(sum), "want %v, got %v", b, sum)
			}
		})
	}
}

func parseLoad(t *testing.T, file string) *emulator.Load {
	t.Helper()
	r, err := os.Open(file)
	assert.NilError(t, err)
	defer r.Close()
	l, err := emulator.ParseLoad(r)
	assert.NilError(t, err)
	return l
}
