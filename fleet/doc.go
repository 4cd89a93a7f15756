// Package fleet is the replicated state machine of the fleet. It holds the pool
// and the duty of each host, the registered entries, the owners of planning and
// of the pools, the open recalls and waves, and the operators' configuration and
// intents. The duty of a host is serving, draining, down or failed. An entry is a
// daemon that stands between callers and the hosts. The owner of planning, the
// planner, is the only entry whose steps are accepted. A step is a record that
// drains a host, takes it down, returns it to duty, reports its loss, or moves it to
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
// alone enforces the guards:
//
//   - A host is in one pool at a time.
//   - A voluntary step leaves the pool's budget available.
//   - A host goes down or changes its pool only when no entry has a request in
//     flight on it. Each entry that was registered at the drain or release must
//     confirm this, unless its process has since been unregistered or replaced.
//
// The basis of an object is the offset of the last accepted record that changed it.
// A record carries the basis that its writer had read, and is rejected as stale if
// the object has changed since. A host has one basis for steps and another for
// intents. Confirmations and checkpoints carry none.
//
// A checkpoint is a copy of the state in chunks, which are appended to the same
// log. Restore builds a State from them, and digests detect replicas that differ.
package fleet
