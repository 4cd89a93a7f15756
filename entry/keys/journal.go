package keys

import (
	"fmt"
	"time"
)

const (
	_generations   = 8
	_defaultWindow = 24 * time.Hour
)

// StartResult says whether an applied batch started one of its keys.
type StartResult struct {
	// Key is the key of the batch.
	Key Key
	// Pool is the pool whose broker wrote the batch.
	Pool string
	// Term is the term of that broker.
	Term uint64
	// Entry and Incarnation identify the process that wrote the batch.
	Entry       string
	Incarnation uint64
	// Verdict says whether the batch started the key.
	Verdict Verdict
	// Offset is the offset of the batch's record.
	Offset uint64
}

// Verdict says whether a batch started a key.
type Verdict int

const (
	// Void means that the batch came after a fence with a newer term.
	Void Verdict = iota
	// Duplicate means that an earlier batch had started the key.
	Duplicate
	// Started means that this batch started the key.
	Started
)

// Journal holds the started keys and the fences as of the last record applied,
// and the outcomes and answers recorded with Finish. Started keys expire after
// a time window. The zero value is an empty journal with a window of 24 hours.
// It isn't safe for concurrent use.
type Journal struct {
	window       time.Duration
	offset       uint64
	fences       map[string]uint64
	generations  []generation
	answers      answers
	recentStarts recentStarts
}

// generation holds the keys that were started within one eighth of the window.
// They expire together.
type generation struct {
	start time.Time
	keys  map[uint64]struct{}
}

// SetWindow sets the window, which is how long a started key is kept. It applies
// also to keys started before. These still expire in the groups formed under
// the former window, so after the window is shortened, some of them are kept for
// less than the new window.
func (j *Journal) SetWindow(d time.Duration) {
	j.window = d
}

// SetAnswerBytes bounds the memory for stored answers, in bytes.
func (j *Journal) SetAnswerBytes(n int) {
	j.answers.limit = n
}

// Offset returns the offset of the last record applied.
func (j *Journal) Offset() uint64 {
	return j.offset
}

// Apply applies the record at an offset and returns the result for each of
// its keys. A record at or before the last applied offset is ignored. The
// error wraps a *BadKeysError; the valid batches of the record are applied
// nevertheless.
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
	j.recentStarts.add(k, j.offset)
	return Started
}

// advance begins a new generation once the last one covers its part of the
// window. If the writer's clock is behind, the record goes to the last
// generation, so that no key expires early.
func (j *Journal) advance(at time.Time) {
	n := len(j.generations)
	if n == 0 || at.Sub(j.generations[n-1].start) > j.windowOrDefault()/_generations {
		j.generations = append(j.generations, generation{start: at, keys: make(map[uint64]struct{})})
	}
}

func (j *Journal) windowOrDefault() time.Duration {
	if j.window == 0 {
		return _defaultWindow
	}
	return j.window
}

// Expire removes keys that were started longer than the window ago. A
// generation expires as a whole, so some keys stay for up to an eighth of the
// window longer.
func (j *Journal) Expire(now time.Time) {
	d := j.windowOrDefault() + j.windowOrDefault()/_generations
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

// Fenced reports whether the newest applied fence of the pool has the given
// term. If it has, no broker with an older term can start a key any more.
func (j *Journal) Fenced(pool string, term uint64) bool {
	return j.fences[pool] == term
}

// Len returns the number of started keys in the journal.
func (j *Journal) Len() int {
	n := 0
	for i := range j.generations {
		n += len(j.generations[i].keys)
	}
	return n
}
