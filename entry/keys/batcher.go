package keys

import "time"

const (
	_flushInterval = 50 * time.Millisecond
	_maxRecordKeys = 4096
)

// Pending is a key that waits to be appended.
type Pending struct {
	Pool string
	Term uint64
	Key  Key
}

// Batcher decides when waiting keys are appended. A key that arrives after an
// idle time is due at once. Under load there are at most 20 appends per
// second, so that nine entries together stay below 200 per second. The zero
// value is ready to use.
type Batcher struct {
	waiting []Pending
	fences  []*Fence
	// releases are grouped by the offset of the record that started the keys.
	releases []*Release
	last     time.Time
}

// Add adds a key to the next append.
func (b *Batcher) Add(p Pending) {
	b.waiting = append(b.waiting, p)
}

// AddFence adds a fence to the next append.
func (b *Batcher) AddFence(pool string, term uint64) {
	b.fences = append(b.fences, &Fence{Pool: pool, Term: term})
}

// AddRelease adds the release of a key, started at the given offset, to the
// next append.
func (b *Batcher) AddRelease(k Key, offset uint64) {
	for _, r := range b.releases {
		if r.GetOffset() == offset {
			r.Keys = append(r.Keys, k[:]...)
			return
		}
	}
	b.releases = append(b.releases, &Release{Offset: offset, Keys: append([]byte(nil), k[:]...)})
}

// Next returns when the next append is due, or the zero time if nothing
// waits.
func (b *Batcher) Next() time.Time {
	if len(b.waiting) == 0 && len(b.fences) == 0 && len(b.releases) == 0 {
		return time.Time{}
	}
	return b.last.Add(_flushInterval)
}

// Flush returns the record to append now, or nil if none is due. The caller
// sets the writer's entry and incarnation. A record holds at most 4096 keys;
// the rest wait for the next record.
func (b *Batcher) Flush(now time.Time) *Record {
	t := b.Next()
	if t.IsZero() || now.Before(t) {
		return nil
	}
	b.last = now
	r := &Record{AtUnixMs: now.UnixMilli(), Fences: b.fences, Releases: b.releases}
	b.fences, b.releases = nil, nil
	n := min(len(b.waiting), _maxRecordKeys)
	r.Batches = group(b.waiting[:n])
	b.waiting = append([]Pending(nil), b.waiting[n:]...)
	return r
}

// group collects keys of the same pool and term in one batch.
func group(ps []Pending) []*Batch {
	type owner struct {
		pool string
		term uint64
	}
	at := make(map[owner]*Batch)
	var bs []*Batch
	for _, p := range ps {
		o := owner{p.Pool, p.Term}
		if at[o] == nil {
			at[o] = &Batch{Pool: p.Pool, Term: p.Term}
			bs = append(bs, at[o])
		}
		at[o].Keys = append(at[o].Keys, p.Key[:]...)
	}
	return bs
}
