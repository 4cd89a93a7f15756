package node

import (
	"context"
	"sync"
	"time"

	"fescuelanding/entry/internal/feed"
	"fescuelanding/entry/scheduler"
	"fescuelanding/platform"
)

// list follows the platform's list of upstreams, while this entry owns
// anything: its bytes are priced for each reader.
type list struct {
	node *Node

	mu        sync.Mutex
	upstreams map[string]platform.Upstream
	known     bool
}

// _idlePause is between looks whether the list is needed.
const _idlePause = 200 * time.Millisecond

func (l *list) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !l.node.pools.any() {
			l.forget()
			select {
			case <-ctx.Done():
			case <-time.After(_idlePause):
			}
			continue
		}
		c, cancel := context.WithCancel(ctx)
		t := feed.Follower{
			Store: l.node.store, Name: platform.TopicServers, Poll: true,
			OnRecords: func(r []platform.Record, whole bool) {
				l.take(r, whole)
				if !l.node.pools.any() {
					cancel()
				}
			},
			OnStoreStatus: func(err error) { l.node.trouble("list of upstreams", err) },
		}
		t.Run(c)
		cancel()
	}
}

func (l *list) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.upstreams, l.known = nil, false
}

// take takes in records of the list and tells the owners.
func (l *list) take(records []platform.Record, whole bool) {
	l.mu.Lock()
	if whole || l.upstreams == nil {
		l.upstreams = make(map[string]platform.Upstream)
	}
	l.known = true
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(l.upstreams, r.Key)
			continue
		}
		u, err := platform.DecodeUpstream(r)
		if err != nil {
			l.node.log.Info("Entry of the list can't be read.", "key", r.Key, "offset", r.Offset, "err", err)
			continue
		}
		l.upstreams[r.Key] = u
	}
	l.mu.Unlock()
	for name, o := range l.node.pools.all() {
		if u := l.of(name); u != nil {
			o.Post(scheduler.Listed{Upstreams: u})
		}
	}
}

// of returns the upstreams of a pool, and nil while the list isn't known.
func (l *list) of(pool string) []platform.Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known {
		return nil
	}
	out := make([]platform.Upstream, 0, len(l.upstreams))
	for _, u := range l.upstreams {
		if u.Pool == pool {
			out = append(out, u)
		}
	}
	return out
}
