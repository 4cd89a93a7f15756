package emulator

import (
	"math/rand/v2"
	"time"

	"fescuelanding/fleet/work"
)

const (
	// _lateSpells is the largest number of spells of late orders of a history, each of _minLateSpell to
	// _maxLateSpell, in which one order of two to _maxLateOdds is executed late.
	_lateSpells                  = 3
	_minLateSpell, _maxLateSpell = 2 * time.Second, 10 * time.Second
	_maxLateOdds                 = 10
	// _lateIsolated is the largest number of upstreams that are isolated during a spell, for
	// _minLateIsolated to _maxLateIsolated: their tasks are placed again while orders are late.
	_lateIsolated                      = 3
	_minLateIsolated, _maxLateIsolated = 2 * time.Second, 8 * time.Second
	// _boundedJobs means that one job in so many is long-running with a bound on its missing tasks.
	_boundedJobs = 2
)

// lateOrders draws the orders that upstreams execute late while others arrive in time, apart from the
// rest of the history. A late start may then meet a stop that was sent after it.
type lateOrders struct {
	rand  *rand.Rand
	odds  int
	until time.Duration
}

func newLateOrders(seed uint64) *lateOrders {
	return &lateOrders{rand: rand.New(rand.NewPCG(seed, 8))}
}

// plan draws the spells of the history.
func (l *lateOrders) plan(w *World) {
	if l == nil {
		return
	}
	for range 1 + l.rand.IntN(_lateSpells) {
		at := drawBetween(l.rand, 2*time.Second, w.settings.SubmitPeriod)
		d := drawBetween(l.rand, _minLateSpell, _maxLateSpell)
		odds := 2 + l.rand.IntN(_maxLateOdds-1)
		w.after(at, func() {
			w.tracef("one order of %d is executed late for %v", odds, d)
			l.odds, l.until = odds, w.now+d
		})
		for range l.rand.IntN(_lateIsolated + 1) {
			u := w.upstreams[l.rand.IntN(len(w.upstreams))]
			cut := drawBetween(l.rand, _minLateIsolated, _maxLateIsolated)
			w.after(at+drawBetween(l.rand, 0, d)-time.Second, func() { w.isolate(u, cut) })
		}
	}
}

// planJob draws whether a job is long-running.
func (l *lateOrders) planJob(d *work.Job) {
	if l == nil || l.rand.IntN(_boundedJobs) > 0 {
		return
	}
	d.Occurrences, d.FirstRunUnixMs, d.IntervalMs = 0, 0, 0
	d.Steps = []*work.Step{{
		Count: int32(3 + l.rand.IntN(3)), MilliCpu: 250, MemoryMb: 64, EstimateMs: 500,
		LongRunning: true, AntiAffinity: 1, MayMiss: 1,
	}}
}

// late draws whether an order that arrives at a time is executed late.
func (l *lateOrders) late(now time.Duration) bool {
	return l != nil && now < l.until && l.rand.IntN(l.odds) == 0
}

// end returns when the last spell so far ends.
func (l *lateOrders) end() time.Duration {
	if l == nil {
		return 0
	}
	return l.until
}
