package plan

import (
	"slices"

	"fescuelanding/fleet/config"
)

// moveCheaperThanSpare reports whether moving a host costs less than holding a spare for
// a maintenance period, by the policy's weights. If so, hosts of pools with headroom
// may replace lost hosts: the headroom of all pools counts as reserve, and spares
// beyond the required reserve are moved into pools.
func moveCheaperThanSpare(f config.Fleet) bool { return f.BufferWeight() > f.MoveWeight() }

// domains tracks what the loss of each failure domain would cost the pools, and the
// spares and headroom that could make up for it. It is updated with each proposed
// step.
type domains struct {
	// ids maps the name of a domain to its id, which is its index in list.
	ids  map[string]int
	list []domain
	// spares and headroom are the totals over all pools.
	spares               int
	headroom             int
	moveCheaperThanSpare bool
	allIDs               []int
}

// domain is a rack or a data centre.
type domain struct {
	name string
	kind config.Domain
	// headroom is how much of the pools' headroom would be lost with the domain.
	headroom int
	// shortfall is how many hosts the pools that tolerate the loss would lack for
	// their budgets.
	shortfall int
	// spares is how many available hosts of spare pools are in the domain.
	spares int
}

// id returns the id of a domain and assigns one if needed.
func (d *domains) id(name string, kind config.Domain) int {
	i, ok := d.ids[name]
	if !ok {
		i = len(d.list)
		d.ids[name] = i
		d.list = append(d.list, domain{name: name, kind: kind})
	}
	return i
}

// addPools collects the domains of each pool and adds all pools to the totals.
func (d *domains) addPools(pools []*pool) {
	for _, l := range pools {
		for _, h := range l.hosts {
			l.addDomain(h.rack)
			l.addDomain(h.dataCentre)
		}
		d.add(l, 1)
	}
}

// addDomain records that the pool has hosts in a domain.
func (l *pool) addDomain(id int) {
	if !slices.Contains(l.domains, id) {
		l.domains = append(l.domains, id)
	}
}

// update calls f, which changes the counts of a pool, and updates the totals.
func (d *domains) update(l *pool, f func()) {
	d.add(l, -1)
	f()
	d.add(l, 1)
}

// add adds a pool to the totals, or removes it if sign is -1.
func (d *domains) add(l *pool, sign int) {
	if l.config.Spare() {
		d.spares += sign * l.available
		for _, i := range l.domains {
			d.list[i].spares += sign * l.availableIn[i]
		}
		return
	}
	d.headroom += sign * max(0, l.headroom())
	for _, i := range l.domains {
		d.list[i].headroom += sign * min(max(0, l.headroom()), l.availableIn[i])
		if l.tolerates(d.list[i].kind) {
			d.list[i].shortfall += sign * l.shortfallAfterLoss(i)
		}
	}
}

// tolerates reports whether the pool is to meet its budget after the loss of a
// domain of this kind.
func (l *pool) tolerates(kind config.Domain) bool { return l.config.Tolerate() >= kind }

// reserve returns how many hosts could replace those lost with a domain: the spares
// outside of it and, if moveCheaperThanSpare is set, the headroom that the pools
// have left after the loss.
func (d *domains) reserve(id int) int {
	n := d.spares - d.list[id].spares
	if !d.moveCheaperThanSpare {
		return n
	}
	return n + d.headroom - d.list[id].headroom
}

// uncovered returns by how many hosts the reserve falls short if a domain is lost.
func (d *domains) uncovered(id int) int {
	return max(0, d.list[id].shortfall-d.reserve(id))
}

// requiredSpares returns how many spares must be held to cover the loss of any one
// domain. Spares inside that domain are lost with it, so they are required on top of
// those that replace its hosts.
func (d *domains) requiredSpares() int {
	n := 0
	for i := range d.list {
		inside := d.list[i].spares
		headroom := d.reserve(i) - (d.spares - inside)
		if outside := d.list[i].shortfall - headroom; outside > 0 {
			n = max(n, outside+inside)
		}
	}
	return n
}

// exposedBy returns a domain whose loss would be covered less well if the host were
// taken out, or -1. If the headroom of pools is part of the reserve, a step can
// expose any domain, otherwise only those of the host's pool.
func (d *domains) exposedBy(h *host) int {
	l := h.pool
	ids := l.domains
	if d.moveCheaperThanSpare {
		ids = d.all()
	}
	before := make([]int, len(ids))
	for i, id := range ids {
		before[i] = d.uncovered(id)
	}
	d.update(l, func() { l.subtractAvailable(h, 1) })
	defer d.update(l, func() { l.subtractAvailable(h, -1) })
	for i, id := range ids {
		if d.uncovered(id) > before[i] {
			return id
		}
	}
	return -1
}

// all returns the ids of all domains.
func (d *domains) all() []int {
	if len(d.allIDs) != len(d.list) {
		d.allIDs = d.allIDs[:0]
		for i := range d.list {
			d.allIDs = append(d.allIDs, i)
		}
	}
	return d.allIDs
}

// subtractAvailable subtracts n from the counts of available hosts of the pool and of
// h's domains in it. A negative n adds.
func (l *pool) subtractAvailable(h *host, n int) {
	l.available -= n
	l.availableIn[h.rack] -= n
	l.availableIn[h.dataCentre] -= n
}
