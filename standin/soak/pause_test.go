package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestPauses checks that pauses move events, but keep all of them in their order, and that none of a
// target's faults is in force in a pause.
func TestPauses(t *testing.T) {
	const d = 50 * time.Second
	for seed := range uint64(50) {
		s := NewSchedule(seed, []string{"e1", "e2"}, d, Options{Splits: seed%2 == 0, Upgrades: seed%3 == 0})
		pauses := drawPauses(seed, d)
		assert.Assert(t, len(pauses) > 0)
		all := s.phases(pauses)
		for i, l := range s {
			var got, want []string
			for _, p := range all {
				for _, e := range p[i] {
					got = append(got, e.Command)
				}
			}
			for _, e := range l {
				want = append(want, e.Command)
			}
			assert.DeepEqual(t, got, want)
			for _, p := range all[:len(pauses)] {
				if n := len(p[i]); n > 0 {
					switch verb, _, _ := strings.Cut(p[i][n-1].Command, " "); verb {
					case "kill", "term", "freeze", "dark", "down", "hold", "cut", "split":
						t.Errorf("seed %d: pause after %s", seed, p[i][n-1].Command)
					}
				}
			}
		}
	}
}

// TestPausedSchedule checks the phases of one seed.
func TestPausedSchedule(t *testing.T) {
	var b strings.Builder
	for _, p := range NewSchedule(1, []string{"e1", "e2"}, 10*time.Second, Options{}).phases(drawPauses(1, 10*time.Second)) {
		fmt.Fprintf(&b, "phase:\n%v", p)
	}
	golden.Assert(t, b.String(), "pauses.golden")
}
