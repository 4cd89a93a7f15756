// Package hostplan decides which hosts move to another pool and which have their
// upkeep, and when.
//
// The load that it answers: queues ask in turns for several times their mean,
// which is more than their pool holds, and for next to nothing in between. Hosts
// follow the demand, those that nothing asks for go to a standby pool, and
// upkeep fills the troughs.
//
// A Planner has neither clock nor network. Its caller brings what it observed
// and carries out the ops:
//
//	for _, op := range p.Step(now, view) {
//		// Carry it out; the result is a later event.
//	}
//
// A host is first vacated: by Wishes its pool's owner learns to place nothing on it
// and to take its long-running tasks elsewhere, and its load says when that is so. Only then it is ordered away, as an order ends
// all that runs on it.
package hostplan
