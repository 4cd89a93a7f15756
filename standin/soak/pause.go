package soak

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// _pauseSeed is the stream of random numbers for pauses.
	_pauseSeed = 80
	// _pause is how long no fault is injected then. The platform isn't quiet in its first 3 s, and a
	// task that is cancelled may run on for _stopped.
	_pause = 8 * time.Second
	// _pauseInterval is the time with one pause.
	_pauseInterval = 20 * time.Second
)

// drawPauses draws the times of pauses, at least one.
func drawPauses(seed uint64, d time.Duration) []time.Duration {
	r := rand.New(rand.NewPCG(seed, _pauseSeed))
	var l []time.Duration
	for at := time.Duration(0); at < d; at += _pauseInterval {
		l = append(l, at+time.Duration(r.Int64N(int64(min(_pauseInterval, d-at)))))
	}
	return l
}

// phases divides a schedule at the times of pauses. The times of each phase begin at zero. Faults that would
// be in force at its end, end then.
func (s Schedule) phases(pauses []time.Duration) []Schedule {
	all := make([]Schedule, len(pauses)+1)
	for _, l := range s {
		begin := time.Duration(0)
		for i, end := range pauses {
			n := 0
			for n < len(l) && (l[n].At < end || underWay(l[:n])) {
				n++
			}
			all[i] = append(all[i], moved(l[:n], begin, end))
			l, begin = l[n:], end
		}
		all[len(pauses)] = append(all[len(pauses)], moved(l, begin, math.MaxInt64))
	}
	return all
}

// moved returns events with times since begin, none of which is after end.
func moved(l []Event, begin, end time.Duration) []Event {
	var out []Event
	for _, e := range l {
		out = append(out, Event{At: min(e.At, end) - begin, Command: e.Command})
	}
	return out
}

// underWay reports whether some events of a target leave a fault in force.
func underWay(l []Event) bool {
	down, frozen, other := false, false, false
	for _, e := range l {
		verb, _, _ := strings.Cut(e.Command, " ")
		switch verb {
		case "kill", "term":
			down = true
		case "start":
			down, frozen = false, false
		case "freeze", "thaw":
			frozen = verb == "freeze"
		case "dark", "crash", "down", "hold", "cut", "split":
			other = true
		case "light", "rebirth", "up", "release", "mend", "unsplit":
			other = false
		}
	}
	return down || frozen || other
}
