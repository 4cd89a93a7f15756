package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"fescuelanding/fleet"
)

const (
	_requestTimeout = time.Second
	_pollInterval   = 100 * time.Millisecond
	_maxStatusBytes = 4 << 20
)

// entryStatus is the status that an entry reports, or the reason why it could not
// be read.
type entryStatus struct {
	Entry         string `json:"entry"`
	Incarnation   uint64 `json:"incarnation"`
	AppliedOffset uint64 `json:"appliedOffset"`
	Ready         bool   `json:"ready"`
	Problem       string `json:"problem,omitempty"`
}

// applied reports whether the entry has reported that it applied an offset.
func (s entryStatus) applied(offset uint64) bool { return s.AppliedOffset >= offset }

// fetchStatus requests the status of an entry over its admin address.
func fetchStatus(ctx context.Context, e fleet.Entry) entryStatus {
	s := entryStatus{Entry: e.Name(), Incarnation: e.Incarnation()}
	if err := get(ctx, "http://"+e.AdminAddress()+"/status", &s); err != nil {
		return entryStatus{Entry: e.Name(), Incarnation: e.Incarnation(), Problem: err.Error()}
	}
	if s.Entry != e.Name() {
		problem := fmt.Sprintf("%s answers as entry %q", e.AdminAddress(), s.Entry)
		return entryStatus{Entry: e.Name(), Incarnation: e.Incarnation(), Problem: problem}
	}
	return s
}

func get(ctx context.Context, url string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, _requestTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return fmt.Errorf("ask: %w", err)
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return fmt.Errorf("ask: %w", err)
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("ask: status %d", a.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(a.Body, _maxStatusBytes)).Decode(v); err != nil {
		return fmt.Errorf("read status: %w", err)
	}
	return nil
}

// fetchStatuses requests the statuses of all entries concurrently and returns them
// in the order of entries.
func fetchStatuses(ctx context.Context, entries []fleet.Entry) []entryStatus {
	all := make([]entryStatus, len(entries))
	var wg sync.WaitGroup
	for i, e := range entries {
		wg.Go(func() { all[i] = fetchStatus(ctx, e) })
	}
	wg.Wait()
	return all
}

// awaitEntries polls the registered entries until all have applied an offset, but
// no longer than wait. It returns the last statuses and the names of the entries
// that haven't applied the offset. It stops waiting for entries that are
// unregistered meanwhile. It doesn't poll an entry again once the entry has applied
// the offset, since an applied offset never decreases.
func awaitEntries(ctx context.Context, h *history, offset uint64, wait time.Duration) (all []entryStatus, lag []string) {
	// The end of the wait doesn't cancel status requests in flight. Otherwise an
	// entry whose request was cancelled would be listed as lagging.
	end, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	t := time.NewTicker(_pollInterval)
	defer t.Stop()
	for {
		all = refreshStatuses(ctx, h.state.Entries(), all, offset)
		if lag = laggingEntries(all, offset); len(lag) == 0 {
			return all, nil
		}
		select {
		case <-end.Done():
			return all, lag
		case <-t.C:
		}
		// If the log can't be read now, the set of entries stays as last read.
		_ = h.applyNew(end, nil)
	}
}

// refreshStatuses returns the statuses of entries. It keeps those in old that show
// the offset as applied and requests the others.
func refreshStatuses(ctx context.Context, entries []fleet.Entry, old []entryStatus, offset uint64) []entryStatus {
	done := make(map[string]entryStatus)
	for _, s := range old {
		if s.applied(offset) {
			done[s.Entry] = s
		}
	}
	var all []entryStatus
	var rest []fleet.Entry
	for _, e := range entries {
		if s, ok := done[e.Name()]; ok {
			all = append(all, s)
			continue
		}
		rest = append(rest, e)
	}
	all = append(all, fetchStatuses(ctx, rest)...)
	slices.SortFunc(all, func(a, b entryStatus) int { return strings.Compare(a.Entry, b.Entry) })
	return all
}

func laggingEntries(all []entryStatus, offset uint64) []string {
	var lag []string
	for _, s := range all {
		if !s.applied(offset) {
			lag = append(lag, s.Entry)
		}
	}
	return lag
}
