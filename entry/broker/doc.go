// Package broker decides which requests of one pool run, where and when.
//
// A pool has one broker at a time. Entries ask it for a slot and tell it when
// they are done with it; only the question and the grant travel. The broker
// never has more holds on a host than the host has slots: it counts what it
// granted, what entries report to it after a takeover, what a lost entry may
// still be running, and what an entry that hasn't reported yet may hold.
//
// Requests that can't be answered in time are refused at once, from run times
// that were observed, with a time to come back. Urgent classes go first; other
// classes never hold the slots that urgent work needs to start in time, and
// age, so that they finish. Within a class teams share by weight.
//
//	var b broker.Broker
//	b.SetLimits(now, limits)
//	b.SetHosts(now, hosts)
//	ops := b.Ask(now, ask)      // a Grant, a Refuse, or nothing yet
//	...
//	ops = b.Done(now, slot, broker.Result{Outcome: broker.Answered, Run: run})
//	ops = b.Tick(now)           // at b.Next() at the latest
//
// Nothing in the package reads a clock, does I/O or starts a goroutine. A
// Broker isn't safe for concurrent use.
package broker
