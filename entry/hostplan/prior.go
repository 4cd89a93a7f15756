package hostplan

import (
	"time"

	"fescuelanding/fleet/permit"
	"fescuelanding/platform"
)

// priorOrder is an order of a previous planner that may still be carried out.
type priorOrder struct {
	at time.Time
	// upstream is the upstream whose incarnation the order ends.
	upstream string
}

// AddPriorOrder records that a previous planner was about to order a host at the
// given time. Nothing ran on the host's upstream then. The name of the upstream is
// "" if the host had none.
func (p *Planner) AddPriorOrder(machine, upstream string, at time.Time) {
	if p.priorOrders == nil {
		p.priorOrders = make(map[string]priorOrder)
	}
	p.priorOrders[machine] = priorOrder{at, upstream}
}

// priorOrderPending reports whether a previous planner's order for a host may still
// be carried out. That is the case until Settings.Lease after this planner's first step, as the
// previous one sends nothing later. An order that is older by any clock, or has given way to its
// effect for long enough, has been carried out.
func (p *Planner) priorOrderPending(now time.Time, machine string) bool {
	o, ok := p.priorOrders[machine]
	return ok && now.Sub(o.at) < p.settings.Lease+_maxClockSkew &&
		(p.startedAt.IsZero() || now.Sub(p.startedAt) < p.settings.Lease) &&
		!p.carriedOut(now, machine, o)
}

// carriedOut reports whether a previous planner's order was carried out so long ago that another
// planner may order the host: the upstream that it was to end has given way to another one, and
// two clocks, that of the previous planner and that of the host, tell that both the order and the
// start of that one are older than Settings.Lease. The start must be older by _listLag, as the
// previous planner's list may have lacked the upstream for so long. By how much this entry's own
// clock was set forward meanwhile doesn't count.
func (p *Planner) carriedOut(now time.Time, machine string, o priorOrder) bool {
	m := p.byName[machine]
	start := p.startOf(m)
	if m.Upstream == o.upstream || start.IsZero() {
		return false
	}
	now = now.Add(-permit.Suspended(p.startedAt, now))
	age := p.settings.Lease + _usualClockSkew
	return now.Sub(o.at) >= age && now.Sub(start) >= age+_listLag
}

// startOf returns when the upstream on a host started, by the host's clock. It is zero if no
// owner knows.
func (p *Planner) startOf(m platform.Machine) time.Time {
	s := p.pools[m.Pool]
	if s == nil || m.Upstream == "" {
		return time.Time{}
	}
	for _, h := range s.load.GetHosts() {
		if h.GetUpstream() == m.Upstream && h.GetStartUnixMs() > 0 {
			return time.UnixMilli(h.GetStartUnixMs())
		}
	}
	return time.Time{}
}

// priorOrderUnseen reports whether a previous planner's order for a host may have been
// carried out without the current list showing it.
func (p *Planner) priorOrderUnseen(machine string) bool {
	return p.priorOrderPending(p.view.ListedAt.Add(-_listLag), machine)
}

// _maxClockSkew is the largest difference expected between the clocks of two
// entries. A clock may be set by several seconds.
const _maxClockSkew = 6 * time.Second

// _usualClockSkew is the largest difference between the clocks of two entries that weren't set.
const _usualClockSkew = 300 * time.Millisecond
