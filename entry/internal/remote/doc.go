// Package remote connects the slots and holds of one entry with those of its
// peers. Client calls the broker or the table of holds of another entry; Server
// answers such calls from this entry's own. Both convert between the broker's
// types and the messages of package peer. Client and Server also pass on records
// and checkpoints of the fleet stream, so that an entry can catch up from a
// peer.
//
//	c := remote.Client{Self: self, Peers: set}
//	op, err := c.Ask(ctx, "entry2", "fitting", ask)
//
//	s := remote.Server{Dispatcher: &dispatcher, Table: table, Follower: &follower}
//	set.Handle = s.Handle
package remote
