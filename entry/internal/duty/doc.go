// Package duty runs one duty of the daemon as an actor on a goroutine of its
// own, fed by a bounded ring of typed messages.
//
// The library's bounded mailbox makes a sender spin while the ring is full and
// restarts an actor whose handler panicked. Neither suits a daemon whose
// duties decide on slots and keys, so this package brings a mailbox of its own
// through the library's seam: posting never waits, a full ring is settled by
// the duty's Policy, and a panic ends the process, since a half-made decision
// must not be acted on and another entry takes over.
//
//	s := duty.System(nil)
//	d, err := duty.Spawn(s, "broker", 1024, duty.Refuse, func(now time.Time, m Event) {
//		// Runs alone, in the order of posting.
//	})
//	if err != nil {
//		return err
//	}
//	defer d.Stop()
//	if err := d.Post(Ask{}); errors.Is(err, duty.ErrFull) {
//		// Nothing was taken on.
//	}
package duty
