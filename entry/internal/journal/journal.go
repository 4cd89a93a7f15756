// Package journal stores the durable state of a pool in a keyed topic of the
// platform's store, which retains the newest record of each key indefinitely.
//
// A pool has one writer at a time: the owner's fencing token is the epoch of the
// pool's producer, so that the store rejects appends of former owners. An append
// whose response was lost is retried with the same sequence number until its
// outcome is known. When it is retried follows from how long responses take (hedge.Pace).
//
//	j := journal.New(store, pool, token, partitions)
//	err := j.Claim(ctx)            // fences off former owners
//	state, err := j.Load(ctx)      // reads their records
//	took, err := j.Append(ctx, records)
//
// A Journal is not safe for concurrent use.
package journal

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"time"

	"fescuelanding/entry/internal/hedge"
	"fescuelanding/entry/scheduler"
	"fescuelanding/fleet/wait"
	"fescuelanding/platform"
)

const (
	_topic = "keyed.jobs"
	// _claimTimeout and _loadTimeout limit a claim of the journal and a read of all of it before
	// they are made anew. A read that took longer gets twice as long the next time, up to
	// _maxLoadTimeout: a journal may have many pages, and the store may be slow.
	_claimTimeout   = 1800 * time.Millisecond
	_loadTimeout    = 2700 * time.Millisecond
	_maxLoadTimeout = time.Minute
	// _firstPause and _maxPause limit the exponential backoff between attempts.
	_firstPause = 60 * time.Millisecond
	_maxPause   = 400 * time.Millisecond
)

// ErrFenced is returned if a later owner has claimed the pool's journal.
var ErrFenced = errors.New("journal is claimed by a later owner")

// Journal is the journal of one pool.
type Journal struct {
	store     *platform.Store
	pool      string
	partition int
	epoch     int64
	sequence  scheduler.AppendSequence
	// pace decides when an append without an answer is repeated, caller the same for a claim.
	pace   hedge.Pace
	caller hedge.Caller
}

// New returns the journal of a pool for the owner with a fencing token. parts is
// the number of partitions of the topic.
func New(s *platform.Store, pool string, token int64, parts int) *Journal {
	h := fnv.New32a()
	_, _ = h.Write([]byte(pool)) // hash.Hash.Write never returns an error.
	return &Journal{store: s, pool: pool, partition: int(h.Sum32() % uint32(max(1, parts))), epoch: token}
}

// Claim fences off former owners. It retries until ctx ends, and fails with
// ErrFenced if a later owner has claimed the journal.
func (j *Journal) Claim(ctx context.Context) error {
	pause := _firstPause
	for {
		err := j.claimOnce(ctx)
		switch {
		case err == nil:
			return nil
		case platform.Reason(err) == "seq":
			// Only the sequence number was rejected, so the epoch is already ours: an
			// earlier attempt succeeded, but its response was lost.
			return nil
		case platform.Status(err) == http.StatusConflict:
			return fmt.Errorf("claim: %w", errors.Join(ErrFenced, err))
		}
		if !backOff(ctx, &pause) {
			return fmt.Errorf("claim: %w", err)
		}
	}
}

// Load reads the records of former owners. It retries until ctx ends, and returns an
// empty state if the topic does not exist yet.
func (j *Journal) Load(ctx context.Context) (scheduler.Loaded, error) {
	pause, limit := _firstPause, _loadTimeout
	for {
		c, cancel := context.WithTimeout(ctx, limit)
		b, err := j.store.Newest(c, _topic, j.partition)
		cancel()
		limit = nextLimit(limit, err)
		if err == nil {
			l, err := scheduler.Decode(j.pool, b.Records)
			if err != nil {
				return l, fmt.Errorf("load: %w", err)
			}
			return l, nil
		}
		if platform.Status(err) == http.StatusNotFound {
			return scheduler.Loaded{}, nil
		}
		if !backOff(ctx, &pause) {
			return scheduler.Loaded{}, fmt.Errorf("load: %w", err)
		}
	}
}

// Append appends records atomically, and returns how long the store took for the attempt that it
// answered. It repeats the append until it is stored, the store rejects it, or ctx ends. After a
// rejection nothing was appended, and the error carries the HTTP status: 409 means that a later
// owner has claimed the journal.
//
// An attempt without an answer isn't cut off for its repeat, so that its answer still counts.
func (j *Journal) Append(ctx context.Context, records []platform.Record) (time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := repeater{journal: j, records: records, answers: make(chan answer, _maxAttempts)}
	pause := _firstPause
	r.attempt(ctx)
	for {
		a, answered := r.next(ctx)
		if !answered {
			if ctx.Err() != nil {
				return 0, fmt.Errorf("append: %w", ctx.Err())
			}
			r.attempt(ctx) // The outcome of the earlier attempt is unknown.
			continue
		}
		if platform.Status(a.err) != 0 || a.err == nil {
			j.pace.Answered(time.Now(), a.took, r.overtook(a.number))
		}
		switch j.sequence.Answered(a.err) {
		case scheduler.AttemptDone:
			return a.took, nil
		case scheduler.AttemptRenumbered:
			r.attempt(ctx) // The store expects another sequence number, which is now known.
			continue
		case scheduler.AttemptRefused:
			return 0, fmt.Errorf("append: %w", a.err)
		case scheduler.AttemptRepeat: // The outcome is unknown.
		}
		if len(r.open) > 0 {
			continue
		}
		if !backOff(ctx, &pause) {
			return 0, fmt.Errorf("append: %w", a.err)
		}
		r.attempt(ctx)
	}
}

// claimOnce makes one attempt to claim the journal.
func (j *Journal) claimOnce(ctx context.Context) error {
	c, cancel := context.WithTimeout(ctx, _claimTimeout)
	defer cancel()
	_, err := hedge.Do(c, &j.caller, func(c context.Context) (struct{}, error) {
		return struct{}{}, j.send(c, j.sequence.Next(), nil)
	})
	return err
}

func (j *Journal) send(ctx context.Context, sequence int64, records []platform.Record) error {
	p := platform.Producer{Name: j.pool, Epoch: j.epoch, Sequence: sequence}
	return j.store.Append(ctx, _topic, j.partition, p, records)
}

// nextLimit returns the time limit of the next attempt at a read.
func nextLimit(limit time.Duration, err error) time.Duration {
	if errors.Is(err, context.DeadlineExceeded) {
		return min(2*limit, _maxLoadTimeout)
	}
	return limit
}

// backOff waits for the pause and doubles it up to _maxPause. It returns false if
// ctx has ended.
func backOff(ctx context.Context, pause *time.Duration) bool {
	d := *pause
	*pause = min(2*d, _maxPause)
	return wait.For(ctx, d)
}
