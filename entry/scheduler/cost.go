package scheduler

import (
	"time"

	"fescuelanding/platform"
)

// Costs of placing a task on an upstream. The method cost adds them to the share
// of the upstream's CPU that would stay free, a number from zero to one.
const (
	// _costOffRack is for an upstream on another rack than the task's data.
	_costOffRack = 4.0
	// _costFailedHere is for the upstream on which the task failed last.
	_costFailedHere = 6.0
	// _costFailing is for an upstream on which a run failed recently and none has
	// succeeded since.
	_costFailing = 3.0
	// _costSameStep is for each long-running run of the same step on the upstream.
	_costSameStep = 1.5
	// _costFirstLongRunning is for the first long-running task on an upstream.
	_costFirstLongRunning = 0.8
	// _costRack is for each long-running run of the same step on the rack.
	_costRack = 0.3
	// _costWaveDue makes long-running tasks avoid hosts from which they would
	// soon have to move, even at the price of sharing a host with another task of
	// their step.
	_costWaveDue = 2.0
	// _costStrained keeps best-effort tasks off hosts whose tasks are near their
	// target latency. It applies from a share of _speedUpBelow of the target, at
	// which best-effort tasks on the host are no longer sped up.
	_costStrained = 2.0
	// _failingFor is how long a failure raises the cost of an upstream.
	_failingFor = 2 * time.Second
)

// cost returns the cost of placing a task on an upstream; the lowest is best.
// Tasks that end go to the fullest upstream with room, which leaves room for
// large tasks elsewhere. Long-running tasks are packed onto few upstreams, because
// an upstream that runs one can't leave the pool. But long-running tasks of one
// step are spread over upstreams and racks.
func (p *pass) cost(t *task, h *host) float64 {
	st := t.step
	c := freeShare(t, h, h.free())
	if st.def.GetLongRunning() {
		if h.longRunning() == 0 {
			c += _costFirstLongRunning
		}
		if h.waveDue {
			c += _costWaveDue
		}
		c += _costSameStep*float64(h.countStep(st)) + _costRack*float64(p.countOnRack(st, h.rack))
	}
	if st.def.GetFills() && h.latencyRatio() >= _speedUpBelow {
		c += _costStrained
	}
	if st.def.GetAffinity() != "" && h.rack != st.def.GetAffinity() {
		c += _costOffRack
	}
	if t.avoid == h.up.ID {
		c += _costFailedHere
	}
	if p.now.Sub(h.health.lastFailure) < _failingFor {
		c += _costFailing * float64(min(1, h.health.streak))
	}
	return c
}

// freeShare returns the share of an upstream's CPU that stays free beside a task, given its free capacity.
func freeShare(t *task, h *host, f platform.Capacity) float64 {
	return float64(f.MilliCPU-t.step.def.GetMilliCpu()) / float64(max(1, h.up.Capacity.MilliCPU))
}

// countOnRack returns the number of runs of a step on a rack.
func (p *pass) countOnRack(st *step, rack string) int {
	n := 0
	for _, h := range p.hosts {
		if h.rack == rack {
			n += h.countStep(st)
		}
	}
	return n
}
