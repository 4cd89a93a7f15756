// Package daemon builds the parts of an entry and runs them as one process.
//
// An entry accepts callers' requests and forwards them to upstreams on the hosts
// of a fleet. Several entries run side by side. For each pool of hosts, one of
// them is the broker, which grants slots on the hosts, and another one is the
// witness, which would be the broker next. A hold is a granted slot while an
// entry may use it.
//
// A caller's request passes the caller handler, the forwarder, the broker that
// grants it a slot, and the upstream sender. The fleet's state comes from the
// platform's log. A follower applies the records and gives each new view, which
// is a read-only copy of the state, to the dispatcher of slots and to the table
// of holds. The table checks every request before it is sent.
//
// At each tick, a control loop compares the view with the connections to the
// other entries and appends the records that are due: a registration, the
// suspicion of a disconnected entry, or the confirmation of a step. A step, such
// as the drain of a host, is complete once every entry that it waits for has
// confirmed that it has no request in flight on the host.
//
//	s, err := settings.Read("entry.ini")
//	if err != nil {
//		return err
//	}
//	err = daemon.New(s, logger).Run(ctx) // Until ctx ends; then a graceful shutdown.
package daemon
