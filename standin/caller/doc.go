// Package caller is a stand-in for callers. It sends a bounded load to entries
// and checks the outcome of every request. It is meant for tests, the first run
// and measurements only.
//
// It picks entries round-robin, as the platform's load balancer does, and skips
// an entry that its last probe found not ready or that refuses the connection.
// Each answer must belong to its request. If Load.UpstreamControls has the
// control URLs of upstream stand-ins, the outcomes that the entries reported
// must also agree with the runs that these upstreams counted.
//
//	r, err := caller.Load{Entries: urls, Service: "fitting", Requests: 100, Workers: 8}.Run(ctx)
package caller
