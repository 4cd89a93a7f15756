package planner

import (
	"sync"
	"time"

	"fescuelanding/fleet/platform"
)

// roll notes since when the platform's lists have lacked hosts. Its zero value
// has seen no list.
type roll struct {
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
func (r *roll) see(list []platform.LiveHost, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(list) == 0 || !list[0].AsOf().After(r.asOf) {
		return
	}
	if r.seen == nil {
		r.first, r.seen = now, make(map[string]time.Time)
	}
	r.last, r.asOf = now, list[0].AsOf()
	for _, h := range list {
		r.seen[h.Name()] = now
	}
}

// offFor returns how long before the newest list a host was on one, or the
// first list was received; zero where there was none.
func (r *roll) offFor(host string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.seen[host]; ok {
		return r.last.Sub(t)
	}
	return r.last.Sub(r.first)
}

// reset forgets all lists.
func (r *roll) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.first, r.last, r.asOf, r.seen = time.Time{}, time.Time{}, time.Time{}, nil
}
