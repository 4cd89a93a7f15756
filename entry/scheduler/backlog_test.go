package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/fleet/work"
)

// TestSumsOfBacklog has jobs arrive each millisecond, and counts how often a pool sums its backlog in a second. Each sum
// visits all jobs and runs, so that there are the fewer of them the more there is to visit.
func TestSumsOfBacklog(t *testing.T) {
	for _, c := range []struct{ jobs, runs, most int }{
		{10, 20, 1000},
		{100, 400, 100},
		{300, 2000, 20},
		{2500, 5000, 10},
	} {
		t.Run(fmt.Sprintf("jobs=%d/runs=%d", c.jobs, c.runs), func(t *testing.T) {
			s := New(Settings{Pool: "p", Token: 1})
			s.hosts.states[runRunning] = c.runs
			for i := range c.jobs {
				s.active = append(s.active, &job{def: &work.Job{Id: fmt.Sprintf("%016d", i)}})
			}
			sums, now := 0, _startTime
			for range 1000 {
				now = now.Add(time.Millisecond)
				if s.recentBacklog(now); s.summedAt.Equal(now) {
					sums++
				}
			}
			assert.Assert(t, sums > 0 && sums <= c.most, "%d sums", sums)
		})
	}
}
