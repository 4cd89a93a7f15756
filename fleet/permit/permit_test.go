package permit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/fleet/permit"
)

// TestExpired checks a permission of one second at times by one clock.
func TestExpired(t *testing.T) {
	at := time.Unix(1_000, 0)
	p := permit.New(at, time.Second)
	for ms, want := range map[int]bool{0: false, 999: false, 1000: true, 5000: true, -3000: false} {
		assert.Equal(t, p.Expired(at.Add(time.Duration(ms)*time.Millisecond)), want, "%d ms", ms)
	}
	assert.Assert(t, !permit.Permit{}.Expired(at))
	assert.Assert(t, permit.New(at, 0).Expired(at))
}

// TestSuspended compares times whose wall clocks differ from their monotonic clocks. A time
// of the test's own clock stands for one after a suspension, as it lacks the monotonic time.
func TestSuspended(t *testing.T) {
	now := time.Now()
	assert.Equal(t, permit.Suspended(now, now.Add(time.Second)), time.Duration(0))
	assert.Equal(t, permit.Elapsed(now, now.Add(time.Second)), time.Second)
	wall := now.Round(0)
	assert.Equal(t, permit.Elapsed(wall, wall.Add(time.Second)), time.Second)
}
