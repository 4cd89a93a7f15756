package plan

import (
	"time"

	"fescuelanding/fleet"
	"fescuelanding/fleet/platform"
)

const (
	// _flapWindow is how long a loss counts against a host.
	_flapWindow = 24 * time.Hour
	// _staleLagFactor is the age of the live list, in multiples of its lag, from which
	// the absence of a host from it is no evidence of a loss.
	_staleLagFactor = 5
)

// Observations is what an entry has observed of the hosts. It is soft state: losing
// it delays steps and has no other effect. The zero value has no observations.
// Copies share their content.
type Observations struct {
	hosts map[string]*hostObservation
	// asOf is the platform's time of the latest list, and receivedAt the entry's
	// time when it arrived.
	asOf       time.Time
	receivedAt time.Time
	// offset is the log offset of the latest state. UpdateState skips a state that has
	// not advanced.
	offset uint64
}

// hostObservation is what was observed of one host.
type hostObservation struct {
	listed  bool
	leaving bool
	// listKnown is true once UpdateList has set listed and leaving from a live list.
	listKnown bool
	// listedChanged is when listed last changed.
	listedChanged time.Time
	duty          fleet.Duty
	// basis is the log offset of the last accepted record about the host, and
	// basisSince is when it was first observed.
	basis      uint64
	basisSince time.Time
	// unlistedWhileDown is true if the host was off the list at some time since it was
	// last taken down, which shows that its reboot or repair took place.
	unlistedWhileDown bool
	losses            []time.Time
	inFlight          int
}

// UpdateState records the duty of each host and when the last record about the host
// was first observed.
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
			g.unlistedWhileDown = false
		}
		g.basis, g.basisSince, g.duty = h.Basis(), now, h.Duty()
	}
	if len(o.hosts) > len(hosts) {
		o.dropRemoved(s)
	}
}

// UpdateList records which hosts are on the platform's live list. It ignores an empty
// list, which is no evidence of losses, and a list that isn't newer than the latest
// one: the latest list then ages until it is stale.
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

// ResetAfterGap restarts the time for which each host has been on or off the list if
// the latest list arrived longer than gap ago. In between, a host may have left the list
// and returned, or the reverse. A caller that may have missed lists calls it before
// UpdateList.
func (o *Observations) ResetAfterGap(gap time.Duration, now time.Time) {
	if now.Sub(o.receivedAt) <= gap {
		return
	}
	for _, g := range o.hosts {
		g.listedChanged = now
	}
}

// SetInFlight sets how many requests a host has in flight. Among otherwise equal
// hosts, the one with the fewest requests is drained first.
func (o *Observations) SetInFlight(host string, inFlight int) {
	o.observation(host).inFlight = inFlight
}

// observation returns the observation of a host and creates it if needed.
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

// dropRemoved deletes the observations of hosts that are no longer in the state.
func (o *Observations) dropRemoved(s *fleet.State) {
	for n := range o.hosts {
		if _, ok := s.Host(n); !ok {
			delete(o.hosts, n)
		}
	}
}

// snapshot returns a copy of the observation of a host, or the zero value.
func (o *Observations) snapshot(host string) hostObservation {
	if g, ok := o.hosts[host]; ok {
		return *g
	}
	return hostObservation{}
}

// stale reports whether the list is too old for an absence to count as a loss.
func (o *Observations) stale(lag time.Duration, now time.Time) bool {
	return o.receivedAt.IsZero() || now.Sub(o.receivedAt) >= _staleLagFactor*lag
}

// update records whether a new list contains the host, and whether the list gives the
// host's state as leaving. A host that goes off the list counts as lost unless it is down
// or the previous list had it as leaving.
func (g *hostObservation) update(listed, leaving bool, now time.Time) {
	if !g.listKnown || g.listed != listed {
		g.listedChanged = now
	}
	if g.listKnown && g.listed && !listed && g.duty != fleet.Down && !g.leaving {
		g.losses = append(withinFlapWindow(g.losses, now), now)
	}
	if !listed && g.duty == fleet.Down {
		g.unlistedWhileDown = true
	}
	g.listKnown, g.listed, g.leaving = true, listed, leaving
}

// recentLosses returns the number of the host's losses within _flapWindow.
func (g *hostObservation) recentLosses(now time.Time) int {
	return len(withinFlapWindow(g.losses, now))
}

// absence returns how long the host had been off the list when the latest list
// arrived. The time since then doesn't count, so that a host isn't recorded as lost
// only because no new list arrives.
func (g *hostObservation) absence(receivedAt time.Time) time.Duration {
	if !g.listKnown || g.listed {
		return 0
	}
	return receivedAt.Sub(g.listedChanged)
}

// listedFor reports whether the host has been on the list for at least d and isn't
// leaving. If d is 0, it reports whether the host is on the list now and isn't leaving.
func (g *hostObservation) listedFor(d time.Duration, now time.Time) bool {
	return g.listKnown && g.listed && !g.leaving && now.Sub(g.listedChanged) >= d
}

// withinFlapWindow returns the times within _flapWindow; t is in ascending order.
func withinFlapWindow(t []time.Time, now time.Time) []time.Time {
	for len(t) > 0 && now.Sub(t[0]) > _flapWindow {
		t = t[1:]
	}
	return t
}
