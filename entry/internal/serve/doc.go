// Package serve forwards a caller's request to an upstream. It gets a slot from
// the pool's broker, has the request admitted by the entry's table of holds,
// sends it, classifies the result, and tries again if that is safe.
//
//	f := serve.Forwarder{Self: self, Table: table, Slots: slots, Sender: &sender}
//	end := f.Serve(ctx, request)
//
// The result of a request for its caller is a caller.End, or end for short.
//
// A request that was sent continues after its caller has disconnected or its
// deadline has passed. Its slot stays taken until the upstream has finished, and
// the answer to a keyed request is stored for a repeat.
package serve
