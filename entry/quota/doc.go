// Package quota keeps what the tasks of a workspace request together, in all pools,
// within the workspace's limit.
//
// A Giver, at the entry that plans, divides the limits among the pools. A Holder, at the
// owner of each pool, starts tasks only while the pool's runs stay within its shares.
// Neither has a clock, a network or goroutines. They exchange a Grant and a Report:
//
//	var g quota.Giver
//	g.Configure(now, workspaces, pools)
//	g.Divide()
//	grant := g.Grant("pool") // the giver sends it
//
//	h := quota.NewHolder(token)
//	h.Configure(workspaces)
//	h.Apply(now, grant)
//	if h.Allows(now, workspace, request) {
//		// Start the task and count it.
//	}
//	report := h.Report(now) // the answer to the grant
//
//	g.Reported(now, "pool", report)
//
// # Charges
//
// The giver charges each pool with the larger of what may be running there and the largest
// share that its owner may hold. The sum of the charges stays within the limit. A lower
// share counts only once the owner has confirmed it, so another pool's share rises in the
// exchange after that. If an answer is lost, the charge stays. If what runs exceeds a limit
// that was lowered, all shares are zero until enough of it has ended.
//
// # Succession
//
// A new giver knows nothing. It renews the shares that the owners report, and changes none
// until each pool has reported; until then the sum of the shares is what the former giver
// made it. The owners refuse grants of the former giver once they have one of the new.
//
// A new owner has no share. What its predecessor may have started counts as running in its
// reports until the upstreams have told what runs. A grant names the owner and the report
// that it answers: a grant for the predecessor is ignored, and so is one that was delayed
// for longer than Validity.
package quota
