// Package caller is a stand-in for callers: it sends a bounded load to entries
// and checks every end. It serves tests, the first run and measurements only.
//
// It picks an entry as the platform's balancer would: one after the other,
// and the next one where a probe found it unready or a connection is refused. An answer has to be that of the
// request; with a judge, the upstream stand-ins' own counts must agree with
// what the entries said.
//
//	r, err := caller.Load{Entries: urls, Service: "fitting", Requests: 100, Workers: 8}.Run(ctx)
package caller
