package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"fescuelanding/platform"
)

const (
	_cloud = "cloud"
	_spare = "spare"
	// _moveTime and _upkeepTime are how long a host is down for a move and for upkeep.
	_moveTime   = 1500 * time.Millisecond
	_upkeepTime = 2 * time.Second
)

// host is the state of an upstream's host in the cloud interface.
type host struct {
	pool  string
	state platform.MachineState
	// token is the highest fencing token of all orders for the host so far.
	token int64
}

// hostIn returns a host that is up in a pool.
func hostIn(pool string) host { return host{pool: pool, state: platform.MachineUp} }

// hostList is the list of all hosts from a time until the next change.
type hostList struct {
	at    time.Duration
	hosts []platform.Machine
}

// hostLists answers the calls for the list of hosts in a history in which it lags. rand is
// nil if it doesn't.
type hostLists struct {
	rand *rand.Rand
	// lists are the lists of the last _maxListLag, the oldest first.
	lists []hostList
}

const (
	// _laggingLists means that the list lags in one history in so many.
	_laggingLists = 3
	// _maxListLag bounds the lag.
	_maxListLag = time.Second
	// _lostLists means that one call in so many for such a list has no answer.
	_lostLists = 8
	// _maxRebalances and _rebalancePeriod bound the number of additional rebalances in such
	// a history and the time in which they occur. Most upkeeps are ordered in that time.
	_maxRebalances   = 6
	_rebalancePeriod = 8 * time.Second
)

// planListLag draws, in some histories, that the list of hosts lags and is lost at times,
// and that the host planner often changes meanwhile.
func (w *World) planListLag() {
	r := rand.New(rand.NewPCG(w.settings.Seed, 2))
	if r.IntN(_laggingLists) != 0 {
		return
	}
	w.hostLists.rand = r
	w.recordHosts()
	for range r.IntN(_maxRebalances + 1) {
		w.after(time.Duration(r.Int64N(int64(_rebalancePeriod))), w.rebalance)
	}
}

// listArrives draws whether the answer to a call for the list of hosts arrives.
func (w *World) listArrives() bool {
	r := w.hostLists.rand
	return r == nil || r.IntN(_lostLists) > 0
}

// recordHosts records the list of hosts after a change, if the list lags.
func (w *World) recordHosts() {
	h := &w.hostLists
	if h.rand == nil {
		return
	}
	h.lists = append(h.lists, hostList{w.now, w.listHosts()})
	for len(h.lists) > 1 && h.lists[1].at <= w.now-_maxListLag {
		h.lists = h.lists[1:]
	}
}

// machines returns the list of all hosts. If the list lags, it is one of the last
// _maxListLag.
func (w *World) machines() []platform.Machine {
	r := w.hostLists.rand
	if r == nil {
		return w.listHosts()
	}
	at := w.now - time.Duration(r.Int64N(int64(_maxListLag)))
	l := w.hostLists.lists
	for len(l) > 1 && l[len(l)-1].at > at {
		l = l[:len(l)-1]
	}
	return l[len(l)-1].hosts
}

// listHosts lists all hosts as they are now.
func (w *World) listHosts() []platform.Machine {
	var l []platform.Machine
	for _, u := range w.upstreams {
		m := platform.Machine{
			Name: u.machine, Pool: u.host.pool, State: u.host.state, Labels: u.report.Labels, Capacity: u.report.Capacity,
		}
		if u.host.state == platform.MachineUp {
			m.Upstream = u.report.ID
		}
		l = append(l, m)
	}
	return l
}

// order moves a host to another pool, or takes it down for upkeep if wave is positive.
// All runs on the host end.
func (w *World) order(name, by string, token int64, pool string, wave int64) error {
	u := w.at(name)
	switch {
	case token < u.host.token:
		return refusal(http.StatusConflict, platform.ReasonFence)
	case u.host.state != platform.MachineUp:
		u.host.token = token
		return refusal(http.StatusConflict, platform.ReasonBusy)
	}
	u.host.token = token
	w.tracef("%s orders %s to pool %s, wave %d", by, u.name(), pool, wave)
	d, state := _moveTime, platform.MachineMoving
	if wave > 0 {
		w.ledger.checkUpkeep(u)
		d, state = _upkeepTime, platform.MachineUpkeep
	}
	if wave == 0 {
		w.moves++
	}
	w.ledger.recordEviction(u, by)
	u.host.state, u.host.pool = state, pool
	w.restartUpstream(u, d, false)
	return nil
}

// restartUpstream ends the incarnation of an upstream. The next one begins after the
// downtime, under the same ID or a new one.
func (w *World) restartUpstream(u *upstream, downtime time.Duration, sameID bool) {
	old := u.report.ID
	if !w.restarts.keepsReport(u) {
		delete(w.listing, old)
	}
	u.beginIncarnation(old)
	u.down = true
	w.recordHosts()
	w.after(downtime, func() {
		u.host.state, u.report.Pool = platform.MachineUp, u.host.pool
		switch {
		case u.host.pool == _spare:
			u.report.ID = ""
		case sameID:
			u.beginIncarnation(old)
		default:
			u.beginIncarnation(fmt.Sprintf("%s-%d", u.machine, w.now.Milliseconds()))
		}
		w.recordHosts()
	})
}

// wave draws an operator's wave of upkeep.
func (w *World) wave() platform.Wave {
	v := platform.Wave{Number: 1, TimeLimit: w.between(8*time.Second, 20*time.Second), MaxDown: 1 + w.rand.IntN(2)}
	for _, u := range w.upstreams {
		if w.rand.IntN(2) == 0 {
			v.Machines = append(v.Machines, u.machine)
		}
	}
	return v
}
