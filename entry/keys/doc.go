// Package keys decides which idempotency keys were started, so that a
// non-idempotent request runs at most once.
//
// The platform's keys stream carries batches of keys, releases and fences.
// Every entry applies the same records in the same order to a [Journal]. The
// first valid batch with a key starts it, and only the broker process that
// wrote that batch may run the request. A new broker of a pool writes a fence
// with its term. A later batch with an older term is void for every reader. A
// release takes back a key for which nothing was run. A [Batcher] collects the
// keys to write and bounds the number of appends.
//
//	var j keys.Journal
//	starts, err := j.Apply(offset, r)
//	for _, s := range starts {
//		// If s.Verdict is Started and s.Entry and s.Incarnation identify this
//		// process, its broker may grant the request now.
//	}
//
// The package reads no clock and does no I/O.
package keys
