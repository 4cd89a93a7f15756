package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// _shortestRest is the minimum time between two series of events of a target. The seed
	// draws the maximum between _busyRest and _calmRest.
	_shortestRest = 200 * time.Millisecond
	_busyRest     = 2 * time.Second
	_calmRest     = 15 * time.Second
	// _shortestStep and _longestStep bound the time between the events of a series. Most steps
	// are short; a share of _longShare is uniformly distributed.
	_shortestStep = 10 * time.Millisecond
	_longestStep  = 8 * time.Second
	_longShare    = 0.4
	// _powerLossShare is the share of schedules in which all entries are killed at once,
	// _rollShare that of those in which they are restarted in turn.
	_powerLossShare = 0.3
	_rollShare      = 0.3
	_rollInterval   = 700 * time.Millisecond
	// _waveInterval is the time between two waves.
	_waveInterval = 8 * time.Second
)

// A series is a list of commands that follow one another closely. $T stands for the target,
// $N for a random number.
var (
	_entrySeries = [][]string{
		{"kill $T", "start $T"},
		{"kill $T", "start $T", "kill $T", "start $T"},
		{"term $T", "start $T"},
		{"term $T", "start $T", "term $T", "start $T"},
		{"term $T", "term $T", "start $T"},
		{"term $T", "kill $T", "start $T"},
		{"term $T", "freeze $T", "thaw $T", "start $T"},
		{"freeze $T", "thaw $T"},
		{"freeze $T", "thaw $T", "freeze $T", "thaw $T", "term $T", "start $T"},
		{"freeze $T", "term $T", "thaw $T", "start $T"},
		{"freeze $T", "kill $T", "start $T"},
		{"hup $T", "hup $T"},
		{"hup $T", "term $T", "start $T"},
	}
	_upstreamSeries = [][]string{
		{"dark $T", "light $T"},
		{"dark $T", "light $T", "dark $T", "light $T"},
		{"rebirth $T"},
		{"rebirth $T", "rebirth $T"},
		{"dark $T", "rebirth $T"},
		{"late $T $N"},
		{"late $T $N", "rebirth $T"},
	}
	// _platformSeries holds the series of each fault and change of the platform.
	_platformSeries = [][][]string{
		{{"down 503", "up"}, {"down 429", "up"}, {"down 503", "up", "down 503", "up"}},
		{{"hold", "release"}, {"hold", "release", "hold", "release"}},
		{{"lose 1"}, {"lose 1", "lose 3"}, {"lose 6"}},
		{{"rebalance"}, {"rebalance", "rebalance", "rebalance"}, {"compact"}, {"rebalance", "compact"}},
		{{"publish"}, {"publish", "publish", "publish"}},
	}
	_hosts = []string{"m1", "m2", "m3", "m4", "m5", "m6"}
)

// Event is a fault, its end or a change, at a time since the beginning of the schedule.
type Event struct {
	At time.Duration
	// Command is a line of a session of package site, or one of: term NAME, kill NAME,
	// freeze NAME, thaw NAME, hup NAME, start NAME, rotate, split, unsplit.
	Command string
}

// Schedule holds the events of one seed by target. Those of one target are executed one
// after the other, those of different targets at the same time.
type Schedule [][]Event

// Options are the faults and changes of a schedule that aren't part of every one.
type Options struct {
	// Splits are cuts of the paths between entries on one side, and the store and upstreams on
	// the other, in place of those between an entry and the store only.
	Splits bool
	// Upgrades restart the entries, which run an old build at first, one after the other with
	// the new one.
	Upgrades bool
	// Restarts are waves of crashes of hosts that begin again under their IDs.
	Restarts bool
	// Stalls are entries that are stopped for some time, while hosts begin again under their IDs.
	Stalls bool
}

// NewSchedule draws the schedule of a seed for some entries.
func NewSchedule(seed uint64, entries []string, d time.Duration, o Options) Schedule {
	r := rand.New(rand.NewPCG(seed, 1))
	rest := rests{_shortestRest, between(r, _busyRest, _calmRest)}
	if o.Splits || o.Restarts {
		rest = rests{_busyRest, _splitRest}
	}
	var s Schedule
	common := drawCommon(r, len(entries), d)
	upgrades := drawUpgrades(seed, entries, d)
	restarts, kills := drawRestarts(seed, entries, d)
	stalls, rebirths := drawStalls(seed, entries, d)
	for i, n := range entries {
		l := drawTarget(r, _entrySeries, n, rest, d)
		for _, c := range common[i] {
			l = insert(l, drawSeries(r, c.series, n, c.at))
		}
		if o.Upgrades {
			l = insert(l, upgrades[i])
		}
		if o.Restarts {
			for _, e := range kills[i] {
				l = insert(l, e)
			}
		}
		if o.Stalls {
			for _, e := range stalls[i] {
				l = insert(l, e)
			}
		}
		s = append(s, flat(l))
	}
	for _, p := range _platformSeries {
		s = append(s, flat(drawTarget(r, p, "", rest, d)))
	}
	for _, h := range _hosts {
		s = append(s, flat(drawTarget(r, _upstreamSeries, h, rest, d)))
	}
	s = append(s, drawWaves(r, d))
	s = append(s, drawKeys(seed, entries, d, o.Splits)...)
	if o.Splits {
		s = append(s, drawSplits(seed, entries, d))
	}
	if o.Restarts {
		s = append(s, restarts...)
	}
	if o.Stalls {
		s = append(s, rebirths)
	}
	return s
}

