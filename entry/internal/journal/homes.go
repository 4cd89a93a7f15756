package journal

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"fescuelanding/entry/internal/hedge"
	"fescuelanding/entry/scheduler"
	"fescuelanding/fleet/wait"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

const (
	// _homesTopic has the homes of all routes, in one partition.
	_homesTopic = "keyed.queues"
	// _homesTimeout limits a read or an append at first.
	_homesTimeout = 1800 * time.Millisecond
	// _maxConflictPause limits the random pause after another writer came first.
	_maxConflictPause = 40 * time.Millisecond
	// _maxHomes is the number of records in an append, which keeps it far below the store's limit.
	_maxHomes = 1000
)

// Homes are the records of the routes' homes, which the owners of all pools read and write. A Homes isn't
// safe for concurrent use. The zero value needs a Store.
type Homes struct {
	Store  *platform.Store
	caller hedge.Caller
	// limit is the time limit of the next call, if it is longer than _homesTimeout.
	limit time.Duration
}

// Read returns the records by route. It retries until ctx ends.
func (h *Homes) Read(ctx context.Context) (map[string]*work.Home, error) {
	pause := _firstPause
	for {
		m, _, err := h.readOnce(ctx)
		h.limit = nextLimit(max(h.limit, _homesTimeout), err)
		if err == nil {
			return m, nil
		}
		if !backOff(ctx, &pause) {
			return nil, fmt.Errorf("read homes: %w", err)
		}
	}
}

// Find returns the homes of the routes of a pool under a version of the configuration, and records them. A
// record is written only if no other one was written since they were read. It retries until ctx ends.
func (h *Homes) Find(ctx context.Context, pool string, q scheduler.FindHomes) (map[string]*work.Home, error) {
	pause := _firstPause
	for {
		all, err := h.findOnce(ctx, pool, q)
		h.limit = nextLimit(max(h.limit, _homesTimeout), err)
		if err == nil {
			return all, nil
		}
		again := true
		switch {
		case errors.Is(err, errMoreHomes):
		case platform.Status(err) == http.StatusPreconditionFailed:
			// Another owner came first. At the start of a fleet, all of them write.
			again = wait.For(ctx, rand.N(_maxConflictPause))
		default:
			again = backOff(ctx, &pause)
		}
		if !again {
			return nil, fmt.Errorf("find homes: %w", err)
		}
	}
}

// errMoreHomes means that there are more records to write.
var errMoreHomes = errors.New("more homes are to be recorded")

func (h *Homes) findOnce(ctx context.Context, pool string, q scheduler.FindHomes) (map[string]*work.Home, error) {
	m, end, err := h.readOnce(ctx)
	if err != nil {
		return nil, err
	}
	all, changed := scheduler.UpdateHomes(m, pool, q.Version, q.Queues)
	if len(changed) == 0 {
		return all, nil
	}
	var l []platform.Record
	for _, k := range slices.Sorted(maps.Keys(changed)) {
		b, err := proto.Marshal(changed[k])
		if err != nil {
			return nil, fmt.Errorf("encode home of %q: %w", k, err)
		}
		l = append(l, platform.Record{Key: k, Value: b})
	}
	c, cancel := context.WithTimeout(ctx, _homesTimeout)
	defer cancel()
	if err := h.Store.AppendAt(c, _homesTopic, 0, end, l[:min(len(l), _maxHomes)]); err != nil {
		// If the answer was lost, the next read shows whether it was appended.
		return nil, fmt.Errorf("append: %w", err)
	}
	if len(l) > _maxHomes {
		return nil, errMoreHomes
	}
	return all, nil
}

// readOnce returns the records and the offset after the last one.
func (h *Homes) readOnce(ctx context.Context) (map[string]*work.Home, int64, error) {
	c, cancel := context.WithTimeout(ctx, max(h.limit, _homesTimeout))
	defer cancel()
	b, err := hedge.Do(c, &h.caller, func(c context.Context) (platform.Batch, error) {
		return h.Store.Newest(c, _homesTopic, 0)
	})
	if platform.Status(err) == http.StatusNotFound {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read: %w", err)
	}
	m := make(map[string]*work.Home, len(b.Records))
	for _, r := range b.Records {
		x := &work.Home{}
		if err := proto.Unmarshal(r.Value, x); err != nil {
			return nil, 0, fmt.Errorf("decode home of %q: %w", r.Key, err)
		}
		m[r.Key] = x
	}
	return m, b.End, nil
}
