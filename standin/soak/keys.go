package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// _steadyKey is the key of all callers. It stays valid.
	_steadyKey = "steady"
	// _revocation is the time after which a withdrawn key works on no entry, whatever happens
	// to that. It is the bound that the site sets.
	_revocation = 3 * time.Second
	// _keySeed is the stream of random numbers for the schedule of keys and cuts, apart from that
	// of the other faults.
	_keySeed = 50
)

var (
	_keySeries = [][]string{{"rotate"}, {"rotate", "rotate", "rotate"}}
	_cutSeries = [][]string{{"cut $T", "mend $T"}, {"cut $T", "mend $T", "cut $T", "mend $T"}}
)

// keyring is the keys of the site's workspace: one that stays, and one that is replaced again
// and again.
type keyring struct {
	mu sync.Mutex
	// withdrawn are the times at which former keys were withdrawn; the number of a key is its
	// index.
	withdrawn []time.Time
}

// drawKeys draws the replacements of keys and, unless there are splits, which cut the same
// paths, the times at which entries lose the store's answers.
func drawKeys(seed uint64, entries []string, d time.Duration, splits bool) Schedule {
	r := rand.New(rand.NewPCG(seed, _keySeed))
	rest := rests{_shortestRest, between(r, _busyRest, _calmRest)}
	s := Schedule{flat(drawTarget(r, _keySeries, "", rest, d))}
	if splits {
		return s
	}
	for _, n := range entries {
		s = append(s, flat(drawTarget(r, _cutSeries, n, rest, d)))
	}
	return s
}

// rotate replaces the key that doesn't stay.
func (k *Soak) rotate() error {
	k.keys.mu.Lock()
	defer k.keys.mu.Unlock()
	if _, err := k.site.Do(fmt.Sprintf("keys shops=%s,k%d", _steadyKey, len(k.keys.withdrawn))); err != nil {
		return fmt.Errorf("publish keys: %w", err)
	}
	k.keys.withdrawn = append(k.keys.withdrawn, time.Now())
	return nil
}

// withdrawnKey returns a key that has been withdrawn, and when.
func (k *Soak) withdrawnKey(r *rand.Rand) (key string, at time.Time) {
	k.keys.mu.Lock()
	defer k.keys.mu.Unlock()
	// The last publication withdrew the key before.
	n := len(k.keys.withdrawn) - 1
	if n < 1 {
		return "", time.Time{}
	}
	i := n - 1 - r.IntN(min(n, 2))
	return fmt.Sprintf("k%d", i), k.keys.withdrawn[i+1]
}

// tryWithdrawnKeys calls entries with withdrawn keys until stop is closed.
func (k *Soak) tryWithdrawnKeys(stop <-chan struct{}) {
	r := rand.New(rand.NewPCG(k.Seed, _keySeed+1))
	for {
		select {
		case <-stop:
			return
		case <-time.After(between(r, _shortestPause, _longestPause)):
		}
		key, at := k.withdrawnKey(r)
		e := k.entries[r.IntN(len(k.entries))]
		if key == "" {
			continue
		}
		o, err := dial(e)
		if err != nil {
			continue // The entry may be down.
		}
		o.key = key
		a, err := o.send(http.MethodGet, k.site.Queue(_queues[0]), "", "")
		_ = o.c.Close()
		if err == nil && a.begunAt.Sub(at) > _revocation && a.status != http.StatusUnauthorized && a.status != http.StatusServiceUnavailable {
			k.violate("%s answered %d to key %s, %v after it was withdrawn", e.name, a.status, key, a.begunAt.Sub(at).Round(time.Millisecond))
		}
	}
}
