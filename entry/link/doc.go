// Package link carries calls from an entry to the owner of a pool.
//
// A Client keeps one TCP connection with a yamux session to each entry that it
// calls, and dials it on the first call. All calls on a connection share one stream
// of protobuf messages, each prefixed by its size. Answers may come in any order.
//
// A call without an answer fails with ErrNoAnswer and may have been carried out. If
// calls on its connection have been unanswered for 900 ms, the connection is closed,
// since it would not recover. The next call dials again.
//
//	var c link.Client
//	a, err := c.Call(ctx, "10.0.0.2:7060", &link.Call{Pool: "fitting-desk"})
//
// A Server calls its Handle function for each call that it receives.
package link
