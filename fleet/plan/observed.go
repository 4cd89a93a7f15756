package plan

import (
	"time"

	"fescuelanding/fleet"
	"fescuelanding/fleet/platform"
)

const (
	// _flapWindow is how long a loss counts against a host.
	_flapWindow = 24 * time.Hour
	// _staleAfter is the age of the live list, in multiples of its lag, from
	// which absence from it says nothing.
	_staleAfter = 5
)

// Observed is what an entry has seen of the hosts. It holds soft facts only:
// losing it delays steps. The zero value has seen nothing. Its copies share
// their content.
type Observations struct {
	hosts map[string]*sighting
	// asOf is the platform's time of the last list, and heard when it was new.
	asOf  time.Time
	heard time.Time
	// offset is that of the state tracked last.
	offset uint64
}

// sighting is what was seen of one host.
type sighting struct {
	listed  bool
	leaving bool
	// seen tells whether a list has ever been compared with the host.
	seen bool
	// changed is when listed last turned over.
	changed time.Time
	duty    fleet.Duty
	basis   uint64
	// since is when the host's basis was first seen.
	since time.Time
	// away tells whether the host was off the list while it was down.
	away     bool
	losses   []time.Time
	inFlight int
}

// Track notes what the state says of each host, to know since when it is so.
func (o *Observations) UpdateState(s *fleet.State, now time.Time) {
	if o.offset == s.Offset() && o.offset != 0 {
		return
	}
	o.offset = s.Offset()
	hosts := s.Hosts()
	for _, h := range hosts {
		g := o.sight(h.Name())
		if g.basis == h.Basis() {
			continue
		}
		if h.Duty() == fleet.Down && g.duty != fleet.Down {
			g.away = false
		}
		g.basis, g.since, g.duty = h.Basis(), now, h.Duty()
	}
	if len(o.hosts) > len(hosts) {
		o.forget(s)
	}
}

// See takes the platform's live list in. An empty list says nothing. A list
// that isn't newer than the last one only grows old.
func (o *Observations) UpdateList(list []platform.LiveHost, now time.Time) {
	if len(list) == 0 || !list[0].AsOf().After(o.asOf) {
		return
	}
	o.asOf, o.heard = list[0].AsOf(), now
	states := make(map[string]platform.HostState, len(list))
	for _, l := range list {
		states[l.Name()] = l.State()
	}
	for n, g := range o.hosts {
		state, listed := states[n]
		g.see(listed, state == platform.HostLeaving, now)
	}
}

// Resume begins every absence and presence anew where the last new list is
// older than a gap: a host may have come and gone in between. It is called
// before See by whoever may have missed lists.
func (o *Observations) ResetAfterGap(gap time.Duration, now time.Time) {
	if now.Sub(o.heard) <= gap {
		return
	}
	for _, g := range o.hosts {
		g.changed = now
	}
}

// Load notes how many requests a host has in flight. Of hosts that are alike
// the one with the fewest goes first.
func (o *Observations) SetInFlight(host string, inFlight int) { o.sight(host).inFlight = inFlight }

// sight returns the sighting of a host, new where there was none.
func (o *Observations) sight(host string) *sighting {
	if o.hosts == nil {
		o.hosts = make(map[string]*sighting)
	}
	g, ok := o.hosts[host]
	if !ok {
		g = new(sighting)
		o.hosts[host] = g
	}
	return g
}

// forget drops hosts that the state lacks.
func (o *Observations) forget(s *fleet.State) {
	for n := range o.hosts {
		if _, ok := s.Host(n); !ok {
			delete(o.hosts, n)
		}
	}
}

// of returns the sighting of a host, or an empty one.
func (o *Observations) of(host string) sighting {
	if g, ok := o.hosts[host]; ok {
		return *g
	}
	return sighting{}
}

// stale reports whether the list is too old to say anything by absence.
func (o *Observations) stale(lag time.Duration, now time.Time) bool {
	return o.heard.IsZero() || now.Sub(o.heard) >= _staleAfter*lag
}

// see notes whether a list has the host.
func (g *sighting) see(listed, leaving bool, now time.Time) {
	if !g.seen || g.listed != listed {
		g.changed = now
	}
	if g.seen && g.listed && !listed && g.duty != fleet.Down && !g.leaving {
		g.losses = append(recent(g.losses, now), now)
	}
	if !listed && g.duty == fleet.Down {
		g.away = true
	}
	g.seen, g.listed, g.leaving = true, listed, leaving
}

// flaps returns how many losses of the host still count.
func (g *sighting) flaps(now time.Time) int { return len(recent(g.losses, now)) }

// gone returns for how long the host was off the list when the last one came;
// a list that stops doesn't make an absence longer.
func (g *sighting) gone(heard time.Time) time.Duration {
	if !g.seen || g.listed {
		return 0
	}
	return heard.Sub(g.changed)
}

// back reports whether the host has been on the list for at least d and isn't
// leaving.
func (g *sighting) back(d time.Duration, now time.Time) bool {
	return g.seen && g.listed && !g.leaving && now.Sub(g.changed) >= d
}

// recent returns the times that are within the window.
func recent(t []time.Time, now time.Time) []time.Time {
	for len(t) > 0 && now.Sub(t[0]) > _flapWindow {
		t = t[1:]
	}
	return t
}
