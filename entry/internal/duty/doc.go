// Package duty runs the actors of an entry. Each of them, a duty, handles typed
// messages on a goroutine of its own, one at a time and in the order of posting,
// so that its state needs no lock. The messages wait in a bounded ring buffer.
//
// Package duty replaces the mailbox of the actor library. The library's bounded
// mailbox makes a sender spin while it is full, and the library restarts an
// actor whose handler panicked. Neither suits duties that decide on slots and
// idempotency keys. Here, posting never blocks, and the duty's Policy says what
// happens when the ring is full. A panic ends the process, since a half-made
// decision must not be acted on; another entry takes over.
//
//	s := duty.System(nil)
//	d, err := duty.Spawn(s, "broker", 1024, duty.Refuse, func(now time.Time, m Event) {
//		// Handles one message at a time.
//	})
//	if err != nil {
//		return err
//	}
//	defer d.Stop()
//	if err := d.Post(Ask{}); errors.Is(err, duty.ErrFull) {
//		// The message was not accepted.
//	}
package duty
