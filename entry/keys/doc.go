// Package keys decides which idempotency keys were started, so that a
// non-idempotent request runs at most once.
//
// The platform's keys stream carries batches of keys and fences. Every entry
// applies the same records in the same order to a [Journal]: the first valid
// batch with a key starts it, and only the broker process that wrote that batch
// may run the request. A batch whose term is older than the pool's last fence
// is void for every reader. A [Batcher] decides when the keys that wait are
// written, so that the number of appends stays bounded.
//
//	var j keys.Journal
//	for _, s := range j.Apply(offset, r) {
//		// s.Key was started by s.Entry; where that is this process, its
//		// broker may grant the request now.
//	}
//
// Nothing in the package reads a clock or does I/O.
package keys
