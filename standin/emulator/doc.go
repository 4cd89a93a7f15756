// Package emulator plays the decisions of entries on an emulated platform in
// virtual time: one seed gives one history, thousands of seconds of it in one.
//
// What decides is the code of the product: entry/scheduler for a pool,
// entry/hostplan for the hosts and entry/member for who holds either. Around it
// stand in the store, upstreams with their leases and fences, the cloud interface,
// callers who retry, and entries that are killed, frozen and cut off. A World draws its load and its faults from the seed, and a ledger
// judges by what upstreams ran and callers were told:
//
//	w := emulator.New(emulator.Settings{Seed: 7})
//	for _, v := range w.Run() {
//		fmt.Println(v)
//	}
package emulator
