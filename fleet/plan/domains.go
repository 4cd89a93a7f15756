package plan

import (
	"slices"

	"fescuelanding/fleet/config"
)

// movesCheaper reports whether holding a spare for a maintenance period costs more than
// moving a host. Then the room of other pools counts as reserve, and spares
// beyond the reserve are put to work.
func movesCheaper(f config.Fleet) bool { return f.BufferWeight() > f.MoveWeight() }

// domains holds what the loss of each failure domain would cost the pools. It
// is kept up to date while steps are proposed.
type domains struct {
	ids  map[string]int
	list []domain
	// spares and room are those of all pools together.
	spares       int
	headroom     int
	movesCheaper bool
	allIDs       []int
}

// domain is a rack or a data centre.
type domain struct {
	name string
	kind config.Domain
	// headroom is how much of the pools' headroom would be lost with it.
	headroom int
	// shortfall is how many hosts the pools that tolerate its loss would lack.
	shortfall int
	// spares is how many available hosts of spare pools are in it.
	spares int
}

// id returns the number of a domain, new where it wasn't known.
func (d *domains) id(name string, kind config.Domain) int {
	i, ok := d.ids[name]
	if !ok {
		i = len(d.list)
		d.ids[name] = i
		d.list = append(d.list, domain{name: name, kind: kind})
	}
	return i
}

// addPools takes all pools in.
func (d *domains) addPools(pools []*pool) {
	for _, l := range pools {
		for _, h := range l.hosts {
			l.addDomain(h.rack)
			l.addDomain(h.dataCentre)
		}
		d.add(l, 1)
	}
}

// addDomain notes that the pool has hosts in a domain.
func (l *pool) addDomain(id int) {
	if !slices.Contains(l.domains, id) {
		l.domains = append(l.domains, id)
	}
}

// update makes a update to a pool's counts.
func (d *domains) update(l *pool, f func()) {
	d.add(l, -1)
	f()
	d.add(l, 1)
}

// add adds what a pool brings to its domains, or takes it off with sign -1.
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

// tolerates reports whether the pool's budget is to outlast the loss of a
// domain of a kind.
func (l *pool) tolerates(kind config.Domain) bool { return l.config.Tolerate() >= kind }

// reserve returns how many hosts could make good the loss of a domain: spares
// outside of it and, where the policy is lean, the room that pools have left
// after the loss.
func (d *domains) reserve(id int) int {
	n := d.spares - d.list[id].spares
	if !d.movesCheaper {
		return n
	}
	return n + d.headroom - d.list[id].headroom
}

// uncovered returns by how many hosts the reserve falls short of the loss of a
// domain.
func (d *domains) uncovered(id int) int {
	return max(0, d.list[id].shortfall-d.reserve(id))
}

// requiredSpares returns how many spares the loss of the worst domain asks for.
func (d *domains) requiredSpares() int {
	n := 0
	for i := range d.list {
		inside := d.list[i].spares
		others := d.reserve(i) - (d.spares - inside)
		if want := d.list[i].shortfall - others; want > 0 {
			n = max(n, want+inside)
		}
	}
	return n
}

// exposedBy returns a domain whose loss the reserve would cover less well if the
// pool let a host go, or -1. Where the room of pools is part of the reserve, a
// step can expose any domain, otherwise only those of the pool.
func (d *domains) exposedBy(h *host) int {
	l := h.pool
	ids := l.domains
	if d.movesCheaper {
		ids = d.all()
	}
	before := make([]int, len(ids))
	for i, id := range ids {
		before[i] = d.uncovered(id)
	}
	d.update(l, func() { l.removeAvailable(h, 1) })
	defer d.update(l, func() { l.removeAvailable(h, -1) })
	for i, id := range ids {
		if d.uncovered(id) > before[i] {
			return id
		}
	}
	return -1
}

// all returns the numbers of all domains.
func (d *domains) all() []int {
	if len(d.allIDs) != len(d.list) {
		d.allIDs = d.allIDs[:0]
		for i := range d.list {
			d.allIDs = append(d.allIDs, i)
		}
	}
	return d.allIDs
}

// removeAvailable takes n hosts of h's place out of the pool's available ones.
func (l *pool) removeAvailable(h *host, n int) {
	l.available -= n
	l.availableIn[h.rack] -= n
	l.availableIn[h.dataCentre] -= n
}
