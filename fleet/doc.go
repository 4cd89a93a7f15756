// Package fleet keeps what is agreed about the fleet: which pool each host is
// in, its duty, the entries, and the operators' configuration and intents.
//
// A State is built from the records of the platform's log, one after the other:
//
//	var s fleet.State
//	for _, r := range batch {
//		if err := s.Apply(r.Offset, r.Record); err != nil {
//			// A typed rejection, the same on every entry.
//		}
//	}
//
// Apply has no clock, no randomness and no I/O, so that entries that applied
// the same records hold the same state without any agreement of their own. The
// guards that keep the promises sit there and nowhere else.
package fleet
