// Package daemon wires the duties of an entry together and runs them.
//
//	d, err := daemon.New(settings, logger)
//	if err != nil {
//		return err
//	}
//	err = d.Run(ctx) // Until ctx ends; then a graceful shutdown.
//
// Requests flow one way: caller's handler, pipe, broker, upstream. What the
// entry knows flows the other: follower, view, dispatcher and gate. A control
// duty compares the two at each tick and appends what it finds due to the log.
package daemon
