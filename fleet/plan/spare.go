package plan

import (
	"time"

	"fescuelanding/fleet"
)

// addHostsForWork moves hosts into pools that have work to do and no room at all: their
// budget can only be kept with a host more.
func (p *planner) addHostsForWork() {
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

// hostsToMoveIn returns how many hosts to move into a pool without room that has n hosts
// to take out: k hosts take n/k rounds at the weight of roll-out, and k moves at
// theirs.
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

// explainNoSpare notes that no host can be moved in.
func (p *planner) explainNoSpare(l *pool) {
	for _, h := range l.hosts {
		if h.rule == RuleBudget {
			h.holdBack(RuleNoSpare, budgetExplanation(l)+", and no pool has a host to spare", "a spare, a lost host that returns, or a smaller budget")
		}
	}
}

// deploySpares moves spares beyond the reserve into the pools with the least room,
// where holding them costs more than the move. It waits until the fleet is
// settled, so that a spare isn't moved twice.
func (p *planner) deploySpares() {
	if !p.domains.movesCheaper || !p.settled() {
		return
	}
	for p.domains.spares > p.domains.requiredSpares() {
		l := p.tightestPool()
		if l == nil {
			return
		}
		h := p.bestHostFor(l, func(d *pool) bool { return d.config.Spare() })
		if h == nil || !p.release(h, l) {
			return
		}
	}
}

// settled reports whether no host is lost or between pools.
func (p *planner) settled() bool {
	for _, h := range p.hosts {
		if h.Duty() == fleet.Failed || h.MovingTo() != "" || h.missing() && h.Duty() == fleet.Serving {
			return false
		}
	}
	return true
}

// tightestPool returns the pool in service with the least room for its size.
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

// relativeHeadroom returns the pool's room, hosts on their way in counted, for its budget.
func (l *pool) relativeHeadroom() float64 {
	return float64(l.headroom()+l.incoming) / float64(l.config.MinAvailable())
}

// Reserve is the spare capacity that is held back and what it is for.
type Reserve struct {
	held   int
	needed int
}

// Held returns how many available hosts are in spare pools.
func (r Reserve) Held() int { return r.held }

// Needed returns how many of them the loss of the worst failure domain asks
// for, by the weights of the policy.
func (r Reserve) Needed() int { return r.needed }

// CurrentReserve returns the reserve as it is.
func CurrentReserve(s *fleet.State) Reserve {
	p := newPlanner(s, Observations{}, time.Time{})
	return Reserve{held: p.domains.spares, needed: p.domains.requiredSpares()}
}
