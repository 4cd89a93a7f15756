// Package peer connects the entries with one another and carries their
// messages.
//
// Each pair of entries shares one TCP connection with a yamux session of two
// streams: a control lane for heartbeats and short messages, and a bulk lane
// for records and checkpoints. Bulk data is written in chunks, so that a
// control message waits for one chunk at most. Messages are protobuf envelopes
// with a length prefix; each lane has a maximum frame size.
//
// Both sides of a pair dial. If this yields two connections, both sides keep
// the one dialled by the entry whose name sorts first. A connection that fails
// for any reason is closed as a whole and dialled again with backoff and
// jitter. A call that was pending then ends with ErrDisconnected and may have
// taken effect.
//
// The connection to a peer is closed when nothing arrives on its control lane
// for the silence timeout. Only time during which this process was running
// counts as silence. A process that was paused thus doesn't drop its peers as
// soon as it resumes.
//
//	s := peer.New(peer.Identity{Entry: "entry1", Incarnation: 7, DataCentre: "muscat1"})
//	s.Handle = func(now time.Time, in peer.Inbound) {
//		// Queue the message for a goroutine that calls in.Reply later.
//	}
//	s.NextHeartbeat = func(now time.Time) *peer.Heartbeat {
//		return &peer.Heartbeat{AppliedOffset: 42, Ready: true}
//	}
//	go s.Serve(ctx, listener)
//	s.SetPeers([]peer.Peer{{Entry: "entry2", Address: "10.0.0.2:7070"}})
//	m, err := s.Call(ctx, "entry2", &peer.Ask{RequestId: 1, Pool: "fitting"})
package peer
