// Package emulator runs the decisions of entries on an emulated platform in virtual
// time. One seed gives one history, and a second of real time plays thousands of
// seconds of it.
//
// The decisions are made by the product's own code: entry/scheduler for a pool,
// entry/hostplan for the hosts, and entry/member for the ownership of both. The
// package emulates everything around it: the store, upstreams with their leases and
// fencing tokens, the cloud interface, callers that retry, and entries that are
// killed, frozen or cut off, alone or with one side of the network. A World draws its load
// and its faults from the seed. A ledger then checks the history, only by the tasks that
// upstreams ran and the answers that callers received:
//
//	w := emulator.New(emulator.Settings{Seed: 7})
//	for _, v := range w.Run() {
//		fmt.Println(v)
//	}
package emulator
