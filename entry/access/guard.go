package access

import (
	"time"

	"fescuelanding/fleet/permit"
	"fescuelanding/platform"
)

// Parts of the bound within which a withdrawn key has to stop working. One entry that can't
// reach the store is first taken out of the load balancer's rotation, which needs seconds, and
// stops accepting keys before the bound ends.
const (
	// _usable is the part for which a configuration may be used after its confirmation. The
	// rest allows for clocks of different rate.
	_usable = 0.9
	// _fresh is the part after which the entry should get no new callers.
	_fresh = 0.5
	// _readWait is the longest part for which a read of the configuration may wait for a
	// change: its answer confirms the configuration as of its beginning.
	_readWait = 0.125
)

// Verdict is the decision about a call.
type Verdict int

// Verdicts.
const (
	// Admitted means that the call may be made.
	Admitted Verdict = iota
	// Denied means that the call has no valid key.
	Denied
	// Unconfirmed means that the configuration may be out of date, so that the validity of
	// the key isn't known.
	Unconfirmed
)

// Decision is a verdict, and the workspace of an admitted call: empty if no key is needed.
type Decision struct {
	Verdict   Verdict
	Workspace string
}

// Guard decides about calls. The zero value admits all.
type Guard struct {
	Table *Table
	// ConfirmedAt is a time at which the table's configuration was the newest.
	ConfirmedAt time.Time
	// Bound is the time within which a withdrawn key has to stop working, also without
	// contact to the store; zero for no bound.
	Bound time.Duration
}

// Decide decides about a call to a queue. given is set if the call carries a key.
func (g Guard) Decide(now time.Time, q platform.Queue, key platform.KeyHash, given bool) Decision {
	if !g.Table.Required() || q.Anonymous {
		return Decision{}
	}
	if !g.within(now, _usable) {
		return Decision{Verdict: Unconfirmed}
	}
	if !given {
		return Decision{Verdict: Denied}
	}
	w, ok := g.Table.Workspace(key)
	switch {
	case ok:
		return Decision{Workspace: w}
	case !g.within(now, _fresh):
		// The key may have been added meanwhile.
		return Decision{Verdict: Unconfirmed}
	}
	return Decision{Verdict: Denied}
}

// Fresh reports whether the configuration was confirmed so lately that the entry can serve
// new callers for some time.
func (g Guard) Fresh(now time.Time) bool { return !g.Table.Required() || g.within(now, _fresh) }

// Age returns how long ago the configuration was confirmed. A time in which the process was
// suspended counts.
func (g Guard) Age(now time.Time) time.Duration { return permit.Elapsed(g.ConfirmedAt, now) }

func (g Guard) within(now time.Time, part float64) bool {
	return g.Bound <= 0 || !g.ConfirmedAt.IsZero() && g.Age(now) < time.Duration(part*float64(g.Bound))
}

// ReadWait returns how long a read of the configuration may wait for a change under a bound,
// given the longest wait without one.
func ReadWait(bound, longest time.Duration) time.Duration {
	if bound <= 0 {
		return longest
	}
	return min(longest, time.Duration(_readWait*float64(bound)))
}
