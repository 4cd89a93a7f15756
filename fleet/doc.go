// Package fleet is the replicated state machine of the fleet. It holds the pool
// and the duty of each host, the registered entries, the owners of planning and
// of the pools, the open recalls and waves, and the operators' configuration and
// intents. An entry is a daemon that stands between callers and the hosts. The
// owner of planning, the planner, is the only entry whose steps are accepted. A step
// is a record that takes a host out of duty, returns it to duty, or moves it to
// another pool.
//
// A State is built by applying the records of the platform's log in order:
//
//	var s fleet.State
//	for _, r := range batch {
//		if err := s.Apply(r.Offset, r.Record); err != nil {
//			// A typed rejection, the same on every entry.
//		}
//	}
//
// Apply uses no clock, no randomness and no I/O. Entries that have applied the
// same records therefore hold the same state without further coordination. Apply
// alone enforces the guards: a host is in one pool at a time, a voluntary step
// leaves the pool's budget available, and a host goes down or changes its pool only
// after every entry that was registered when the step began has confirmed that it
// has no request in flight on the host, or has been unregistered or replaced.
//
// A checkpoint is a copy of the state in chunks, which are appended to the same
// log. Restore builds a State from them, and digests detect replicas that differ.
package fleet
