package hostplan

import (
	"cmp"
	"slices"
	"time"

	"fescuelanding/platform"
)

// candidate is a host that may be moved or taken down.
type candidate struct {
	machine     platform.Machine
	pool        *poolState
	runs        int
	longRunning int
}

// candidates returns the hosts accepted by keep that are up and have neither a task
// nor a pending order of a previous planner, in order of increasing cost: hosts of
// standby pools, then those with the fewest long-running runs, then those with the
// fewest runs.
func (p *Planner) candidates(now time.Time, keep func(platform.Machine) bool) []candidate {
	var l []candidate
	for _, m := range p.view.Machines {
		ps := p.pools[m.Pool]
		if ps == nil || p.tasks[m.Name] != nil || m.State != platform.MachineUp || !keep(m) ||
			p.priorOrderPending(now, m.Name) {
			continue
		}
		runs, longRunning := ps.runs(m.Upstream)
		l = append(l, candidate{m, ps, runs, longRunning})
	}
	slices.SortStableFunc(l, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(rank(!a.pool.standby), rank(!b.pool.standby)),
			cmp.Compare(a.longRunning, b.longRunning), cmp.Compare(a.runs, b.runs),
			cmp.Compare(a.machine.Name, b.machine.Name),
		)
	})
	return l
}

// rank returns a sort key that places elements with last set after the others.
func rank(last bool) int {
	if last {
		return 1
	}
	return 0
}
