package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"fescuelanding/fleet/work"
)

const (
	// _maxSplits is the largest number of splits of a history.
	_maxSplits = 3
	// _minSplit and _maxSplit bound how long a split lasts.
	_minSplit, _maxSplit = time.Second, 14 * time.Second
	// _ownersSplit of four splits cut off the owner of a pool, the others any entry.
	_ownersSplit = 3
	// _pairSplits means that one split in so many has a second entry on the near side.
	_pairSplits = 4
	// _oneWaySplits of five splits lose the messages of one direction only.
	_oneWaySplits = 2
	// _overlaps means that one further split in so many begins during the one before.
	_overlaps = 2
	// _freezeSplits means that one split in so many begins with a freeze of the entries on
	// the near side, of _minFreeze to _maxFreeze.
	_freezeSplits          = 3
	_minFreeze, _maxFreeze = 100 * time.Millisecond, 4 * time.Second
	// _longSteps means that one step in so many has tasks that run for _minLong to _maxLong,
	// in a history with splits. The runs of the others end soon after a split begins.
	_longSteps         = 3
	_minLong, _maxLong = 2 * time.Second, 8 * time.Second
	// _longDrain is how much longer such a history lasts than others. A job may need three such
	// steps one after the other, each with three runs.
	_longDrain = 40 * time.Second
)

// splits draws the splits of a history, apart from the rest, so that a seed gives the same jobs
// and other faults with and without them.
type splits struct{ rand *rand.Rand }

// split is a cut of the network into two sides, as between data centres or around an entry. The
// near side has some entries and upstreams. All others, the store and the cloud interface are on
// the far side.
type split struct {
	world *World
	// rand draws when paths heal. No other split draws from it, so that the draws don't depend
	// on the order of events.
	rand *rand.Rand
	// partition is the one whose holder is on the near side, or negative; entry is on it if
	// nobody holds the partition. with is a second entry on the near side, or nil.
	partition   int
	entry, with *entry
	upstreams   []*upstream
	// outward is set if messages from the near side are lost, inward if those to it are.
	outward, inward bool
	length, freeze  time.Duration
	// gradual is set if each path heals at a time of its own.
	gradual bool
}

// planSplits draws the splits of the history.
func (w *World) planSplits() {
	if w.splits == nil {
		return
	}
	r := w.splits.rand
	at := time.Duration(0)
	var last *split
	for range 1 + r.IntN(_maxSplits) {
		if last != nil && r.IntN(_overlaps) == 0 {
			at = min(at+drawBetween(r, 0, last.length), w.settings.SubmitPeriod)
		} else {
			at = drawBetween(r, time.Second, w.settings.SubmitPeriod)
		}
		last = w.drawSplit()
		w.after(at, last.begin)
	}
}

// drawSplit draws one split.
func (w *World) drawSplit() *split {
	r := w.splits.rand
	x := &split{
		world: w, partition: -1, entry: w.entries[r.IntN(len(w.entries))], outward: true, inward: true,
		length: drawBetween(r, _minSplit, _maxSplit), gradual: r.IntN(2) == 0,
		rand: rand.New(rand.NewPCG(r.Uint64(), 0)),
	}
	if r.IntN(4) < _ownersSplit {
		x.partition = _firstPoolPartition + r.IntN(len(w.pools))
	}
	if r.IntN(_pairSplits) == 0 {
		x.with = w.entries[r.IntN(len(w.entries))]
	}
	if r.IntN(5) < _oneWaySplits {
		x.outward = r.IntN(2) == 0
		x.inward = !x.outward
	}
	if r.IntN(_freezeSplits) == 0 {
		x.freeze = min(drawBetween(r, _minFreeze, _maxFreeze), x.length)
	}
	for _, u := range w.upstreams {
		if r.IntN(2) == 0 {
			x.upstreams = append(x.upstreams, u)
		}
	}
	return x
}

// begin cuts the paths between the two sides.
func (x *split) begin() {
	w := x.world
	owner := x.nearEntry()
	var near []*entry
	var nearNames, farNames, nearHosts, farHosts []string
	for _, e := range w.entries {
		if e == x.with || e == owner {
			near = append(near, e)
			nearNames = append(nearNames, e.name)
		} else {
			farNames = append(farNames, e.name)
		}
	}
	for _, u := range w.upstreams {
		if slices.Contains(x.upstreams, u) {
			nearHosts = append(nearHosts, u.machine)
		} else {
			farHosts = append(farHosts, u.machine)
		}
	}
	w.tracef("network splits for %v: %s on the near side%s", x.length, strings.Join(slices.Concat(nearNames, nearHosts), " "), x.describe())
	x.cut(nearNames, slices.Concat(farNames, farHosts, []string{_store, _cloud}))
	x.cut(nearHosts, slices.Concat(farNames, []string{_store}))
	for _, e := range near {
		e.recordFault(max(w.net.cut[path{e.name, _store}], w.net.cut[path{_store, e.name}]))
		if x.freeze > 0 {
			e.freeze(x.freeze)
		}
	}
}

// nearEntry returns the entry that is cut off.
func (x *split) nearEntry() *entry {
	if x.partition >= 0 {
		if e := x.world.holderOf(x.partition); e != nil {
			return e
		}
	}
	return x.entry
}

// describe describes for the trace how the split differs from a plain one.
func (x *split) describe() string {
	s := ""
	switch {
	case !x.inward:
		s += ", only messages from it are lost"
	case !x.outward:
		s += ", only messages to it are lost"
	}
	if x.gradual {
		s += ", paths heal one after the other"
	}
	if x.freeze > 0 {
		s += fmt.Sprintf(", its entries freeze for %v", x.freeze)
	}
	return s
}

// cut cuts the paths between peers on the near side and peers on the far side.
func (x *split) cut(near, far []string) {
	w := x.world
	for _, a := range near {
		for _, b := range far {
			d := x.length
			if x.gradual {
				d = drawBetween(x.rand, x.length/4, x.length)
				w.tracef("split between %s and %s lasts %v", a, b, d)
			}
			if x.outward {
				w.net.cutPath(a, b, w.now+d)
			}
			if x.inward {
				w.net.cutPath(b, a, w.now+d)
			}
		}
	}
}

// splitJob draws which steps of a job have tasks that outlast a split's first seconds.
func (w *World) splitJob(d *work.Job) {
	if w.splits == nil {
		return
	}
	for _, s := range d.GetSteps() {
		if w.splits.rand.IntN(_longSteps) == 0 {
			s.EstimateMs = drawBetween(w.splits.rand, _minLong, _maxLong).Milliseconds()
		}
	}
}

// drawBetween draws a duration of at least a and less than b.
func drawBetween(r *rand.Rand, a, b time.Duration) time.Duration {
	return a + time.Duration(r.Int64N(int64(b-a)))
}
