// Package hold keeps the table of the slots that an entry holds, and decides
// whether a request may be sent upstream.
//
// A request is admitted with the grant of a broker, and its hold stays in the
// table until the request ends:
//
//	if err := t.Admit(now, pool, h); err != nil {
//		// Nothing was sent; return the grant unused.
//	}
//	defer t.Release(pool, h.Slot, outcome)
//
// The table also contains copies of holds of other entries. The owner of a pool
// stores the holds of its own requests at a second entry, the pool's witness, so
// that the next broker gets them even if the owner's process has ended.
//
// An attempt is lost if it was sent and its result is not known. Its hold is
// reported until it expires.
//
// Other entries rely on two guarantees. The steps of a move or a maintenance
// require that no entry has a request in flight on the host: after an entry has
// confirmed a step, it sends nothing to that host. After an entry has reported
// its holds to a new broker, it uses no grant of an older broker.
package hold
