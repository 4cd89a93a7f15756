package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// _stallSeed is the stream of random numbers for stalls.
	_stallSeed = 91
	// _shortestStall and _longestStall bound how long an entry is stopped in a stall, _stallRest the time to the
	// next one. In a share of _rowShare a second entry is stopped from _rowGap on, at which the first has lost its
	// partitions.
	_shortestStall = 300 * time.Millisecond
	_longestStall  = 8 * time.Second
	_stallRest     = 4 * time.Second
	_rowShare      = 0.3
	_rowGap        = 1100 * time.Millisecond
	// _shortestLead and _longestLead bound how long before an entry goes on hosts begin again, all of them in a
	// share of _allShare.
	_shortestLead = time.Millisecond
	_longestLead  = 2 * time.Second
	_allShare     = 0.5
)

// drawStalls draws stalls of entries, by entry, and the restarts of hosts that end just before the entries go on.
func drawStalls(seed uint64, entries []string, d time.Duration) (stalls [][][]Event, hosts []Event) {
	r := rand.New(rand.NewPCG(seed, _stallSeed))
	stalls = make([][][]Event, len(entries))
	rest := rests{_shortestRest, _stallRest}
	for at := rest.draw(r); at < d; at += rest.draw(r) {
		i, end := r.IntN(len(entries)), at+between(r, _shortestStall, _longestStall)
		stalls[i] = append(stalls[i], drawStall(entries[i], at, end))
		if o := (i + 1) % len(entries); r.Float64() < _rowShare && o != i {
			stalls[o] = append(stalls[o], drawStall(entries[o], at+_rowGap, at+_rowGap+between(r, _shortestStall, _longestStall)))
		}
		back, all := max(at, end-between(r, _shortestLead, _longestLead)), r.Float64() < _allShare
		for _, h := range _hosts {
			if all || r.IntN(2) == 0 {
				hosts = append(hosts, Event{back, fmt.Sprintf("rebirth %s %+d", h, r.Int64N(_maxClockLead.Milliseconds()))})
			}
		}
		at = end
	}
	return stalls, hosts
}

// drawStall returns the series of an entry that is stopped from one time to another.
func drawStall(entry string, from, to time.Duration) []Event {
	return []Event{{from, "freeze " + entry}, {to, "thaw " + entry}}
}
