// Package plan decides the next steps of the hosts: which hosts are drained for
// maintenance waves, recalls and operators, which return to service, which are
// recorded as lost, and which move between pools.
//
// Plan is a pure function of the fleet's state, of an entry's observations of the
// hosts, and of the time. It returns proposed records. The guards of package fleet
// accept or reject each record when it is applied, so a faulty, paused or outdated
// planner can delay steps but can't break a budget. Every entry observes the
// hosts; only the owner of fleet.PlannerKey plans:
//
//	var o plan.Observations
//	for range ticks {
//		o.UpdateState(state, now)
//		o.UpdateList(list, now)
//		for _, r := range plan.Plan(state, o, now) {
//			// Give the record an id and append it.
//		}
//	}
//
// The live list is the platform's list of running hosts. It may lag behind the actual
// state by up to the fleet's liveListLag setting, so a host counts as lost only after
// it has been missing from the list for that long.
//
// A pool's budget is the number of hosts that voluntary steps must leave
// available. Its headroom is the number of available hosts above the budget. A
// host is out while the planner keeps it from serving for a time: for maintenance
// or repair, or to move it to another pool. The reserve consists of the hosts that
// can replace lost ones: available spares and, if a move costs less than a spare,
// the headroom of the pools.
//
// A pool that tolerates the loss of a rack or data centre has hosts out in only
// one such domain at a time, unless the reserve covers the loss of one more. Hosts
// are maintained in place while the budget allows it. Unless an operator requests a
// move, a host is moved into a pool only if the pool is below its budget or has no
// headroom at all, or if spares are left over and holding them costs more than a
// move.
//
// Explain and ExplainPool run the same decisions and report which rule holds a
// host back and what would release it. docs/planning.md discusses the rules and
// has the figures.
package plan
