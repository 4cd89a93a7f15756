package plan_test

import (
	"time"

	"fescuelanding/fleet"
	"fescuelanding/fleet/plan"
	"fescuelanding/fleet/record"
)

// oneAtATime is a baseline that moves hosts only into pools below their budget and
// has one host of each pool out at a time. Otherwise it does the same as plan.Plan.
func oneAtATime(s *fleet.State, o plan.Observations, now time.Time) []*record.Record {
	out := outByPool(s)
	var r []*record.Record
	for _, p := range plan.Plan(s, o, now) {
		h, _ := s.Host(voluntaryHost(p))
		if p.GetHostDrain() != nil {
			if out[h.Pool()] > 0 {
				continue
			}
			out[h.Pool()]++
		}
		if p.GetHostRelease() != nil && !belowBudget(s, p.GetHostRelease().GetToPool()) {
			continue
		}
		r = append(r, p)
	}
	return r
}

// moveEach is a baseline that moves a spare into the pool for each host that it
// drains, and moves the drained host to the spares when it is back.
type moveEach struct {
	// toSpares has, by pool, the drained host that will move to the spares.
	toSpares map[string]string
}

// plan has the signature of plan.Plan.
func (m *moveEach) plan(s *fleet.State, o plan.Observations, now time.Time) []*record.Record {
	if m.toSpares == nil {
		m.toSpares = map[string]string{}
	}
	declared, spares := homeCounts(s), spareHosts(s)
	started := map[string]bool{}
	var r []*record.Record
	for _, p := range plan.Plan(s, o, now) {
		h, _ := s.Host(voluntaryHost(p))
		l, _ := s.Config().Pool(h.Pool())
		n, _ := s.Pool(h.Pool())
		switch {
		case p.GetHostRelease() != nil && !belowBudget(s, p.GetHostRelease().GetToPool()):
		case p.GetHostDrain() == nil || l.Spare():
			r = append(r, p)
		case started[h.Pool()] || m.toSpares[h.Pool()] != "" || n.Incoming() > 0:
		case n.Available() > declared[h.Pool()]:
			m.toSpares[h.Pool()], started[h.Pool()] = h.Name(), true
			r = append(r, p)
		case len(spares) > 0:
			started[h.Pool()] = true
			r = append(r, release(s, p, spares[0], h.Pool()))
			spares = spares[1:]
		}
	}
	return append(r, m.releaseToSpares(s, now)...)
}

// releaseToSpares releases the drained hosts that are back to a spare pool.
func (m *moveEach) releaseToSpares(s *fleet.State, now time.Time) []*record.Record {
	o, _ := s.Owner(fleet.PlannerKey)
	var r []*record.Record
	for pool, host := range m.toSpares {
		h, _ := s.Host(host)
		n, _ := s.Pool(pool)
		switch {
		case h.Pool() != pool:
			delete(m.toSpares, pool)
		case h.Available() && n.Available() > n.Budget():
			p := &record.Record{Term: o.Term(), AtUnixMs: now.UnixMilli()}
			r = append(r, release(s, p, host, sparePool(s)))
		}
	}
	return r
}

// release returns a record that releases a host, with the term and time of p.
func release(s *fleet.State, p *record.Record, host, to string) *record.Record {
	r := &record.Record{Term: p.GetTerm(), AtUnixMs: p.GetAtUnixMs(), Body: &record.Record_HostRelease{
		HostRelease: &record.HostRelease{Host: host, ToPool: to},
	}}
	r.Basis = s.Basis(r)
	return r
}

// belowBudget reports whether a pool is below its budget.
func belowBudget(s *fleet.State, pool string) bool {
	n, _ := s.Pool(pool)
	return n.Available() < n.Budget()
}

// outByPool counts the hosts of each pool that are draining or down.
func outByPool(s *fleet.State) map[string]int {
	r := map[string]int{}
	for _, h := range s.Hosts() {
		if h.Duty() == fleet.Draining || h.Duty() == fleet.Down {
			r[h.Pool()]++
		}
	}
	return r
}

// homeCounts counts the hosts declared for each pool that isn't a spare pool.
func homeCounts(s *fleet.State) map[string]int {
	r := map[string]int{}
	for _, h := range s.Config().Hosts() {
		if p, _ := s.Config().Pool(h.Home()); !p.Spare() {
			r[h.Home()]++
		}
	}
	return r
}

// spareHosts returns the available hosts of spare pools.
func spareHosts(s *fleet.State) []string {
	var r []string
	for _, h := range s.Hosts() {
		if p, _ := s.Config().Pool(h.Pool()); p.Spare() && h.Available() {
			r = append(r, h.Name())
		}
	}
	return r
}

// sparePool returns the name of a spare pool, or "".
func sparePool(s *fleet.State) string {
	for _, p := range s.Config().Pools() {
		if p.Spare() {
			return p.Name()
		}
	}
	return ""
}
