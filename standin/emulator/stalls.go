package emulator

import (
	"math/rand/v2"
	"time"

	"fescuelanding/entry/member"
	"fescuelanding/fleet/work"
)

const (
	// _minStalls to _maxStalls spells begin until _lastWave after the last submission. An entry stands still
	// for _minStall to _maxStall in each.
	_minStalls, _maxStalls = 2, 6
	_minStall, _maxStall   = 300 * time.Millisecond, 8 * time.Second
	// One spell in _plannerStalls hits the planner instead of the owner. In one in _rowStalls the next owner
	// stands still too, from within _maxClaim of the time at which it may claim the pool.
	_plannerStalls, _rowStalls = 6, 3
	_maxClaim                  = 400 * time.Millisecond
	// Upstreams are back up to _maxLead before the entry goes on, in one spell of _closeLeads within _closeLead.
	// All of them restart in one spell of _fullStalls, a drawn share in the others.
	_maxLead, _closeLead     = 3 * time.Second, 60 * time.Millisecond
	_closeLeads, _fullStalls = 2, 2
)

// stalls draws spells in which owners stand still without noticing, as when they are stopped by a signal, and upstreams
// crash and start again under their IDs meanwhile. It is drawn apart from the rest of the history.
type stalls struct{ rand *rand.Rand }

func newStalls(seed uint64) *stalls { return &stalls{rand: rand.New(rand.NewPCG(seed, 13))} }

// plan draws the spells of the history.
func (s *stalls) plan(w *World) {
	if s == nil {
		return
	}
	for range _minStalls + s.rand.IntN(_maxStalls-_minStalls+1) {
		s.planSpell(w, drawBetween(s.rand, time.Second, w.settings.SubmitPeriod+_lastWave))
	}
}

func (s *stalls) planSpell(w *World, at time.Duration) {
	d := drawBetween(s.rand, _minStall, _maxStall)
	planner, row := s.rand.IntN(_plannerStalls) == 0, s.rand.IntN(_rowStalls) == 0
	w.after(at, func() {
		e := w.holder()
		if planner {
			e = w.planner()
		}
		e.applyFault(func(e *entry) { e.stall(d) })
	})
	if next := drawBetween(s.rand, _minStall, _maxStall); row {
		w.after(at+member.TTL+drawBetween(s.rand, 0, _maxClaim), func() {
			w.holder().applyFault(func(e *entry) { e.stall(next) })
		})
	}
	lead := drawBetween(s.rand, 0, _maxLead)
	if s.rand.IntN(_closeLeads) == 0 {
		lead = drawBetween(s.rand, 0, _closeLead)
	}
	down, share := drawBetween(s.rand, _minRestart, _maxRestart), s.rand.Float64()
	if s.rand.IntN(_fullStalls) == 0 {
		share = 1
	}
	for _, u := range w.upstreams {
		if s.rand.Float64() >= share {
			continue
		}
		w.after(max(at, at+d-lead-down), func() {
			if u.host.pool != _spare {
				w.crash(u, down, true)
			}
		})
	}
}

// planJob has tasks of a job outlast a spell, as for restarts, so that an owner that goes on has their end to read.
func (s *stalls) planJob(d *work.Job) {
	if s == nil {
		return
	}
	for _, p := range d.GetSteps() {
		if s.rand.IntN(_outlastingSteps) == 0 {
			p.EstimateMs = drawBetween(s.rand, _minOutlasting, _maxOutlasting).Milliseconds()
		}
	}
}
