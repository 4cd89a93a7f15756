// Package peer connects the entries with one another.
//
// Each pair of entries shares one TCP connection with a yamux session of two
// streams: a control lane for heartbeats and short messages, and a bulk lane
// for records and checkpoints, which are cut into chunks so that control never
// waits for them. Messages are protobuf envelopes, delimited by their size and
// bounded by it.
//
// Both sides of a pair dial. Where two connections meet, the one dialled by the
// entry whose name sorts first is kept. A connection that fails for any reason
// is closed as a whole and dialled again with backoff and jitter; a call that
// was under way then ends with ErrDisconnected and may have taken effect.
//
// A peer that is not heard from for a while is dropped. The silence is counted
// in time that this process itself ran, so that one which was paused listens
// before it judges.
//
//	s := peer.New(peer.Identity{Entry: "entry1", Incarnation: 7, DataCentre: "muscat1"})
//	s.Handle = func(now time.Time, in peer.Inbound) {
//		// Post it to a duty, which calls in.Reply later.
//	}
//	s.Beat = func(now time.Time) *peer.Heartbeat {
//		return &peer.Heartbeat{AppliedOffset: 42, Ready: true}
//	}
//	go s.Serve(ctx, listener)
//	s.SetPeers([]peer.Peer{{Entry: "entry2", Address: "10.0.0.2:7070"}})
//	m, err := s.Call(ctx, "entry2", &peer.Ask{RequestId: 1, Pool: "fitting"})
package peer
