// Package serve brings a caller's request to its end: it asks the pool's broker
// for a slot, passes the gate, sends, judges the answer, and tries again where
// that can do no harm.
//
//	p := serve.Pipe{Self: self, Table: table, Dispatcher: dispatcher, Peers: remote, Sender: &sender}
//	end := p.Serve(ctx, request)
//
// A request that was sent goes on when its caller has gone or its deadline has
// passed: the slot is taken until the upstream is done, and a keyed request's
// answer is kept for a repeat.
package serve
