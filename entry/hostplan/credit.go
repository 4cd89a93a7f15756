package hostplan

import (
	"time"
)

// spend takes the right to one order; the cloud interface bounds them for all.
func (p *Planner) spend() bool {
	if p.credit < 1 {
		return false
	}
	p.credit--
	return true
}

// refill adds the orders that time has allowed.
func (p *Planner) refill(now time.Time) {
	r := p.set.OrdersPerS * _orderShare
	if r <= 0 {
		r = _defaultOrders
	}
	p.credit = min(p.credit+now.Sub(p.creditAt).Seconds()*r, max(1, r*_orderBurst))
	p.creditAt = now
}

const (
	// _orderShare of the orders that the cloud interface takes is used.
	_orderShare = 0.85
	// _defaultOrders stands in where no bound is set, by the second.
	_defaultOrders = 20.0
	// _orderBurst is for how many seconds orders may be saved up.
	_orderBurst = 0.5
)
