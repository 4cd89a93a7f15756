// Package slots runs the brokers of the pools that an entry owns.
//
// One duty holds the brokers and the journal of started keys, so that their
// decisions need no lock. Requests, those of peers too, ask it for a slot and
// wait for one answer; what it needs from elsewhere it asks through function
// fields and is told by messages:
//
//	d := slots.Dispatcher{Self: self, FetchHolds: peers.FetchHolds, Append: client.Append}
//	if err := d.Start(system); err != nil {
//		return err
//	}
//	op, err := d.Ask(ctx, "fitting", ask)
package slots
