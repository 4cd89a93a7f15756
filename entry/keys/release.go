package keys

import "fmt"

// _maxRecent bounds the number of starts that can still be released.
const _maxRecent = 1 << 16

// recentStarts maps the fingerprints of the latest starts to their offsets.
// The zero value is empty.
type recentStarts struct {
	offsets map[uint64]uint64
	order   []uint64
}

func (r *recentStarts) add(k Key, offset uint64) {
	if r.offsets == nil {
		r.offsets = make(map[uint64]uint64)
	}
	f := k.fingerprint()
	r.offsets[f] = offset
	r.order = append(r.order, f)
	if len(r.order) > _maxRecent {
		delete(r.offsets, r.order[0])
		r.order = r.order[1:]
	}
}

// remove removes the key's latest start if it has that offset, and reports
// whether it did.
func (r *recentStarts) remove(k Key, offset uint64) bool {
	f := k.fingerprint()
	if o, ok := r.offsets[f]; !ok || o != offset {
		return false
	}
	delete(r.offsets, f)
	return true
}

// release removes the keys of a record's releases. A release is ignored if it
// doesn't name the key's latest start, or if that start is no longer among
// the recent ones; the key then remains started.
func (j *Journal) release(r *Record) error {
	for _, l := range r.GetReleases() {
		ks, err := split(l.GetKeys())
		if err != nil {
			return fmt.Errorf("release of keys started at offset %d, in record at offset %d: %w", l.GetOffset(), j.offset, err)
		}
		for _, k := range ks {
			if j.recentStarts.remove(k, l.GetOffset()) {
				j.removeKey(k)
			}
		}
	}
	return nil
}

// removeKey removes a key as if it had never been started.
func (j *Journal) removeKey(k Key) {
	for i := range j.generations {
		delete(j.generations[i].keys, k.fingerprint())
	}
	j.answers.remove(k)
}
