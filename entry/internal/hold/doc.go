// Package hold keeps the table of the slots that an entry holds, and decides
// whether a request may be sent upstream.
//
// A request is admitted with the grant of a broker, and its hold stays in the
// table until the request ends. Two promises to other entries depend on this.
// After the entry has confirmed the step of a move or a maintenance on a host,
// for which it must have nothing in flight there, it sends nothing to that host.
// After it has reported its holds to a new broker, it uses no grant of an older
// one.
//
//	if err := t.Admit(now, pool, h); err != nil {
//		// Nothing was sent; return the grant unused.
//	}
//	defer t.Release(pool, h.Slot, outcome)
package hold
