package plan_test

import (
	"time"

	"fescuelanding/fleet"
	"fescuelanding/fleet/plan"
	"fescuelanding/fleet/record"
)

// oneAtATime is the baseline that holds its spares as they are declared and has
// one host of each pool out at a time. All else it does as Plan.
func oneAtATime(s *fleet.State, o plan.Observations, now time.Time) []*record.Record {
	out := outByPool(s)
	var r []*record.Record
	for _, p := range plan.Plan(s, o, now) {
		h, _ := s.Host(stepped(p))
		if p.GetHostDrain() != nil {
			if out[h.Pool()] > 0 {
				continue
			}
			out[h.Pool()]++
		}
		if p.GetHostRelease() != nil && !low(s, p.GetHostRelease().GetToPool()) {
			continue
		}
		r = append(r, p)
	}
	return r
}

// moveEach is the baseline that moves a spare into the pool for each host that
// it drains, and moves the drained host to the spares when it is back.
type moveEach struct {
	// owed has the pools' hosts that were drained and go to the spares.
	owed map[string]string
}

// plan has the form of plan.Plan.
func (m *moveEach) plan(s *fleet.State, o plan.Observations, now time.Time) []*record.Record {
	if m.owed == nil {
		m.owed = map[string]string{}
	}
	full, spares := homes(s), spareHosts(s)
	begun := map[string]bool{}
	var r []*record.Record
	for _, p := range plan.Plan(s, o, now) {
		h, _ := s.Host(stepped(p))
		l, _ := s.Config().Pool(h.Pool())
		n, _ := s.Pool(h.Pool())
		switch {
		case p.GetHostRelease() != nil && !low(s, p.GetHostRelease().GetToPool()):
		case p.GetHostDrain() == nil || l.Spare():
			r = append(r, p)
		case begun[h.Pool()] || m.owed[h.Pool()] != "" || n.Incoming() > 0:
		case n.Available() > full[h.Pool()]:
			m.owed[h.Pool()], begun[h.Pool()] = h.Name(), true
			r = append(r, p)
		case len(spares) > 0:
			begun[h.Pool()] = true
			r = append(r, release(s, p, spares[0], h.Pool()))
			spares = spares[1:]
		}
	}
	return append(r, m.sendBack(s, now)...)
}

// sendBack releases the drained hosts that are back to the spares.
func (m *moveEach) sendBack(s *fleet.State, now time.Time) []*record.Record {
	o, _ := s.Owner(fleet.PlannerKey)
	var r []*record.Record
	for pool, host := range m.owed {
		h, _ := s.Host(host)
		n, _ := s.Pool(pool)
		switch {
		case h.Pool() != pool:
			delete(m.owed, pool)
		case h.Available() && n.Available() > n.Budget():
			p := &record.Record{Term: o.Term(), AtUnixMs: now.UnixMilli()}
			r = append(r, release(s, p, host, spareOf(s)))
		}
	}
	return r
}

// release returns a record like p that releases a host.
func release(s *fleet.State, p *record.Record, host, to string) *record.Record {
	r := &record.Record{Term: p.GetTerm(), AtUnixMs: p.GetAtUnixMs(), Body: &record.Record_HostRelease{
		HostRelease: &record.HostRelease{Host: host, ToPool: to},
	}}
	r.Basis = s.Basis(r)
	return r
}

// low reports whether a pool is below its budget.
func low(s *fleet.State, pool string) bool {
	n, _ := s.Pool(pool)
	return n.Available() < n.Budget()
}

// outByPool counts the hosts of each pool that drain or are down.
func outByPool(s *fleet.State) map[string]int {
	r := map[string]int{}
	for _, h := range s.Hosts() {
		if h.Duty() == fleet.Draining || h.Duty() == fleet.Down {
			r[h.Pool()]++
		}
	}
	return r
}

// homes counts the hosts that each pool in service was declared with.
func homes(s *fleet.State) map[string]int {
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

// spareOf returns a spare pool.
func spareOf(s *fleet.State) string {
	for _, p := range s.Config().Pools() {
		if p.Spare() {
			return p.Name()
		}
	}
	return ""
}
