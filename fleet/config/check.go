package config

import (
	"fmt"
	"net/netip"
)

// check validates the rules that involve several keys or sections, and adds each
// violation to e. The configuration before the change was consistent, so check
// examines only what the change can have invalidated.
func (d *data) check(e *Invalid) {
	d.checkFleet(e)
	d.checkClasses(e)
	if d.pools.touched() || d.hosts.touched() {
		d.checkPools(e)
	}
	d.checkServices(e)
	d.checkHosts(e)
	d.checkAddresses(e)
}

func (d *data) checkFleet(e *Invalid) {
	f := d.fleet.get("")
	if f == nil {
		return
	}
	if f.bufferWeight+f.rollOutWeight+f.moveWeight == 0 {
		e.add(Problem{reason: ErrValue, kind: KindFleet, key: KeyBufferWeight, found: "0", want: "one of the three weights above zero"})
	}
	// The other entries unregister an entry after it has been missing for liveListLag
	// from the platform's list of running hosts and entries, the live list. An entry
	// that still runs but is cut off from the platform must stop serving before that.
	// It stops once it hasn't read the log up to its head for stalenessBound.
	if f.liveListLag > 0 && f.stalenessBound >= f.liveListLag {
		e.add(Problem{
			reason: ErrValue, kind: KindFleet, key: KeyStalenessBound, found: f.stalenessBound.String(),
			want: "less than liveListLag, which is " + f.liveListLag.String(),
		})
	}
}

func (d *data) checkClasses(e *Invalid) {
	for _, c := range d.classes.changed {
		p := Problem{reason: ErrValue, kind: KindClass, name: c.name, key: KeyStartWithin}
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
	hostCounts := make(map[string]int, len(d.pools.rows))
	for _, h := range d.hosts.rows {
		hostCounts[h.home]++
	}
	for _, p := range d.pools.rows {
		b := Problem{reason: ErrBudget, kind: KindPool, name: p.name, key: KeyMinAvailable, found: fmt.Sprint(p.minAvailable)}
		switch {
		case p.spare && p.minAvailable > 0:
			b.want = "0, as the pool is spare"
			e.add(b)
		case p.minAvailable > hostCounts[p.name]:
			b.want = fmt.Sprintf("at most %d, the hosts with this home", hostCounts[p.name])
			e.add(b)
		}
	}
}

func (d *data) checkServices(e *Invalid) {
	// A service is valid only if its pool exists and isn't spare, so a changed pool can
	// invalidate it. Its class only has to exist.
	for _, s := range d.services.toCheck(d.pools.touched() || d.classes.removed) {
		p := Problem{reason: ErrReference, kind: KindService, name: s.name, key: KeyPool, found: s.pool}
		pool := d.pools.get(s.pool)
		switch {
		case pool == nil && s.pool != "":
			p.want = header(KindPool, s.pool)
			e.add(p)
		case pool != nil && pool.spare:
			p.reason, p.want = ErrValue, "a pool that isn't spare"
			e.add(p)
		}
		if s.class != "" && d.classes.get(s.class) == nil {
			p.reason, p.key, p.found, p.want = ErrReference, KeyClass, s.class, header(KindClass, s.class)
			e.add(p)
		}
	}
}

func (d *data) checkHosts(e *Invalid) {
	for _, h := range d.hosts.toCheck(d.dataCentres.removed || d.pools.removed) {
		p := Problem{reason: ErrReference, kind: KindHost, name: h.name}
		if h.dataCentre != "" && d.dataCentres.get(h.dataCentre) == nil {
			p.key, p.found, p.want = KeyDataCentre, h.dataCentre, header(KindDataCentre, h.dataCentre)
			e.add(p)
		}
		if h.home != "" && d.pools.get(h.home) == nil {
			p.key, p.found, p.want = KeyHome, h.home, header(KindPool, h.home)
			e.add(p)
		}
	}
}

// checkAddresses adds a problem for each host whose address duplicates that of
// another host, if the change set at least one of the two.
func (d *data) checkAddresses(e *Invalid) {
	if len(d.hosts.changed) == 0 {
		return
	}
	// hostAt maps each address that the change sets to the first host found with it,
	// or to "" until one is found.
	hostAt := make(map[netip.AddrPort]string, len(d.hosts.changed))
	for _, h := range d.hosts.changed {
		if h.address.IsValid() {
			hostAt[h.address] = ""
		}
	}
	for _, h := range d.hosts.rows {
		other, ok := hostAt[h.address]
		switch {
		case !ok:
		case other == "":
			hostAt[h.address] = h.name
		default:
			e.add(Problem{
				reason: ErrDuplicate, kind: KindHost, name: h.name, key: KeyAddress, found: h.address.String(),
				want: fmt.Sprintf("an address of its own, %s has this one", header(KindHost, other)),
			})
		}
	}
}
