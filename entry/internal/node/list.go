package node

import (
	"context"
	"sync"
	"time"

	"fescuelanding/entry/internal/feed"
	"fescuelanding/entry/scheduler"
	"fescuelanding/platform"
)

// upstreamList follows the platform's list of upstreams while this entry holds a
// partition. Other entries don't read the list, since the platform charges for the
// bytes that each reader receives.
type upstreamList struct {
	node *Node

	mu     sync.Mutex
	byName map[string]platform.Upstream
	known  bool
	// invalid counts the invalid records since one was logged, at invalidAt.
	invalid   int
	invalidAt time.Time
}

// _idlePause is the time between checks whether the list is needed.
const _idlePause = 200 * time.Millisecond

func (l *upstreamList) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !l.node.pools.holdsAny() {
			l.clear()
			select {
			case <-ctx.Done():
			case <-time.After(_idlePause):
			}
			continue
		}
		c, cancel := context.WithCancel(ctx)
		t := feed.Follower{
			Store: l.node.store, Name: platform.TopicUpstreams, Poll: true,
			OnRecords: func(r []platform.Record, snapshot bool) {
				l.apply(r, snapshot)
				if !l.node.pools.holdsAny() {
					cancel()
				}
			},
			OnStoreStatus: func(err error) { l.node.logStoreStatus("list of upstreams", err) },
		}
		t.Run(c)
		cancel()
	}
}

func (l *upstreamList) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byName, l.known = nil, false
}

// apply applies records of the list and passes the result to the owners.
func (l *upstreamList) apply(records []platform.Record, snapshot bool) {
	l.mu.Lock()
	if snapshot || l.byName == nil {
		l.byName = make(map[string]platform.Upstream)
	}
	l.known = true
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(l.byName, r.Key)
			continue
		}
		u, err := platform.DecodeUpstream(r)
		if err != nil {
			l.logInvalid(time.Now(), r, err)
			continue
		}
		l.byName[r.Key] = u
	}
	l.mu.Unlock()
	for name, o := range l.node.pools.all() {
		if u := l.inPool(name); u != nil {
			o.Post(scheduler.Listed{Upstreams: u})
		}
	}
}

// _invalidLogInterval is the time between two log lines about invalid records. A writer may
// repeat one at any rate.
const _invalidLogInterval = 5 * time.Second

// logInvalid logs an invalid record, unless another was logged lately. The caller holds the lock.
func (l *upstreamList) logInvalid(now time.Time, r platform.Record, err error) {
	l.invalid++
	if !l.invalidAt.IsZero() && now.Sub(l.invalidAt) < _invalidLogInterval {
		return
	}
	l.node.log.Info("Record of an upstream is invalid; ignored.", "key", r.Key, "offset", r.Offset, "err", err, "count", l.invalid)
	l.invalid, l.invalidAt = 0, now
}

// inPool returns the upstreams of a pool, and nil if the list has not been read.
func (l *upstreamList) inPool(pool string) []platform.Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known {
		return nil
	}
	out := make([]platform.Upstream, 0, len(l.byName))
	for _, u := range l.byName {
		if u.Pool == pool {
			out = append(out, u)
		}
	}
	return out
}
