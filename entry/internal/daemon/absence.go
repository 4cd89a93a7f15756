package daemon

import (
	"time"

	"fescuelanding/fleet/platform"
)

// absence notes since when the platform's lists have lacked hosts. Its zero value
// has seen no list.
type absenceTracker struct {
	// first and last are when the first and the newest list were received.
	first, last time.Time
	// asOf is the platform's time of the newest list.
	asOf time.Time
	// listed has the hosts that were ever on a list: zero for those on the newest
	// one, else when the first list without them was received.
	missingSince map[string]time.Time
}

// see takes a list in. An empty one, or one that isn't newer than the last,
// says nothing.
func (a *absenceTracker) add(list []platform.LiveHost, now time.Time) {
	if len(list) == 0 || !list[0].AsOf().After(a.asOf) {
		return
	}
	if a.missingSince == nil {
		a.first, a.missingSince = now, make(map[string]time.Time)
	}
	a.last, a.asOf = now, list[0].AsOf()
	on := make(map[string]bool, len(list))
	for _, h := range list {
		on[h.Name()] = true
		a.missingSince[h.Name()] = time.Time{}
	}
	for n, t := range a.missingSince {
		if !on[n] && t.IsZero() {
			a.missingSince[n] = now
		}
	}
}

// missingFor returns for how long lists have been received that lack a host.
func (a *absenceTracker) missingFor(host string) time.Duration {
	t, ok := a.missingSince[host]
	switch {
	case !ok:
		return a.last.Sub(a.first)
	case t.IsZero():
		return 0
	default:
		return a.last.Sub(t)
	}
}

// reset forgets all lists.
func (a *absenceTracker) reset() { *a = absenceTracker{} }
