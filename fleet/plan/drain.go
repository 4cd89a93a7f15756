package plan

import (
	"fmt"
	"slices"

	"fescuelanding/fleet/config"
	"fescuelanding/fleet/record"
)

// drainHosts drains hosts that have a reason, as far as the rules allow.
func (p *planner) drainHosts() {
	for _, l := range p.byUrgency() {
		var waiting []*host
		for _, h := range l.hosts {
			if h.hasReason() && h.Available() && !h.hasStep && h.rule == RuleNone {
				waiting = append(waiting, h)
			}
		}
		p.drainPool(waiting)
	}
}

// drainPool drains hosts of one pool. If RuleDomain or RuleReserve holds a host
// back, the other waiting hosts of its failure domain are held back, too, but hosts of
// other domains may still be drained. Any other rule holds back the whole pool.
func (p *planner) drainPool(waiting []*host) {
	for len(waiting) > 0 {
		h := waiting[nextToDrain(waiting)]
		allowed := p.mayTakeOut(h)
		if allowed {
			p.drainHost(h)
		}
		waiting = slices.DeleteFunc(waiting, func(o *host) bool {
			switch {
			case o == h:
				return true
			case allowed || (h.rule == RuleDomain || h.rule == RuleReserve) && o.domain() != h.domain():
				return false
			default:
				o.holdBack(h.rule, h.why, h.frees)
				return true
			}
		})
	}
}

// nextToDrain returns the index of the host to drain next. Among hosts with equally
// pressing reasons, those whose failure domain already has hosts out go first. Each
// drain can change this order, so nextToDrain is called again after each.
func nextToDrain(hosts []*host) int {
	best := 0
	for i, h := range hosts {
		if compareHosts(h, hosts[best]) < 0 {
			best = i
		}
	}
	return best
}

func (p *planner) drainHost(h *host) {
	r := &record.Record{Body: &record.Record_HostDrain{
		HostDrain: &record.HostDrain{Host: h.Name(), Cause: h.reason.cause, CauseId: h.reason.id},
	}}
	if p.propose(h, "drain", r) {
		p.markOut(h, isTemporary(h.reason.cause))
	}
}

// exposesDomain reports whether a host must stay because, with it out, the reserve
// would cover the loss of some failure domain less well. If so, it records the rule that
// holds the host back.
// Three exceptions let work make progress when the reserve is small:
//   - If no other pool except spare pools has hosts out, the pool may have hosts of
//     one domain out, or of any domains if it tolerates no loss.
//   - A host whose maintenance is overdue isn't held back by RuleReserve.
//   - A host that the platform withdraws is never held back.
func (p *planner) exposesDomain(h *host) bool {
	l := h.pool
	id := p.domains.exposedBy(h)
	// hasReason is needed because the zero drainReason has the rank _rankLeaving.
	if id < 0 || h.reason.rank == _rankLeaving && h.hasReason() {
		return false
	}
	// The pool has hosts of another domain out.
	if l.outCount() > l.out[h.domain()] && l.config.Tolerate() != config.DomainNone {
		h.holdBack(RuleDomain, domainExplanation(l), "the return of those hosts")
		return true
	}
	if p.overdue(h) || !p.otherPoolHasHostsOut(l) {
		return false
	}
	h.holdBack(RuleReserve, p.reserveExplanation(id), "the return of hosts that are out, or more spares")
	return true
}

// otherPoolHasHostsOut reports whether another pool that isn't a spare pool has hosts
// out.
func (p *planner) otherPoolHasHostsOut(l *pool) bool {
	return slices.ContainsFunc(p.order, func(o *pool) bool {
		return o != l && !o.config.Spare() && o.outCount() > 0
	})
}

func (p *planner) reserveExplanation(id int) string {
	return fmt.Sprintf("with it out, the loss of %s would ask for more than the %d hosts in reserve", p.domains.list[id].name, p.domains.reserve(id))
}

// mayTakeOutSpare reports whether a host of a spare pool may be taken out. It may if
// enough spares remain, or if no spare is out at present. The second case lets spares
// be maintained even when there are too few. If the host may not be taken out,
// mayTakeOutSpare records the rule that holds it back.
func (p *planner) mayTakeOutSpare(h *host) bool {
	if p.domains.spares > p.domains.requiredSpares() {
		return true
	}
	for _, l := range p.order {
		for _, n := range l.out {
			if l.config.Spare() && n > 0 {
				h.holdBack(RuleReserve, fmt.Sprintf("%d spares are in reserve, and the worst loss needs %d", p.domains.spares, p.domains.requiredSpares()), "the return of the spares that are out")
				return false
			}
		}
	}
	return true
}

// budgetExplanation returns how RuleBudget applies to the hosts of the pool.
func budgetExplanation(l *pool) string {
	return fmt.Sprintf("pool %s has %d available of at least %d", l.config.Name(), l.available, l.config.MinAvailable())
}

// budgetRemedy returns what would release the hosts of the pool from RuleBudget.
func budgetRemedy(l *pool) string {
	out := 0
	for _, n := range l.out {
		out += n
	}
	switch {
	case l.incoming > 0:
		return fmt.Sprintf("the %d hosts on their way into the pool", l.incoming)
	case out > 0:
		return fmt.Sprintf("the return of the %d hosts that are out", out)
	default:
		return "a host moved in, a lost one that returns, or a smaller budget"
	}
}

func domainExplanation(l *pool) string {
	return fmt.Sprintf("pool %s has hosts of another %v out, and the reserve doesn't cover the loss of a further one", l.config.Name(), l.config.Tolerate())
}

// shortfallAfterWorstLoss returns how many hosts the pool would lack for its budget
// after the loss of the worst domain that it tolerates.
func (p *planner) shortfallAfterWorstLoss(l *pool) int {
	n := 0
	for _, i := range l.domains {
		if l.tolerates(p.domains.list[i].kind) {
			n = max(n, l.shortfallAfterLoss(i))
		}
	}
	return n
}
