// Package permit limits how long after its decision an order may still be sent:
//
//	p := permit.New(now, 300*time.Millisecond)
//	if p.Expired(time.Now()) {
//		// Don't send; decide anew.
//	}
//
// The time from the decision to the sending is measured by the wall clock as well as by
// the monotonic one, which stands still while a process is suspended.
package permit

import "time"

// Permit is a permission to send an order. The zero value never expires.
type Permit struct {
	issued time.Time
	life   time.Duration
}

// New returns a permission that is valid for life, beginning with the time issued.
func New(issued time.Time, life time.Duration) Permit { return Permit{issued, life} }

// Life returns for how long the permission is valid; zero means without limit.
func (p Permit) Life() time.Duration { return p.life }

// Expired reports whether the permission may no longer be used.
func (p Permit) Expired(now time.Time) bool {
	return !p.issued.IsZero() && Elapsed(p.issued, now) >= p.life
}

// Elapsed returns the longest time that may have passed from one time to another. If the
// wall clock was set back meanwhile, that is the time by the monotonic clock.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Suspended returns for how long the process may have been suspended between two times: the
// time by which the wall clock has advanced further than the monotonic one. It is also
// positive if the wall clock was set forward.
func Suspended(from, to time.Time) time.Duration {
	return max(0, Elapsed(from, to)-to.Sub(from))
}
