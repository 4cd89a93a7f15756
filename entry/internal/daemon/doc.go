// Package daemon builds the parts of an entry and runs them as one process.
//
// An entry accepts callers' requests and forwards them to upstreams on the hosts
// of a fleet. Each host has a number of slots, and each request in flight takes
// one. A hold is the right of an entry to use a slot that was granted to it.
//
// Several entries run side by side. For each pool of hosts, one entry is the
// broker, which grants the slots. Another entry is the witness, which keeps a copy
// of the broker's own holds and becomes the broker if the broker fails. One entry
// is the planner, which plans the moves and the maintenance of hosts.
//
// A caller's request passes the caller handler, the forwarder, the broker that
// grants it a slot, and the upstream sender. The table of holds checks every
// request before it is sent. The dispatcher runs the brokers of the pools that this
// entry owns.
//
// The fleet's state comes from the platform's log. A follower applies the records
// of the log to the state. After each batch it passes a view, a read-only copy of
// the state, to the dispatcher and to the table of holds. The head of the log is
// its newest record. A view stays fresh for a configured time, the staleness bound,
// after the log was last read to its head. A peer's read of the log, or an outage
// of the log, can extend this time. While its view isn't fresh, an entry sends no
// requests and doesn't plan.
//
// At each tick, a control loop compares the view with the connections to the
// other entries and appends the records that are due: a registration, the
// suspicion of a disconnected entry, or the confirmation of a step. A step, such
// as the drain of a host, is complete once every entry that it waits for has
// confirmed that it has no request in flight on the host.
//
// A suspected entry loses its pools and the planning, but stays registered. It is
// unregistered once it is also missing from the platform's live list, the list of
// running hosts and entries.
//
//	s, err := settings.Read("entry.ini")
//	if err != nil {
//		return err
//	}
//	err = daemon.New(s, logger).Run(ctx) // Until ctx ends; then a graceful shutdown.
package daemon
