// Package slots runs the brokers of the pools that an entry owns.
//
// The brokers and the journal of started keys belong to one actor, so that
// their decisions need no lock. Requests of this entry and of its peers ask the
// actor for a slot and wait for one answer. Calls that take time, such as
// fetching holds or appending to the keys stream, are made through function
// fields on other goroutines, and their results come back as messages.
//
// A hold is a slot that an entry uses for a request. A broker records the holds
// of its own entry at a second entry, the pool's witness. If the broker's process
// ends, the next broker gets them from there.
//
// A request with an idempotency key is granted only after the key has been
// written to the keys stream and read back. A term is the time for which one
// entry runs a pool's broker. Its number is a log offset, so that a later term has
// a larger number. After a takeover, a broker first writes a fence, which makes
// later batches of keys from older terms void. A key whose request did not run is
// released with another record, so that a repeat may run. Package keys defines
// these records.
//
//	d := slots.Dispatcher{Self: self, FetchHolds: fetchHolds, Append: appendKeys}
//	if err := d.Start(system); err != nil {
//		return err
//	}
//	op, err := d.Ask(ctx, "fitting", ask)
package slots
