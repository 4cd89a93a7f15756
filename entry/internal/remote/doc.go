// Package remote asks other entries for slots and answers them: it turns the
// decisions of brokers into messages between entries and back.
//
//	c := remote.Client{Peers: set}
//	op, err := c.Ask(ctx, "entry2", "fitting", ask)
//
//	s := remote.Server{Self: self, Dispatcher: &dispatcher, Table: table, Follower: &follower}
//	set.Handle = s.Handle
package remote
