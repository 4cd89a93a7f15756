package plan

import (
	"time"

	"fescuelanding/fleet"
)

// lend moves hosts into pools that have work to do and no room at all: their
// budget can only be kept with a host more.
func (p *planner) lend() {
	for _, l := range p.byUrgency() {
		if l.config.Spare() || l.room() > 0 || l.incoming > 0 || l.outNow() > 0 {
			continue
		}
		for range p.loan(l.work()) {
			if !p.moveIn(l, false) {
				p.holdForSpare(l)
				break
			}
		}
	}
}

// loan returns how many hosts to move into a pool without room that has n hosts
// to take out: k hosts take n/k rounds at the weight of roll-out, and k moves at
// theirs.
func (p *planner) loan(n int) int {
	best, least := 1, 0.0
	for k := 1; k <= n; k++ {
		cost := float64(p.policy.RollOutWeight())*float64(n)/float64(k) + float64(p.policy.MoveWeight())*float64(k)
		if k == 1 || cost < least {
			best, least = k, cost
		}
	}
	return best
}

// holdForSpare notes that no host can be moved in.
func (p *planner) holdForSpare(l *pool) {
	for _, h := range l.hosts {
		if h.rule == RuleBudget {
			h.held(RuleNoSpare, budgetWhy(l)+", and no pool has a host to spare", "a spare, a lost host that returns, or a smaller budget")
		}
	}
}

// putToWork moves spares beyond the reserve into the pools with the least room,
// where holding them costs more than the move. It waits until the fleet is
// settled, so that a spare isn't moved twice.
func (p *planner) putToWork() {
	if !p.domains.lean || !p.settled() {
		return
	}
	for p.domains.spares > p.domains.needed() {
		l := p.tightest()
		if l == nil {
			return
		}
		h := p.bestFor(l, func(d *pool) bool { return d.config.Spare() })
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

// tightest returns the pool in service with the least room for its size.
func (p *planner) tightest() *pool {
	var best *pool
	for _, l := range p.order {
		if l.config.Spare() || l.config.MinAvailable() == 0 {
			continue
		}
		if best == nil || l.ease() < best.ease() {
			best = l
		}
	}
	return best
}

// ease returns the pool's room, hosts on their way in counted, for its budget.
func (l *pool) ease() float64 {
	return float64(l.room()+l.incoming) / float64(l.config.MinAvailable())
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

// Spare returns the reserve as it is.
func CurrentReserve(s *fleet.State) Reserve {
	p := newPlanner(s, Observations{}, time.Time{})
	return Reserve{held: p.domains.spares, needed: p.domains.needed()}
}