// flat returns the events of some series in their order.
func flat(l [][]Event) []Event { return slices.Concat(l...) }

// String returns the events of all targets in the order of time, one per line.
func (s Schedule) String() string {
	l := slices.Concat(s...)
	slices.SortStableFunc(l, func(a, b Event) int { return int(a.At - b.At) })
	var b strings.Builder
	for _, e := range l {
		fmt.Fprintf(&b, "  %7.3fs %s\n", e.At.Seconds(), e.Command)
	}
	return b.String()
}

// between draws a duration whose logarithm is uniformly distributed.
func between(r *rand.Rand, low, high time.Duration) time.Duration {
	x := math.Exp(r.Float64() * math.Log(float64(high)/float64(low)))
	return time.Duration(float64(low) * x).Round(time.Millisecond)
}

// drawStep draws the time between two events of a series.
func drawStep(r *rand.Rand) time.Duration {
	if r.Float64() < _longShare {
		return time.Duration(r.Int64N(int64(_longestStep))).Round(time.Millisecond)
	}
	return between(r, _shortestStep, _longestStep)
}

// rests are the bounds of the time between two series of a target.
type rests struct{ shortest, longest time.Duration }

func (t rests) draw(r *rand.Rand) time.Duration { return between(r, t.shortest, t.longest) }

// drawTarget draws series of events of one target that begin before d, with rests between them.
func drawTarget(r *rand.Rand, series [][]string, target string, rest rests, d time.Duration) [][]Event {
	var l [][]Event
	for at := rest.draw(r); at < d; {
		e := drawSeries(r, series[r.IntN(len(series))], target, at)
		l = append(l, e)
		at = e[len(e)-1].At + rest.draw(r)
	}
	return l
}

// drawSeries draws the times of a series that begins at a time.
func drawSeries(r *rand.Rand, series []string, target string, at time.Duration) []Event {
	var l []Event
	for i, c := range series {
		if i > 0 {
			at += drawStep(r)
		}
		n := strconv.Itoa(100 + r.IntN(4000))
		l = append(l, Event{At: at, Command: strings.NewReplacer("$T", target, "$N", n).Replace(c)})
	}
	return l
}

// insert inserts a series in place of those that overlap it.
func insert(l [][]Event, s []Event) [][]Event {
	first, last := s[0].At, s[len(s)-1].At
	l = slices.DeleteFunc(l, func(o []Event) bool { return o[0].At <= last && first <= o[len(o)-1].At })
	l = append(l, s)
	slices.SortFunc(l, func(a, b []Event) int { return int(a[0].At - b[0].At) })
	return l
}

// commonSeries is a series of an entry that is part of a fault of all entries.
type commonSeries struct {
	at     time.Duration
	series []string
}

// drawCommon draws the faults that affect all of n entries.
func drawCommon(r *rand.Rand, n int, d time.Duration) [][]commonSeries {
	all := make([][]commonSeries, n)
	add := func(share float64, series []string, interval time.Duration) {
		at := time.Duration(r.Int64N(int64(d)))
		if r.Float64() >= share {
			return
		}
		for i := range all {
			all[i] = append(all[i], commonSeries{at: at + time.Duration(i)*interval, series: series})
		}
	}
	add(_powerLossShare, []string{"kill $T", "start $T"}, 0)
	add(_rollShare, []string{"term $T", "start $T"}, _rollInterval)
	return all
}

// drawWaves draws waves of some hosts each.
func drawWaves(r *rand.Rand, d time.Duration) []Event {
	var l []Event
	for at := between(r, _shortestRest, _busyRest); at < d; at += _waveInterval {
		var hosts []string
		for _, i := range r.Perm(len(_hosts))[:1+r.IntN(3)] {
			hosts = append(hosts, _hosts[i])
		}
		l = append(l, Event{At: at, Command: fmt.Sprintf("wave %s %d", strings.Join(hosts, ","), len(l)+1)})
	}
	return l
}
