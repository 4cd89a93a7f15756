// Package planner runs the planning of the fleet on the entry that owns it, and
// observes the hosts on every entry, so that the next planner knows them.
//
// The decisions are those of package plan; this one gives them the present
// time, the platform's list and the state, and appends what they propose:
//
//	p := planner.Planner{Owner: owner, State: follower.With, Live: client.Live, Append: append}
//	if err := p.Start(system); err != nil {
//		return err
//	}
//
// Whatever it appends is judged by the guards where records are applied, so
// that a planner that was paused, or that is not the owner any more, breaks
// nothing. The owner also writes the checkpoints that let the log forget.
package planner
