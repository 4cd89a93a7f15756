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
	// _move and _upkeep are how long a host is away.
	_move   = 1500 * time.Millisecond
	_upkeep = 2 * time.Second
)

// host is what the cloud interface knows of the host of an upstream.
type host struct {
	pool  string
	state platform.MachineState
	// token is the highest that an order had.
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

// order takes a host to another pool, or down for a wave: all that runs there ends.
func (w *World) order(name, by string, token int64, pool string, wave int64) error {
	u := w.at(name)
	switch {
	case token < u.host.token:
		return refused(http.StatusConflict, platform.ReasonFence)
	case u.host.state != platform.MachineUp:
		u.host.token = token
		return refused(http.StatusConflict, platform.ReasonBusy)
	}
	u.host.token = token
	w.say("%s orders %s to %s, wave %d", by, u.name(), pool, wave)
	d, state := _move, platform.MachineMoving
	if wave > 0 {
		w.ledger.upkeep(u)
		d, state = _upkeep, platform.MachineUpkeep
	}
	w.ledger.evict(u, by)
	u.host.state, u.host.pool = state, pool
	w.life(u, d, false)
	return nil
}

// life ends the life on a host; another begins later, under the same ID or not.
func (w *World) life(u *upstream, back time.Duration, sameID bool) {
	old := u.report.ID
	delete(w.heard, old)
	u.begin(old)
	u.down = true
	w.after(back, func() {
		u.host.state = platform.MachineUp
		switch {
		case u.host.pool == _spare:
			u.report.ID = ""
		case sameID:
			u.begin(old)
		default:
			u.begin(fmt.Sprintf("%s-%d", u.machine, w.now.Milliseconds()))
		}
	})
}

// wave is one of the operator.
func (w *World) wave() platform.Wave {
	v := platform.Wave{Number: 1, TimeLimit: w.between(8*time.Second, 20*time.Second), MaxDown: 1 + w.rand.IntN(2)}
	for _, u := range w.upstreams {
		if w.rand.IntN(2) == 0 {
			v.Machines = append(v.Machines, u.machine)
		}
	}
	return v
}
