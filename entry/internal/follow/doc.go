// Package follow keeps an entry's copy of the fleet's state up to date. It
// applies the records of the platform's log, and records received from peers
// while the log can't be read.
//
// One goroutine reads the log with Run. Records from other sources are passed
// to Offer:
//
//	f := follow.Follower{Read: read, Publish: publish, Push: sendToPeers}
//	go f.Run(ctx)
//	f.Offer(records) // Received from a peer.
//
// The offset of the state never decreases. Records at or below it are skipped,
// and so are records after a gap: these are applied once they are read from the
// log, or once a peer's checkpoint has closed the gap.
package follow
