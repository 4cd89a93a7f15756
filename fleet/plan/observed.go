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

// Observations is what an entry has seen of the hosts. It holds soft facts only:
// losing it delays steps. The zero value has seen nothing. Its copies share
// their content.
type Observations struct {
	hosts map[string]*hostObservation
	// asOf is the platform's time of the last list, and heard when it was new.
	asOf       time.Time
	receivedAt time.Time
	// offset is that of the state tracked last.
	offset uint64
}

// hostObservation is what was seen of one host.
type hostObservation struct {
	listed  bool
	leaving bool
	// compared tells whether a list has ever been compared with the host.
	compared bool
	// listedChanged is when listed last turned over.
	listedChanged time.Time
	duty          fleet.Duty
	basis         uint64
	// basisSince is when the host's basis was first seen.
	basisSince time.Time
	// offWhileDown tells whether the host was off the list while it was down.
	offWhileDown bool
	losses       []time.Time
	inFlight     int
}

// UpdateState notes what the state says of each host, to know since when it is so.
func (o *Observations) UpdateState(s *fleet.State, now time.Time) {
	if o.offset == s.Offset() && o.offset != 0 {
		return
	}
	o.offset = s.Offset()
	hosts := s.Hosts()
	for _, h := range hosts {
		g := o.observation(h.Name())
		if g.basis == h.Basis() {
			continue
		}
		if h.Duty() == fleet.Down && g.duty != fleet.Down {
			g.offWhileDown = false
		}
		g.basis, g.basisSince, g.duty = h.Basis(), now, h.Duty()
	}
	if len(o.hosts) > len(hosts) {
		o.dropRemoved(s)
	}
}

// UpdateList takes the platform's live list in. An empty list says nothing. A list
// that isn't newer than the last one only grows old.
func (o *Observations) UpdateList(list []platform.LiveHost, now time.Time) {
	if len(list) == 0 || !list[0].AsOf().After(o.asOf) {
		return
	}
	o.asOf, o.receivedAt = list[0].AsOf(), now
	states := make(map[string]platform.HostState, len(list))
	for _, l := range list {
		states[l.Name()] = l.State()
	}
	for n, g := range o.hosts {
		state, listed := states[n]
		g.update(listed, state == platform.HostLeaving, now)
	}
}

// ResetAfterGap begins every absence and presence anew where the last new list is
// older than a gap: a host may have come and gone in between. It is called
// before See by whoever may have missed lists.
func (o *Observations) ResetAfterGap(gap time.Duration, now time.Time) {
	if now.Sub(o.receivedAt) <= gap {
		return
	}
	for _, g := range o.hosts {
		g.listedChanged = now
	}
}

// SetInFlight notes how many requests a host has in flight. Of hosts that are alike
// the one with the fewest goes first.
func (o *Observations) SetInFlight(host string, inFlight int) {
	o.observation(host).inFlight = inFlight
}

// observation returns the sighting of a host, new where there was none.
func (o *Observations) observation(host string) *hostObservation {
	if o.hosts == nil {
		o.hosts = make(map[string]*hostObservation)
	}
	g, ok := o.hosts[host]
	if !ok {
		g = new(hostObservation)
		o.hosts[host] = g
	}
	return g
}

// dropRemoved drops hosts that the state lacks.
func (o *Observations) dropRemoved(s *fleet.State) {
	for n := range o.hosts {
		if _, ok := s.Host(n); !ok {
			delete(o.hosts, n)
		}
	}
}

// snapshot returns the sighting snapshot a host, or an empty one.
func (o *Observations) snapshot(host string) hostObservation {
	if g, ok := o.hosts[host]; ok {
		return *g
	}
	return hostObservation{}
}

// stale reports whether the list is too old to say anything by absence.
func (o *Observations) stale(lag time.Duration, now time.Time) bool {
	return o.receivedAt.IsZero() || now.Sub(o.receivedAt) >= _staleAfter*lag
}

// update notes whether a list has the host.
func (g *hostObservation) update(listed, leaving bool, now time.Time) {
	if !g.compared || g.listed != listed {
		g.listedChanged = now
	}
	if g.compared && g.listed && !listed && g.duty != fleet.Down && !g.leaving {
		g.losses = append(withinFlapWindow(g.losses, now), now)
	}
	if !listed && g.duty == fleet.Down {
		g.offWhileDown = true
	}
	g.compared, g.listed, g.leaving = true, listed, leaving
}

// recentLosses returns how many losses of the host still count.
func (g *hostObservation) recentLosses(now time.Time) int {
	return len(withinFlapWindow(g.losses, now))
}

// absence returns for how long the host was off the list when the last one came;
// a list that stops doesn't make an absence longer.
func (g *hostObservation) absence(heard time.Time) time.Duration {
	if !g.compared || g.listed {
		return 0
	}
	return heard.Sub(g.listedChanged)
}

// listedFor reports whether the host has been on the list for at least d and isn't
// leaving.
func (g *hostObservation) listedFor(d time.Duration, now time.Time) bool {
	return g.compared && g.listed && !g.leaving && now.Sub(g.listedChanged) >= d
}

// withinFlapWindow returns the times that are within the window.
func withinFlapWindow(t []time.Time, now time.Time) []time.Time {
	for len(t) > 0 && now.Sub(t[0]) > _flapWindow {
		t = t[1:]
	}
	return t
}
