// Package platform is a stand-in for the platform: a log with offsets and
// retention, a list of hosts that lags, and leases of tasks, over HTTP in the
// dialect of docs/platform.md. It serves tests and the first run only.
//
// What goes wrong with a real platform is commanded by POST /control/faults:
// refusals, hangs, slowness, old answers, and answers lost after the action.
// Clients that put /via/NAME before a path can be given faults of their own,
// as if the network between had failed.
//
//	var s platform.Server
//	err := http.ListenAndServe("127.0.0.1:7100", &s)
package platform
