package hostplan

import (
	"time"
)

// takeOrderCredit takes the credit for one order and reports whether there was
// enough. Credit keeps the planner below the cloud interface's limit on the rate of
// orders, which applies to all hosts together.
func (p *Planner) takeOrderCredit() bool {
	if p.credit < 1 {
		return false
	}
	p.credit--
	return true
}

// refillOrderCredit adds the credit for the time since the last refill.
func (p *Planner) refillOrderCredit(now time.Time) {
	r := p.settings.OrdersPerS * _orderShare
	if r <= 0 {
		r = _defaultOrdersPerS
	}
	p.credit = min(p.credit+now.Sub(p.creditAt).Seconds()*r, max(1, r*_orderBurstS))
	p.creditAt = now
}

const (
	// _orderShare is the part of the cloud interface's order rate that the planner
	// uses.
	_orderShare = 0.85
	// _defaultOrdersPerS applies where the settings have no rate.
	_defaultOrdersPerS = 20.0
	// _orderBurstS is the time over which unused credit accumulates, in seconds.
	_orderBurstS = 0.5
)
