package planner

import (
	"sync"
	"time"

	"fescuelanding/fleet/platform"
)

// absence notes since when the platform's lists have lacked hosts. Its zero value
// has seen no list.
type absence struct {
	mu sync.Mutex
	// first and last are when the first and the newest list were received.
	first, last time.Time
	// asOf is the platform's time of the newest list.
	asOf time.Time
	// seen has when each host was on a list for the last time.
	seen map[string]time.Time
}

// see takes a list in. An empty one, or one that isn't newer than the last,
// says nothing.
func (a *absence) see(list []platform.LiveHost, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(list) == 0 || !list[0].AsOf().After(a.asOf) {
		return
	}
	if a.seen == nil {
		a.first, a.seen = now, make(map[string]time.Time)
	}
	a.last, a.asOf = now, list[0].AsOf()
	for _, h := range list {
		a.seen[h.Name()] = now
	}
}

// offFor returns how long before the newest list a host was on one, or the
// first list was received; zero where there was none.
func (a *absence) offFor(host string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t, ok := a.seen[host]; ok {
		return a.last.Sub(t)
	}
	return a.last.Sub(a.first)
}

// reset forgets all lists.
func (a *absence) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.first, a.last, a.asOf, a.seen = time.Time{}, time.Time{}, time.Time{}, nil
}
