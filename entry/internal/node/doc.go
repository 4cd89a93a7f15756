// Package node runs an entry on the users' platform. It serves callers, owns the
// pools whose partitions the group assigns to it, and forwards calls about other
// pools to their owners. The member that holds partition 0 also plans moves and
// maintenance of hosts.
//
//	n := node.New(boot, log)
//	err := n.Run(ctx)
//
// Each component runs on goroutines of its own. Topics of the platform's store supply
// the configuration and the list of upstreams, the group assigns partitions, an owner
// schedules each pool, and calls arrive from callers through package front and from
// other entries through package link.
package node
