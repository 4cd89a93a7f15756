// Package platform is a stand-in for the platform. It serves a log with offsets
// and retention, a live list of hosts that can lag, and leases on tasks, over
// the HTTP API of docs/platform.md. It is meant for tests and the first run
// only.
//
// POST /control/faults injects the faults of a real platform: refused, hanging
// and slow calls, stale answers, and answers lost after the call took effect.
// A client that puts /via/NAME before a path can be given faults of its own, as
// if only its network path had failed.
//
//	var s platform.Server
//	err := http.ListenAndServe("127.0.0.1:7100", &s)
package platform
