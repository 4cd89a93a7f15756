package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// _splitSeed is the stream of random numbers for splits, _upgradeSeed that for upgrades, apart
	// from those of the other faults.
	_splitSeed   = 60
	_upgradeSeed = 70
	// _shortestSplit and _longestSplit bound how long a split lasts. A former owner gives orders
	// for 6 s without the store, and its leases lapse 5 s after the last renewal.
	_shortestSplit = 500 * time.Millisecond
	_longestSplit  = 9 * time.Second
	// _longSplitShare is the share of splits that last between _longSplit and _longestSplit.
	_longSplitShare = 0.6
	_longSplit      = 5 * time.Second
	// _bothShare is the share of cuts that affect requests and answers.
	_bothShare = 0.6
	// _ownerShare is the share of splits that cut off the owner of a pool, whichever entry that is.
	_ownerShare = 0.7
	// _spareShare is the share of other hosts that both sides reach.
	_spareShare = 0.1
	// _splitRest is the maximum rest of other targets. In closer series, most splits would make
	// no difference, as pools change their owners all the time.
	_splitRest = 2 * _calmRest
)

// drawSplits draws splits that follow one another.
func drawSplits(seed uint64, entries []string, d time.Duration) []Event {
	r := rand.New(rand.NewPCG(seed, _splitSeed))
	var l []Event
	for at := _busyRest + between(r, _shortestRest, _busyRest); at < d; {
		l = append(l, drawSplit(r, entries, at)...)
		at = l[len(l)-1].At + between(r, _shortestRest, _busyRest)
	}
	return l
}

// drawSplit draws a split at a time, and its end. The command is "split WHO LOST REST D1 D2 D3":
// one entry, or the owner of a pool, loses the store in direction D1 and the hosts LOST in D2, the
// others lose the hosts REST in D3.
func drawSplit(r *rand.Rand, entries []string, at time.Duration) []Event {
	who, hosts := entries[r.IntN(len(entries))], _hosts
	if r.Float64() < _ownerShare {
		who, hosts = "fitting", _hosts[:3]
		if r.IntN(2) == 0 {
			who, hosts = "returns", _hosts[3:5]
		}
	}
	// At least one host of the pool is on each side.
	lost, rest := []string{hosts[0]}, []string{hosts[1]}
	if r.IntN(2) == 0 {
		lost, rest = rest, lost
	}
	for _, h := range _hosts {
		switch {
		case h == hosts[0] || h == hosts[1] || r.Float64() < _spareShare:
		case r.IntN(2) == 0:
			lost = append(lost, h)
		default:
			rest = append(rest, h)
		}
	}
	end := at + between(r, _shortestSplit, _longestSplit)
	if r.Float64() < _longSplitShare {
		end = at + between(r, _longSplit, _longestSplit)
	}
	c := fmt.Sprintf("split %s %s %s %s %s %s", who, strings.Join(lost, ","), strings.Join(rest, ","),
		drawDirection(r), drawDirection(r), drawDirection(r))
	return []Event{{At: at, Command: c}, {At: end, Command: "unsplit"}}
}

// split executes the command of that name.
func (k *Soak) split(who string, lost, rest, directions []string) error {
	if k.entry(who) == nil {
		who = k.site.PoolOwner(who)
	}
	k.log("cut off: " + who)
	var all error
	for _, e := range k.entries {
		hosts, d := rest, directions[2]
		if e.name == who {
			hosts, d = lost, directions[1]
			all = errors.Join(all, e.execute("cut", "store", directions[0]))
		}
		for _, h := range hosts {
			all = errors.Join(all, e.execute("cut", h, d))
		}
	}
	return all
}

// unsplit mends all paths.
func (k *Soak) unsplit() error {
	var all error
	for _, e := range k.entries {
		all = errors.Join(all, e.execute("mend", "store"))
		for _, h := range _hosts {
			all = errors.Join(all, e.execute("mend", h))
		}
	}
	return all
}

func drawDirection(r *rand.Rand) string {
	if r.Float64() < _bothShare {
		return "both"
	}
	return []string{"requests", "answers"}[r.IntN(2)]
}

// drawUpgrades draws the upgrade of each entry, one after the other.
func drawUpgrades(seed uint64, entries []string, d time.Duration) [][]Event {
	r := rand.New(rand.NewPCG(seed, _upgradeSeed))
	share := d / time.Duration(len(entries)+1)
	l := make([][]Event, len(entries))
	for i, n := range r.Perm(len(entries)) {
		at := share*time.Duration(i) + time.Duration(r.Int64N(int64(share)))
		l[n] = drawSeries(r, []string{"new $T", "term $T", "start $T"}, entries[n], at)
	}
	return l
}
