package node

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"fescuelanding/entry/hostplan"
	"fescuelanding/fleet/wait"
	"fescuelanding/platform"
)

const (
	// _planInterval is the time between planning rounds. A demand peak of a queue lasts
	// seconds, and so does a move.
	_planInterval = 200 * time.Millisecond
	// _cloudTimeout limits a call to the cloud interface, which lists, moves and
	// maintains hosts, and an append to the store.
	_cloudTimeout = time.Second
	// _listPerHost lengthens the interval between listings by this much per host, so
	// that long lists don't saturate the network link of a small entry host.
	_listPerHost = 2 * time.Millisecond
	// _loadTimeout is how long a planning round waits for the load of a pool. After
	// that, the round plans without this load.
	_loadTimeout = 150 * time.Millisecond
	// _maxResults is the capacity of the queue of results for the planning loop.
	_maxResults = 256
	// _upkeepTopic holds, for each wave, the hosts whose maintenance has started.
	_upkeepTopic = "keyed.upkeep"
	// _orderKey is the prefix of the keys in that topic that hold the last order for
	// each host. _firstSeenKey is the prefix of those that hold when each wave was first
	// seen.
	_orderKey     = "order/"
	_firstSeenKey = "heard/"
)

// errStale means that the store has not confirmed recently that this entry holds
// _plannerPartition. After a pause of the process, another entry may be planning.
var errStale = errors.New("store has not confirmed recently that this entry plans for hosts")

// planner plans moves and maintenance of all hosts while this entry holds
// _plannerPartition.
type planner struct {
	node  *Node
	cloud *platform.Cloud

	mu sync.Mutex
	// declared contains the waves by number.
	declared map[int64]declaredWave
}

// declaredWave is a maintenance wave that the operator has declared, with the time at
// which this entry first saw it.
type declaredWave struct {
	platform.Wave
	at time.Time
}

// addWave adds the wave of an operator's record; other records are ignored.
func (w *planner) addWave(r platform.Record) {
	if !strings.HasPrefix(r.Key, platform.KeyWavePrefix) {
		return
	}
	v, err := platform.DecodeWave(r.Value)
	if err != nil {
		w.node.log.Warn("Wave record is invalid; ignored.", "key", r.Key, "offset", r.Offset, "err", err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.declared == nil {
		w.declared = make(map[int64]declaredWave)
	}
	if _, known := w.declared[v.Number]; !known {
		w.declared[v.Number] = declaredWave{v, time.Now()}
	}
}

// run plans whenever this entry holds _plannerPartition. If no cloud is configured, it only
// divides the limits of workspaces, where there are any.
func (w *planner) run(ctx context.Context) {
	if w.node.boot.Cloud.Address != "" {
		w.cloud = platform.NewCloud(w.node.boot.Cloud)
	}
	for ctx.Err() == nil {
		token := w.node.pools.plannerToken()
		if c := w.node.config.Load(); token > 0 && c != nil && (w.cloud != nil || c.hasLimits()) {
			w.runTerm(ctx, token)
		}
		wait.For(ctx, _planInterval)
	}
}

// runTerm plans while _plannerPartition is held under token.
func (w *planner) runTerm(ctx context.Context, token int64) {
	w.node.log.Info("Host planning started on this entry.", "token", token)
	b := w.node.bounds.Load()
	s := &term{
		planner: w, token: token,
		hostPlanner: hostplan.New(hostplan.Settings{
			MoveTime: b.MoveTime, UpkeepTime: b.UpkeepTime, Lease: b.HolderLease,
			OrdersPerS: w.node.boot.Cloud.OrdersPerS,
		}),
		results: make(chan func(time.Time), _maxResults), known: make(map[int64]bool),
		numbering: hostplan.NewAppendNumbering(token),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.limits.close()
	s.records, s.statuses = newRecorder(_upkeepTopic, s.appendNumbered), newRecorder(platform.TopicStatus, s.append)
	go s.records.run(ctx)
	go s.statuses.run(ctx)
	for ctx.Err() == nil && w.node.pools.plannerToken() == token && !s.readProgress(ctx) {
		wait.For(ctx, _planInterval)
	}
	t := time.NewTicker(_planInterval)
	defer t.Stop()
	for w.node.pools.plannerToken() == token {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.observe(ctx)
			s.step(ctx)
			if s.hostPlanner.TasksStarted() {
				// Send the new plans to the owners at once. A host on which nothing runs
				// can then be moved or maintained without waiting for the next round.
				s.exchangeLoads(ctx)
				s.step(ctx)
			}
		case f := <-s.results:
			f(time.Now())
		}
	}
	w.node.log.Info("Host planning ended on this entry.", "token", token)
}
