// Package plan decides what is to happen to the fleet next: which hosts are
// taken out for maintenance waves, recalls and operators, which come back,
// which are counted as lost, and which change pools.
//
// Plan is a pure function of the state, of what was observed, and of the time.
// It proposes records; the guards of package fleet judge them, so that a
// planner that is wrong, paused or out of date costs time and never a promise.
// Every entry observes, and the owner of fleet.PlannerKey plans:
//
//	var o plan.Observed
//	for range ticks {
//		o.Track(state, now)
//		o.See(list, now)
//		for _, r := range plan.Plan(state, o, now) {
//			// Give the record an id and append it.
//		}
//	}
//
// A pool's budget is the number of hosts that voluntary steps leave available.
// A pool that tolerates the loss of a rack or data centre also has hosts of one
// such domain out at a time, unless what is in reserve makes good the loss of a
// further one. Work is done in place where the budget has room; a host is moved
// into a pool only where the pool is below its budget or has no room at all.
//
// Explain and ExplainPool run the same decisions and tell which rule holds a
// host back and what would free it. docs/planning.md weighs the rules and has
// the figures.
package plan
