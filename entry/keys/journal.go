package keys

import (
	"fmt"
	"time"
)

const (
	_generations   = 8
	_defaultWindow = 24 * time.Hour
)

// Start tells the fate of one key of a batch that was applied.
type StartResult struct {
	// Key is the key concerned.
	Key Key
	// Pool is the pool whose broker wrote the batch.
	Pool string
	// Term is the term of that broker.
	Term uint64
	// Entry and Incarnation name the process that wrote the batch.
	Entry       string
	Incarnation uint64
	// Verdict says whether the batch started the key.
	Verdict Verdict
	// Offset is that of the batch's record.
	Offset uint64
}

// Verdict is the fate of a key in a batch.
type Verdict int

const (
	// Void means that the batch came after a fence with a newer term.
	Void Verdict = iota
	// Duplicate means that an earlier batch had started the key.
	Duplicate
	// Started means that this batch started the key.
	Started
)

// Journal is what the keys stream says, up to the last record applied. The
// zero value is an empty journal with a window of 24 hours. It isn't safe for
// concurrent use.
type Journal struct {
	window      time.Duration
	offset      uint64
	fences      map[string]uint64
	generations []generation
	answers     answers
	recent      recent
}

// generation holds the keys of one part of the window, so that they expire
// together.
type generation struct {
	start time.Time
	keys  map[uint64]struct{}
}

// SetWindow sets how long a started key is remembered. Keys that were applied
// before keep the generation they are in.
func (j *Journal) SetWindow(d time.Duration) {
	j.window = d
}

// SetAnswerBytes bounds the bytes of answers that are kept for repeats.
func (j *Journal) SetAnswerBytes(n int) {
	j.answers.limit = n
}

// Offset returns the offset of the last record applied.
func (j *Journal) Offset() uint64 {
	return j.offset
}

// Apply takes in the record at an offset and tells the fate of each of its
// keys. An offset that was applied before is passed over. The error is a
// *BadKeysError, and the good batches of the record count all the same.
func (j *Journal) Apply(offset uint64, r *Record) ([]StartResult, error) {
	if offset <= j.offset {
		return nil, nil
	}
	j.offset = offset
	j.advance(time.UnixMilli(r.GetAtUnixMs()))
	for _, f := range r.GetFences() {
		j.fence(f)
	}
	err := j.release(r)
	var ss []StartResult
	for _, b := range r.GetBatches() {
		ks, e := split(b.GetKeys())
		if e != nil {
			err = fmt.Errorf("batch of pool %q at offset %d: %w", b.GetPool(), offset, e)
			continue
		}
		for _, k := range ks {
			s := StartResult{Key: k, Pool: b.GetPool(), Term: b.GetTerm(), Entry: r.GetEntry(), Incarnation: r.GetIncarnation(), Offset: offset}
			s.Verdict = j.start(b, k)
			ss = append(ss, s)
		}
	}
	return ss, err
}

func (j *Journal) fence(f *Fence) {
	if j.fences == nil {
		j.fences = make(map[string]uint64)
	}
	j.fences[f.GetPool()] = max(j.fences[f.GetPool()], f.GetTerm())
}

func (j *Journal) start(b *Batch, k Key) Verdict {
	if b.GetTerm() < j.fences[b.GetPool()] {
		return Void
	}
	if j.Started(k) {
		return Duplicate
	}
	j.generations[len(j.generations)-1].keys[k.fingerprint()] = struct{}{}
	j.recent.add(k, j.offset)
	return Started
}

// advance begins a new generation once the last one covers its part of the
// window. A record whose clock is behind counts for the last generation, so
// that no key expires early.
func (j *Journal) advance(at time.Time) {
	n := len(j.generations)
	if n == 0 || at.Sub(j.generations[n-1].start) > j.span()/_generations {
		j.generations = append(j.generations, generation{start: at, keys: make(map[uint64]struct{})})
	}
}

func (j *Journal) span() time.Duration {
	if j.window == 0 {
		return _defaultWindow
	}
	return j.window
}

// Expire forgets the keys that were started longer than the window ago. Keys
// expire a generation at a time, so some are kept for an eighth longer.
func (j *Journal) Expire(now time.Time) {
	d := j.span() + j.span()/_generations
	for len(j.generations) > 0 && now.Sub(j.generations[0].start) > d {
		j.generations = j.generations[1:]
	}
}

// Started reports whether a valid batch has started the key.
func (j *Journal) Started(k Key) bool {
	for i := range j.generations {
		if _, ok := j.generations[i].keys[k.fingerprint()]; ok {
			return true
		}
	}
	return false
}

// Fenced reports whether the pool's fence of that term has been read: from
// then on no older broker can start a key.
func (j *Journal) Fenced(pool string, term uint64) bool {
	return j.fences[pool] == term
}

// Len returns the number of keys remembered.
func (j *Journal) Len() int {
	n := 0
	for i := range j.generations {
		n += len(j.generations[i].keys)
	}
	return n
}
