package emulator

import (
	"math/rand/v2"
	"time"

	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

const (
	// _minWaves to _maxWaves waves begin until _lastWave after the last submission.
	_minWaves, _maxWaves = 3, 8
	_lastWave            = 2 * time.Second
	// _minRestart and _maxRestart bound how long an upstream is down. All upstreams are hit by one wave in
	// _fullWaves, a drawn share of them by the others.
	_minRestart, _maxRestart = 100 * time.Millisecond, time.Second
	_fullWaves               = 4
	// One wave in _doubleWaves hits its upstreams again within _maxAgain. One in _cutWaves has half of them
	// isolated for _minCut to _maxCut, which may outlast a lease, from within _maxBefore of the wave on. One in
	// _killWaves has the owner or the planner killed.
	_doubleWaves, _cutWaves, _killWaves = 3, 3, 3
	_maxAgain, _maxBefore               = 2500 * time.Millisecond, 1500 * time.Millisecond
	_minCut, _maxCut                    = 2 * time.Second, 10 * time.Second
	_minKill, _maxKill                  = 300 * time.Millisecond, 2 * time.Second
	// With stale calls, one call of two to _maxStaleOdds is executed late, in spells from _spellLead before a
	// wave until _spellTail after it. One such history in _staleHolds has polls among them.
	_maxStaleOdds, _staleHolds = 6, 2
	_spellLead, _spellTail     = 300 * time.Millisecond, time.Second
	// _tardyReports means that one first report in so many comes up to _maxFirstReport late.
	_tardyReports   = 3
	_maxFirstReport = 2 * time.Second
	// _maxFirstClock is the highest value, in milliseconds, at which a clock begins: about a history's
	// length, so that it may be ahead of the former incarnation's or behind it.
	_maxFirstClock = 60_000
	// A history has _restartUpstreams upstreams and _restartJobs jobs, so that tasks wait for room. One step
	// in _outlastingSteps has tasks that run for _minOutlasting to _maxOutlasting.
	_restartUpstreams, _restartJobs = 8, 48
	_outlastingSteps                = 3
	_minOutlasting, _maxOutlasting  = 1500 * time.Millisecond, 6 * time.Second
)

// restarts draws waves in which upstreams crash together and start again under their IDs before the entries
// have noticed. It is drawn apart from the rest of the history.
type restarts struct {
	rand *rand.Rand
	// Until staleUntil, one call of odds is executed late, by the incarnation that is there then. It may be a
	// poll if holds is set.
	odds       int
	holds      bool
	staleUntil time.Duration
}

func newRestarts(seed uint64) *restarts { return &restarts{rand: rand.New(rand.NewPCG(seed, 12))} }

// plan draws the waves of the history. The list of hosts lags in all histories with waves.
func (r *restarts) plan(w *World) {
	if r == nil {
		return
	}
	if w.hostLists.rand == nil {
		w.hostLists.rand = rand.New(rand.NewPCG(r.rand.Uint64(), 0))
		w.recordHosts()
	}
	r.holds = r.rand.IntN(_staleHolds) == 0
	for range _minWaves + r.rand.IntN(_maxWaves-_minWaves+1) {
		r.planWave(w, drawBetween(r.rand, time.Second, w.settings.SubmitPeriod+_lastWave))
	}
}

func (r *restarts) planWave(w *World, at time.Duration) {
	share := r.rand.Float64()
	if r.rand.IntN(_fullWaves) == 0 {
		share = 1
	}
	var hit []*upstream
	for _, u := range w.upstreams {
		if r.rand.Float64() < share {
			hit = append(hit, u)
		}
	}
	if odds := 2 + r.rand.IntN(_maxStaleOdds-1); w.settings.StaleCalls {
		w.after(at-_spellLead, func() {
			w.tracef("one call of %d to an upstream is executed late, polls among them: %v", odds, r.holds)
			r.odds, r.staleUntil = odds, w.now+_spellLead+_spellTail
		})
	}
	r.planCrashes(w, at, hit)
	if r.rand.IntN(_doubleWaves) == 0 {
		r.planCrashes(w, at+drawBetween(r.rand, _minRestart, _maxAgain), hit)
	}
	if r.rand.IntN(_cutWaves) == 0 {
		cut, begin := drawBetween(r.rand, _minCut, _maxCut), drawBetween(r.rand, 0, _maxBefore)
		for _, u := range hit {
			if r.rand.IntN(2) == 0 {
				w.after(at+begin, func() { w.isolate(u, cut) })
			}
		}
	}
	if r.rand.IntN(_killWaves) == 0 {
		down, planner := drawBetween(r.rand, _minKill, _maxKill), r.rand.IntN(2) == 0
		w.after(at+drawBetween(r.rand, 0, _maxRestart), func() {
			e := w.holder()
			if planner {
				e = w.planner()
			}
			e.applyFault(func(e *entry) { e.kill(down) })
		})
	}
}

// planCrashes crashes upstreams at a time. They start again under their IDs, each after a time of its own.
func (r *restarts) planCrashes(w *World, at time.Duration, hit []*upstream) {
	for _, u := range hit {
		d := drawBetween(r.rand, _minRestart, _maxRestart)
		w.after(at, func() {
			if u.host.pool != _spare {
				w.crash(u, d, true)
			}
		})
	}
}

// planJob draws which steps of a job have tasks that outlast a wave.
func (r *restarts) planJob(d *work.Job) {
	if r == nil {
		return
	}
	for _, s := range d.GetSteps() {
		if r.rand.IntN(_outlastingSteps) == 0 {
			s.EstimateMs = drawBetween(r.rand, _minOutlasting, _maxOutlasting).Milliseconds()
		}
	}
}

// begin draws at which value the clock of an upstream's new incarnation begins, and returns the time until
// its first report.
func (r *restarts) begin(u *upstream) time.Duration {
	u.firstClock = _firstClock
	if r == nil {
		return _firstReport
	}
	u.firstClock = r.rand.Int64N(_maxFirstClock)
	d := _firstReport
	if r.rand.IntN(_tardyReports) == 0 {
		d = drawBetween(r.rand, _firstReport, _maxFirstReport)
	}
	u.reportsFrom = u.world.now + d
	return d
}

// keepsReport reports whether the list keeps the report of an upstream that has just crashed.
func (r *restarts) keepsReport(u *upstream) bool {
	return r != nil && u.host.state == platform.MachineDown
}

// stale draws whether a call, a poll or an order, that arrives at a time is executed late.
func (r *restarts) stale(order bool, now time.Duration) bool {
	return r != nil && now < r.staleUntil && (order || r.holds) && r.rand.IntN(r.odds) == 0
}

// end returns when the last spell of stale calls so far ends.
func (r *restarts) end() time.Duration {
	if r == nil {
		return 0
	}
	return r.staleUntil
}
