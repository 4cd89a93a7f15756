package fleet

import "github.com/cespare/xxhash/v2"

// _idWindow is the number of recent record ids that are kept to detect duplicates.
// Older ids can be dropped: a repeated record is rejected for its stale basis, or
// is a confirmation, which is idempotent. The window only serves to report
// duplicates as such.
const _idWindow = 4096

// idWindow holds the ids of the last records, accepted or not. The zero value is an
// empty window.
type idWindow struct {
	known map[string]struct{}
	ring  []string
	next  int // Index of the oldest id, once the ring is full.
}

func (w *idWindow) has(id []byte) bool {
	_, ok := w.known[string(id)]
	return ok
}

// push adds an id that isn't in the window, and drops the oldest id if the window
// is full. It returns the XOR of the hashes of the added and the dropped id, which
// updates the digest. An empty id isn't kept.
func (w *idWindow) push(id []byte) uint64 {
	if len(id) == 0 {
		return 0
	}
	if w.known == nil {
		w.known = make(map[string]struct{}, _idWindow)
	}
	k := string(id)
	w.known[k] = struct{}{}
	if len(w.ring) < _idWindow {
		w.ring = append(w.ring, k)
		return xxhash.Sum64(id)
	}
	old := w.ring[w.next]
	delete(w.known, old)
	w.ring[w.next] = k
	w.next = (w.next + 1) % _idWindow
	return xxhash.Sum64(id) ^ xxhash.Sum64String(old)
}

// all returns the ids, oldest first.
func (w *idWindow) all() [][]byte {
	ids := make([][]byte, 0, len(w.ring))
	for i := range w.ring {
		ids = append(ids, []byte(w.ring[(w.next+i)%len(w.ring)]))
	}
	return ids
}
