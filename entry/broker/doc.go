// Package broker decides which requests of one pool run, on which host and when.
//
// A pool has one broker at a time. Entries request a slot for each attempt and
// report its end; the requests themselves don't pass through the broker. A hold
// is a slot that is reserved for an attempt or in use by it. The broker never has
// more holds on a host than the host has slots. It counts the slots that it granted and those that entries
// report to it after a takeover. It also counts the slots that lost entries may
// still use, and those that entries without a report may hold.
//
// If a request that isn't idempotent has an idempotency key, the broker grants it
// only after the start of the key is in the key journal, so that it runs at most
// once (see package keys).
//
// From observed run times the broker estimates the wait of each request. It
// refuses at once a request that can't start in time, with a time to retry.
// Urgent classes are granted first. Relaxed classes never hold the slots that
// urgent requests need to start in time, but requests that have aged get a
// minimum share of the pool, so that they finish. Within a class, teams share
// the slots by weight.
//
//	var b broker.Broker
//	b.SetLimits(now, limits)
//	b.SetHosts(now, hosts)
//	ops := b.Ask(now, ask)      // a Grant, a Refuse, or nothing yet
//	...
//	ops = b.Done(now, slot, broker.Result{Outcome: broker.Answered, Run: run})
//	ops = b.Tick(now)           // at b.Next() at the latest
//
// The caller carries out the returned operations. The package reads no clock,
// does no I/O and starts no goroutines. A Broker isn't safe for concurrent use.
package broker
