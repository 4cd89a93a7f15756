package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStartIsSentWithinProof checks for how long a start may be sent after its decision, given the ages of the proofs of
// ownership. A start that was decided on before the process stood still must not be sent after that.
func TestStartIsSentWithinProof(t *testing.T) {
	const never = time.Hour
	for name, c := range map[string]struct{ confirmed, accepted, want time.Duration }{
		"both recent":                     {0, 0, 300 * time.Millisecond},
		"store recent":                    {650 * time.Millisecond, never, 300 * time.Millisecond},
		"store almost too old":            {900 * time.Millisecond, never, 100 * time.Millisecond},
		"store too old":                   {time.Second, never, 0},
		"upstream recent":                 {3 * time.Second, 100 * time.Millisecond, 300 * time.Millisecond},
		"upstream almost too old":         {3 * time.Second, 450 * time.Millisecond, 50 * time.Millisecond},
		"upstream too old":                {3 * time.Second, 500 * time.Millisecond, 0},
		"upstream recent, store given up": {6 * time.Second, 0, 0},
		"store almost given up":           {5900 * time.Millisecond, 0, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := New(Settings{}), _startTime
			s.ownership.confirmedAt, s.ownership.acceptedAt = now.Add(-c.confirmed), now.Add(-c.accepted)
			assert.Equal(t, s.mayStart(now), c.want > 0)
			p := permitUntil(now, s.startsUntil())
			assert.Assert(t, p.Expired(now.Add(c.want)))
			assert.Equal(t, p.Expired(now.Add(max(0, c.want-time.Millisecond))), c.want == 0)
		})
	}
}
