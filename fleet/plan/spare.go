package plan

import (
	"time"

	"fescuelanding/fleet"
)

// addHostsForDrains moves hosts into pools that have hosts to drain but no headroom.
// Without an additional host such a pool can't drain any host within its budget.
func (p *planner) addHostsForDrains() {
	for _, l := range p.byUrgency() {
		if l.config.Spare() || l.headroom() > 0 || l.incoming > 0 || l.outCount() > 0 {
			continue
		}
		for range p.hostsToMoveIn(l.pendingDrains()) {
			if !p.moveIn(l, false) {
				p.explainNoSpare(l)
				break
			}
		}
	}
}

// hostsToMoveIn returns how many hosts to move into a pool without headroom that
// has n hosts to drain. Moving in k hosts costs k times the move weight. The drains
// then take n/k rounds, and each round costs the roll-out weight. The result is the
// k with the lowest total cost.
func (p *planner) hostsToMoveIn(n int) int {
	best, least := 1, 0.0
	for k := 1; k <= n; k++ {
		cost := float64(p.policy.RollOutWeight())*float64(n)/float64(k) + float64(p.policy.MoveWeight())*float64(k)
		if k == 1 || cost < least {
			best, least = k, cost
		}
	}
	return best
}

// explainNoSpare changes the rule of hosts held back by RuleBudget to RuleNoSpare,
// because no host can be moved into the pool.
func (p *planner) explainNoSpare(l *pool) {
	for _, h := range l.hosts {
		if h.rule == RuleBudget {
			h.holdBack(RuleNoSpare, budgetExplanation(l)+", and no pool has a host to spare", "a spare, a lost host that returns, or a smaller budget")
		}
	}
}

// deploySpares moves spares beyond the required reserve into the pools with the
// least headroom, if holding spares costs more than moving hosts. It waits until
// the fleet is settled, so that it doesn't move a spare twice.
func (p *planner) deploySpares() {
	if !p.domains.moveCheaperThanSpare || !p.settled() {
		return
	}
	for p.domains.spares > p.domains.requiredSpares() {
		l := p.tightestPool()
		if l == nil {
			return
		}
		h := p.bestHostFor(l, func(o *pool) bool { return o.config.Spare() })
		if h == nil || !p.proposeRelease(h, l) {
			return
		}
	}
}

// settled reports whether no host is lost, moving, or missing while it serves.
func (p *planner) settled() bool {
	for _, h := range p.hosts {
		if h.Duty() == fleet.Failed || h.MovingTo() != "" || h.missing() && h.Duty() == fleet.Serving {
			return false
		}
	}
	return true
}

// tightestPool returns the pool with the least headroom relative to its budget, or nil.
// It leaves out spare pools and pools without a budget.
func (p *planner) tightestPool() *pool {
	var best *pool
	for _, l := range p.order {
		if l.config.Spare() || l.config.MinAvailable() == 0 {
			continue
		}
		if best == nil || l.relativeHeadroom() < best.relativeHeadroom() {
			best = l
		}
	}
	return best
}

// relativeHeadroom returns the pool's headroom, once the hosts that are moving in
// have arrived, relative to its budget.
func (l *pool) relativeHeadroom() float64 {
	return float64(l.headroom()+l.incoming) / float64(l.config.MinAvailable())
}

// Reserve compares the number of available spares with the number of spares that the
// loss of a failure domain requires. If a move costs less than a spare, the headroom
// of pools lowers the number required.
type Reserve struct {
	held   int
	needed int
}

// Held returns how many available hosts are in spare pools.
func (r Reserve) Held() int { return r.held }

// Needed returns how many available spares the loss of the worst failure domain
// requires under the policy's weights. It can exceed Held.
func (r Reserve) Needed() int { return r.needed }

// CurrentReserve returns the reserve in the current state.
func CurrentReserve(s *fleet.State) Reserve {
	p := newPlanner(s, Observations{}, time.Time{})
	return Reserve{held: p.domains.spares, needed: p.domains.requiredSpares()}
}
