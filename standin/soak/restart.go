package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// _restartSeed is the stream of random numbers for restarts.
	_restartSeed = 90
	// _shortestDown and _longestDown bound how long the hosts of a wave are down. They return within
	// _returnTime of one another.
	_shortestDown = 100 * time.Millisecond
	_longestDown  = time.Second
	_returnTime   = 50 * time.Millisecond
	// _restartRest is the maximum time between two waves, _restartGap the minimum.
	_restartGap  = 500 * time.Millisecond
	_restartRest = 4 * time.Second
	// _minListLag and _maxListLag bound how late the list of hosts shows a crash.
	_minListLag = 10 * time.Millisecond
	_maxListLag = time.Second
	// _maxClockLead bounds the difference between the clocks of two incarnations, _farClockLead that of a
	// share of _farShare. Leases last 10 s at most.
	_maxClockLead = 10 * time.Second
	_farClockLead = time.Hour
	_farShare     = 0.2
	// _smallHostCPU is the CPU of hosts, with room for four tasks. Tasks wait for room then, and are placed
	// on whatever host seems to have some.
	_smallHostCPU = 2000
	// _strayShare is the share of waves before which each host gets a start that its next incarnation
	// carries out, _recutShare that of waves after which the hosts are cut off again, and
	// _gapKillShare that of waves in which an entry is killed.
	_strayShare   = 0.2
	_recutShare   = 0.3
	_gapKillShare = 0.3
	// _strayLead is the time between the command for such a start and the crash.
	_strayLead = 300 * time.Millisecond
	// _shortestRecut and _longestRecut bound the time from the return of a host to the cut, _shortestCut
	// and _longestCut the length of that. Leases lapse meanwhile, or don't.
	_shortestRecut = time.Second
	_longestRecut  = 3 * time.Second
	_shortestCut   = 500 * time.Millisecond
	_longestCut    = 6 * time.Second
	// _maxRecutDelay bounds the delay of a start that takes the place of a cut.
	_maxRecutDelay = 4 * time.Second
)

// _morePools are the pools of the hosts that a site with restarts has in addition. In a pool of three, a task that
// was lost rarely finds another host at once.
var _morePools = []string{"fitting", "fitting", "fitting", "fitting", "fitting", "returns", "returns", "returns", "returns"}

// allHosts returns the names of all hosts of a site with restarts.
func allHosts() []string {
	l := slices.Clone(_hosts)
	for range _morePools {
		l = append(l, fmt.Sprintf("m%d", len(l)+1))
	}
	return l
}

// restarts are the restarts of hosts, by host, and the kills that go with them, by entry.
type restarts struct {
	rand  *rand.Rand
	hosts Schedule
	kills [][][]Event
}

// drawRestarts draws waves in which some hosts crash at the same time and begin again under their IDs, and the
// kills of entries in them.
func drawRestarts(seed uint64, entries []string, d time.Duration) (Schedule, [][][]Event) {
	w := &restarts{
		rand: rand.New(rand.NewPCG(seed, _restartSeed)), hosts: make(Schedule, len(_hosts)+len(_morePools)), kills: make([][][]Event, len(entries)),
	}
	rest := rests{_restartGap, _restartRest}
	for at := rest.draw(w.rand); at < d; {
		at = w.addWave(entries, at) + rest.draw(w.rand)
	}
	return w.hosts, w.kills
}

// addWave adds a wave at a time and returns its end.
func (w *restarts) addWave(entries []string, at time.Duration) time.Duration {
	r := w.rand
	back := at + between(r, _shortestDown, _longestDown)
	lag := between(r, _minListLag, _maxListLag)
	stray, recut := r.Float64() < _strayShare, r.Float64() < _recutShare
	cutAt := back + between(r, _shortestRecut, _longestRecut)
	cutEnd := cutAt + between(r, _shortestCut, _longestCut)
	end := back + _returnTime
	if recut {
		end = cutEnd
	}
	hosts := allHosts()
	for _, i := range r.Perm(len(hosts))[:2+r.IntN(len(hosts)-1)] {
		h := hosts[i]
		l := []Event{
			{at, fmt.Sprintf("crash %s %d", h, lag.Milliseconds())},
			{back + w.draw(_returnTime), fmt.Sprintf("rebirth %s %+d", h, w.drawClock().Milliseconds())},
		}
		if stray {
			d := _strayLead + back - at + w.draw(_longestDown)
			l = slices.Insert(l, 0, Event{at - _strayLead, fmt.Sprintf("stray %s %d", h, d.Milliseconds())})
		}
		if late := r.IntN(3) == 0; recut && late {
			l = append(l, Event{cutAt, fmt.Sprintf("late %s %d", h, w.draw(_maxRecutDelay).Milliseconds())})
		} else if recut {
			l = append(l, Event{cutAt, "dark " + h}, Event{cutEnd, "light " + h})
		}
		w.hosts[i] = append(w.hosts[i], l...)
	}
	if i := r.IntN(len(entries)); r.Float64() < _gapKillShare {
		k := at + w.draw(back-at+_maxListLag)
		n := entries[i]
		w.kills[i] = append(w.kills[i], []Event{{k, "kill " + n}, {k + between(r, _shortestStep, _longestDown), "start " + n}})
	}
	return end
}

// draw draws a duration below a maximum.
func (w *restarts) draw(d time.Duration) time.Duration {
	return time.Duration(w.rand.Int64N(int64(d))).Round(time.Millisecond)
}

// drawClock draws by how much the clock of an incarnation is ahead of the former one's.
func (w *restarts) drawClock() time.Duration {
	d := _maxClockLead
	if w.rand.Float64() < _farShare {
		d = _farClockLead
	}
	return 2*w.draw(d) - d
}
