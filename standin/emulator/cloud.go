package emulator

import (
	"fmt"
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

// machines lists all hosts.
func (w *World) machines() []platform.Machine {
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
	delete(w.listing, old)
	u.beginIncarnation(old)
	u.down = true
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
