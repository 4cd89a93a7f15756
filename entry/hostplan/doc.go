// Package hostplan decides which hosts move to another pool, which hosts go down
// for upkeep, and when.
//
// The demand of a queue comes in peaks of several times its mean, which exceed the
// capacity of its pool; between peaks it is close to zero. The planner moves hosts
// to the pools with demand, moves unused hosts to a standby pool, and schedules
// the upkeep of waves while demand is low.
//
// A Planner has no clock and no network. Its caller passes in the hosts and the
// loads of the pools that it observed, carries out the returned operations, and
// reports their results:
//
//	for _, op := range p.Step(now, view) {
//		// Carry out op; report the result of an order with HandleOrderResult.
//	}
//
// An order to move a host or to take it down ends everything that runs on it, so
// the planner first has the host vacated. The request from LoadRequest makes the
// owner of the host's pool place nothing new on it and move long-running tasks
// elsewhere. The planner orders the host once the owner reports it vacant.
//
// An upstream runs on a host. As it may come back under the same ID after a move or
// an upkeep, the planner reports which incarnation of it has ended. The
// platform's types and the log call a host a machine.
package hostplan
