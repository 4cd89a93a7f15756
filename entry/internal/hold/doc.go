// Package hold is an entry's table of the slots it holds, and the gate before
// every request that goes upstream.
//
// A request passes the gate with the grant of a broker, and is counted until it
// leaves. What the entry told others stays true in between: once it has
// confirmed a step it sends nothing to that host, and once it has reported its
// holds to a new broker it uses no grant of an older one.
//
//	if err := t.Enter(now, h); err != nil {
//		// The grant goes back unused; nothing was sent.
//	}
//	defer t.Leave(h.Slot)
package hold
