// Package journal keeps what has to last about a pool in a keyed topic of the
// platform's store, which holds the newest record of each key for good.
//
// One owner at a time writes for a pool: its token is the epoch of the pool's
// producer, so that the store refuses a former owner. An append whose answer
// was lost is repeated under its sequence number until its outcome is known.
package journal

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"time"

	"fescuelanding/entry/scheduler"
	"fescuelanding/fleet/wait"
	"fescuelanding/platform"
)

const (
	_topic = "keyed.jobs"
	// _timeout is when an append or read is taken to be unanswered. Answers
	// take milliseconds, and up to a quarter of a second while the store is
	// slow.
	_timeout = 900 * time.Millisecond
	// _firstPause and _maxPause are between attempts.
	_firstPause = 60 * time.Millisecond
	_maxPause   = 400 * time.Millisecond
)

// ErrFenced says that a later owner writes for the pool.
var ErrFenced = errors.New("a later owner writes")

// Journal is the part of the topic that belongs to a pool.
type Journal struct {
	store   *platform.Store
	pool    string
	part    int
	epoch   int64
	numbers scheduler.AppendSequence
}

// New returns the journal of a pool for the owner with a token.
func New(s *platform.Store, pool string, token int64, parts int) *Journal {
	h := fnv.New32a()
	_, _ = h.Write([]byte(pool)) // A hash never fails.
	return &Journal{store: s, pool: pool, part: int(h.Sum32() % uint32(max(1, parts))), epoch: token}
}

// Claim shuts former owners out.
func (j *Journal) Claim(ctx context.Context) error {
	pause := _firstPause
	for {
		err := j.try(ctx, nil)
		switch {
		case err == nil:
			return nil
		case platform.Reason(err) == "seq":
			return nil // The epoch stands, and was claimed by a lost call.
		case platform.Status(err) == http.StatusConflict:
			return fmt.Errorf("claim: %w", errors.Join(ErrFenced, err))
		}
		if !sleep(ctx, &pause) {
			return fmt.Errorf("claim: %w", err)
		}
	}
}

// Load reads what former owners appended.
func (j *Journal) Load(ctx context.Context) (scheduler.Loaded, error) {
	pause := _firstPause
	for {
		c, cancel := context.WithTimeout(ctx, 3*_timeout)
		b, err := j.store.Newest(c, _topic, j.part)
		cancel()
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
		if !sleep(ctx, &pause) {
			return scheduler.Loaded{}, fmt.Errorf("load: %w", err)
		}
	}
}

// Append adds records. It fails with a status if nothing was appended, with
// 409 where a later owner writes, and else returns only once they are in the
// store or ctx has ended.
func (j *Journal) Append(ctx context.Context, records []platform.Record) error {
	pause := _firstPause
	for {
		err := j.try(ctx, records)
		switch j.numbers.Answered(err) {
		case scheduler.AttemptDone:
			return nil
		case scheduler.AttemptRenumbered:
			continue
		case scheduler.AttemptRefused:
			return fmt.Errorf("append: %w", err)
		case scheduler.AttemptRepeat:
		}
		if !sleep(ctx, &pause) {
			return fmt.Errorf("append: %w", err)
		}
	}
}

func (j *Journal) try(ctx context.Context, records []platform.Record) error {
	c, cancel := context.WithTimeout(ctx, _timeout)
	defer cancel()
	p := platform.Producer{Name: j.pool, Epoch: j.epoch, Sequence: j.numbers.Next()}
	return j.store.Append(c, _topic, j.part, p, records)
}

// sleep pauses for longer each time, and reports whether ctx goes on.
func sleep(ctx context.Context, pause *time.Duration) bool {
	d := *pause
	*pause = min(2*d, _maxPause)
	return wait.For(ctx, d)
}
