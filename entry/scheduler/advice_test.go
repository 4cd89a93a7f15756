package scheduler

import (
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestAdvice runs the scripts of testdata/advice. Only the first hundred upstreams of a pool were ever asked
// about, tickets were requested again and again though who is allowed doesn't change, and a refused ticket
// dropped those of all upstreams.
func TestAdvice(t *testing.T) {
	files, err := filepath.Glob("testdata/advice/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			golden.Assert(t, runScript(t, f), strings.TrimSuffix(strings.TrimPrefix(f, "testdata/"), ".txt")+".golden")
		})
	}
}

// TestAdviceKeepsHosts checks how many hosts the owner asks the planner for while steps wait for upstreams
// that their policy allows. The planner took unused hosts away, among them all that were allowed.
func TestAdviceKeepsHosts(t *testing.T) {
	for name, c := range map[string]struct {
		answers []string
		spread  int32
		// inUse is the number of upstreams that count as used.
		inUse int
	}{
		"unknown":   {nil, 8, 0},
		"denied":    {[]string{"advised A.0.0"}, 16, 0},
		"permitted": {[]string{"advised A.0.0 u003=a u004=b", "started A.0.0.0/1 409 ticket", "started A.0.0.0/2 409 ticket"}, 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlayer(t)
			for _, line := range append([]string{
				"queue p advice=3000", "hosts u 8 cpu=4000", "list", "loaded", "pollAll", "at 20", "appended",
				"submit 1 A queue=p 1x4000x100~500", "at 30", "appended",
			}, append(c.answers, "at 2000")...) {
				p.do(strings.Fields(line))
			}
			l := p.s.poolLoad(p.now, 0)
			assert.Equal(t, l.GetSpread(), c.spread)
			used := 0
			for _, h := range l.GetHosts() {
				if h.GetRuns() > 0 && len(p.s.hosts.byID[h.GetUpstream()].runs) == 0 {
					used++
				}
			}
			assert.Equal(t, used, c.inUse)
			p.now = p.now.Add(_adviceKeepFor)
			assert.Equal(t, p.s.poolLoad(p.now, 0).GetSpread(), int32(0))
		})
	}
}
