// Package link carries calls from an entry to the owner of a pool.
//
// A Client keeps one TCP connection with a yamux session to each entry that it
// calls, dialled when it is first needed. All calls share one stream of
// protobuf messages, each delimited by its size; answers come in any order. A
// call without an answer in time closes the connection, as one that went silent
// stays so, and may have been carried out.
//
//	var c link.Client
//	a, err := c.Call(ctx, "10.0.0.2:7060", &link.Call{Pool: "fitting-desk"})
package link
