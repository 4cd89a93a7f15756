package daemon

import (
	"time"

	"fescuelanding/fleet/platform"
)

// absenceTracker records since when hosts have been missing from the platform's
// live list. Its zero value has received no list.
type absenceTracker struct {
	// first and last are when the first and the latest list were received.
	first, last time.Time
	// asOf is the platform's time of the latest list.
	asOf time.Time
	// missingSince has a key for each host that was ever on a list. The value is
	// zero while the host is on the latest list. Otherwise it is when the first
	// list without the host was received.
	missingSince map[string]time.Time
}

// add records a list received now. It ignores a list that is empty or no newer
// than the last one, since such a list proves no absence.
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

// missingFor returns for how long a host has been missing from the lists: from
// the first list without it to the latest one. A host that was never listed
// counts as missing since the first list.
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

// reset discards all lists received so far.
func (a *absenceTracker) reset() { *a = absenceTracker{} }
