// Package follow keeps an entry's state of the fleet up with the platform's
// log, and with what peers pass on while the log can't be read.
//
// One goroutine reads; whoever hears records otherwise offers them:
//
//	f := follow.Follower{Read: read, Show: table.Show, Push: peers.Push}
//	go f.Run(ctx)
//	f.Offer(records) // From a peer.
//
// A state never goes back: records at or below its offset are passed over, and
// records beyond a gap wait for the log, or for a checkpoint of a peer.
package follow
