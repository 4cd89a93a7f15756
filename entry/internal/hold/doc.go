// Package hold keeps the table of the slots that an entry holds, and decides
// whether a request may be sent upstream.
//
// A request is admitted with the grant of a broker, and its hold stays in the
// table until the request ends. Two promises to other entries depend on the
// table. After the entry has confirmed that a host is out of service, it sends
// nothing to that host. After it has reported its holds to a new broker, it
// uses no grant of an older one.
//
//	if err := t.Admit(now, pool, h); err != nil {
//		// Nothing was sent; return the grant unused.
//	}
//	defer t.Release(pool, h.Slot, outcome)
package hold
