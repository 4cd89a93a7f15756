// Package access decides which workspace a call belongs to, and whether it may be made at all.
//
// A Table holds the keys of one configuration:
//
//	t := access.NewTable(c)
//
// A Guard adds what is known about the age of that configuration. Where a withdrawn key has to
// stop working within a bound on all entries, a configuration may be used only for so long
// after the store confirmed that it was the newest:
//
//	g := access.Guard{Table: t, ConfirmedAt: at, Bound: 5 * time.Second}
//	switch d := g.Decide(now, queue, key, given); d.Verdict {
//	case access.Admitted:
//		// The call belongs to d.Workspace.
//	}
//
// Keys are known by their hashes only.
package access
