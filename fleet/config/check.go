package config

import (
	"fmt"
	"net/netip"
)

// check notes what is wrong between sections.
func (d *data) check(e *Invalid) {
	d.checkFleet(e)
	d.checkClasses(e)
	d.checkPools(e)
	d.checkServices(e)
	d.checkHosts(e)
}

func (d *data) checkFleet(e *Invalid) {
	f := d.fleet.get("")
	if f == nil || f.bufferWeight+f.rollOutWeight+f.moveWeight > 0 {
		return
	}
	e.add(Problem{reason: ErrValue, kind: _kindFleet, key: "bufferWeight", found: "0", want: "one of the three weights above zero"})
}

func (d *data) checkClasses(e *Invalid) {
	for _, c := range d.classes.rows {
		p := Problem{reason: ErrValue, kind: _kindClass, name: c.name, key: _keyStartWithin}
		switch {
		case c.urgent && c.startWithin == 0:
			p.reason, p.want = ErrMissing, "a value for it, as the class is urgent"
			e.add(p)
		case c.deadline > 0 && c.startWithin > c.deadline:
			p.found, p.want = c.startWithin.String(), fmt.Sprintf("at most the deadline, %v", c.deadline)
			e.add(p)
		}
	}
}

func (d *data) checkPools(e *Invalid) {
	homes := make(map[string]int, len(d.pools.rows))
	for _, h := range d.hosts.rows {
		homes[h.home]++
	}
	for _, p := range d.pools.rows {
		b := Problem{reason: ErrBudget, kind: _kindPool, name: p.name, key: _keyMinAvailable, found: fmt.Sprint(p.minAvailable)}
		switch {
		case p.spare && p.minAvailable > 0:
			b.want = "0, as the pool is spare"
			e.add(b)
		case p.minAvailable > homes[p.name]:
			b.want = fmt.Sprintf("at most %d, the hosts with this home", homes[p.name])
			e.add(b)
		}
	}
}

func (d *data) checkServices(e *Invalid) {
	for _, s := range d.services.rows {
		p := Problem{reason: ErrReference, kind: _kindService, name: s.name, key: _keyPool, found: s.pool}
		pool := d.pools.get(s.pool)
		switch {
		case pool == nil && s.pool != "":
			p.want = header(_kindPool, s.pool)
			e.add(p)
		case pool != nil && pool.spare:
			p.reason, p.want = ErrValue, "a pool that isn't spare"
			e.add(p)
		}
		if s.class != "" && d.classes.get(s.class) == nil {
			p.reason, p.key, p.found, p.want = ErrReference, _keyClass, s.class, header(_kindClass, s.class)
			e.add(p)
		}
	}
}

func (d *data) checkHosts(e *Invalid) {
	addresses := make(map[netip.AddrPort]string, len(d.hosts.rows))
	for _, h := range d.hosts.rows {
		p := Problem{reason: ErrReference, kind: _kindHost, name: h.name}
		if h.dataCentre != "" && d.dataCentres.get(h.dataCentre) == nil {
			p.key, p.found, p.want = _keyDataCentre, h.dataCentre, header(_kindDataCentre, h.dataCentre)
			e.add(p)
		}
		if h.home != "" && d.pools.get(h.home) == nil {
			p.key, p.found, p.want = _keyHome, h.home, header(_kindPool, h.home)
			e.add(p)
		}
		if !h.address.IsValid() {
			continue
		}
		if other, ok := addresses[h.address]; ok {
			p.reason, p.key, p.found = ErrDuplicate, _keyAddress, h.address.String()
			p.want = fmt.Sprintf("an address of its own, %s has this one", header(_kindHost, other))
			e.add(p)
			continue
		}
		addresses[h.address] = h.name
	}
}
