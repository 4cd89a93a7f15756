// Package daemon builds the parts of an entry and runs them as one process.
//
// A caller's request passes the caller handler, the forwarder, the broker that
// grants it a slot on a host, and the upstream sender. The fleet's state comes
// from the platform's log: a follower applies the records and gives each new
// view to the dispatcher of slots and to the table of holds, which checks every
// request before it is sent. At each tick a control loop compares the view with
// the connections to the other entries, and appends the records that are due,
// such as a registration, a suspicion or a confirmation.
//
//	s, err := settings.Read("entry.ini")
//	if err != nil {
//		return err
//	}
//	err = daemon.New(s, logger).Run(ctx) // Until ctx ends; then a graceful shutdown.
package daemon
