package plan

import (
	"cmp"
	"slices"

	"fescuelanding/fleet"
	"fescuelanding/fleet/record"
)

// restoreBudgets raises pools that are below their budget, the one with the largest
// shortfall first: it returns draining hosts and cancels moves, and only then moves
// in hosts of other pools.
func (p *planner) restoreBudgets() {
	var low []*pool
	for _, l := range p.order {
		if l.shortfall() > 0 {
			low = append(low, l)
		}
	}
	slices.SortStableFunc(low, func(a, b *pool) int { return cmp.Compare(b.shortfall(), a.shortfall()) })
	for _, l := range low {
		p.returnDrained(l)
	}
	for _, l := range low {
		for l.shortfall() > 0 && p.moveIn(l, true) {
		}
	}
}

// returnDrained returns draining hosts of the pool to service and cancels the moves of
// hosts that are leaving the pool, until the pool meets its budget. These hosts still
// run, so no host has to be moved in for them.
func (p *planner) returnDrained(l *pool) {
	for _, h := range l.hosts {
		if l.shortfall() == 0 {
			return
		}
		switch {
		case h.hasStep || h.leaving || h.missing():
		case h.MovingTo() != "" && h.Duty() == fleet.Serving:
			p.cancelMove(h, "stay, as its pool is below its budget")
		case h.Duty() == fleet.Draining:
			p.returnToService(h, "return, as its pool is below its budget", &record.HostServe{})
		}
	}
}

// cancelMove proposes to cancel a host's move.
func (p *planner) cancelMove(h *host, step string) {
	r := &record.Record{Body: &record.Record_HostKeep{HostKeep: &record.HostKeep{Host: h.Name()}}}
	if !p.propose(h, step, r) {
		return
	}
	if to, ok := p.pools[h.MovingTo()]; ok {
		to.incoming--
	}
	if h.Duty() == fleet.Serving {
		p.markAvailable(h)
	}
}

// moveIn releases the best host of another pool to this one and reports whether it
// found one. It prefers spares, then hosts of pools with headroom and nothing to
// drain. If belowBudget is set, a host of any pool with headroom may be moved.
func (p *planner) moveIn(l *pool, belowBudget bool) bool {
	h := p.bestHostFor(l, func(o *pool) bool { return o.config.Spare() })
	if h == nil {
		h = p.bestHostFor(l, func(o *pool) bool { return o.headroom() > 0 && o.pendingDrains() == 0 })
	}
	if h == nil && belowBudget {
		h = p.bestHostFor(l, func(o *pool) bool { return o.headroom() > 0 })
	}
	return h != nil && p.proposeRelease(h, l)
}

// bestHostFor returns the host to move into a pool, or nil. Only other pools for which
// eligible returns true may give a host.
func (p *planner) bestHostFor(l *pool, eligible func(*pool) bool) *host {
	var best *host
	for _, o := range p.order {
		if o == l || o.available == 0 || !eligible(o) {
			continue
		}
		for _, h := range o.hosts {
			if h.movable() && (best == nil || p.betterToMoveIn(l, h, best)) {
				best = h
			}
		}
	}
	return best
}

// betterToMoveIn reports whether host a is a better choice than b to move into a pool.
// It prefers, in this order, a host without a reason to be drained, the one with fewer
// recent losses, the one whose rack has fewer hosts of the pool, and the one whose
// own pool has more headroom.
func (p *planner) betterToMoveIn(l *pool, a, b *host) bool {
	if a.hasReason() != b.hasReason() {
		return !a.hasReason()
	}
	if x, y := a.recentLosses(p.now), b.recentLosses(p.now); x != y {
		return x < y
	}
	if l.availableIn[a.rack] != l.availableIn[b.rack] {
		return l.availableIn[a.rack] < l.availableIn[b.rack]
	}
	return a.pool.headroom() > b.pool.headroom()
}

// proposeRelease proposes to release a host from its pool to another one, which
// begins its move.
func (p *planner) proposeRelease(h *host, to *pool) bool {
	r := &record.Record{Body: &record.Record_HostRelease{
		HostRelease: &record.HostRelease{Host: h.Name(), ToPool: to.config.Name()},
	}}
	if !p.propose(h, "release to pool "+to.config.Name(), r) {
		return false
	}
	p.markOut(h, h.Duty() == fleet.Serving)
	to.incoming++
	return true
}

// applyMoveIntents moves hosts to the pools that operators have chosen for them.
func (p *planner) applyMoveIntents() {
	for _, h := range p.hosts {
		to := p.pools[h.intent.ToPool()]
		switch {
		case h.hasStep:
		case to == nil || h.MovingTo() != "" || h.pool == to || h.Duty() == fleet.Draining || h.Duty() == fleet.Failed:
		case h.Available() && !p.mayTakeOut(h):
		default:
			p.proposeRelease(h, to)
		}
	}
}

// mayTakeOut reports whether the rules allow an available host to be taken out. If
// they don't, it records the rule that holds the host back.
func (p *planner) mayTakeOut(h *host) bool {
	l := h.pool
	switch {
	case l.headroom() <= 0:
		h.holdBack(RuleBudget, budgetExplanation(l), budgetRemedy(l))
		return false
	case l.config.Spare():
		return p.mayTakeOutSpare(h)
	default:
		return !p.exposesDomain(h)
	}
}
