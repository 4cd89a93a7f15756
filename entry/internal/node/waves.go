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
	// _planInterval is how often hosts are planned for: a turn of a queue lasts
	// seconds, and so does a move.
	_planInterval = 200 * time.Millisecond
	// _cloudTimeout is when an order about a host is taken to be unanswered.
	_cloudTimeout = time.Second
	// _listPerHost makes the list of hosts rarer the longer it is, so that its
	// bytes don't fill the link of a small entry host.
	_listPerHost = 2 * time.Millisecond
	// _loadTimeout is when a pool is planned for without its owner's answer.
	_loadTimeout = 150 * time.Millisecond
	// _results bounds the answers that wait for the planner.
	_results = 256
	// _begunTopic holds the hosts of each wave whose upkeep has begun.
	_begunTopic = "keyed.upkeep"
	// _orderKey begins the keys of the last order for each host there, _heardKey
	// those of the time at which each wave was first heard of.
	_orderKey = "order/"
	_heardKey = "heard/"
)

// errStale says that the store hasn't confirmed the planner's duty lately: after a
// pause of the process another may have begun to plan.
var errStale = errors.New("duty is not confirmed")

// waves plans for all hosts while this entry is dealt that duty.
type waves struct {
	node  *Node
	cloud *platform.Cloud

	mu       sync.Mutex
	declared map[int64]declared
}

// declared is a wave of the operator.
type declared struct {
	platform.Wave
	at time.Time
}

// declare takes in a record of the operator.
func (w *waves) declare(r platform.Record) {
	if !strings.HasPrefix(r.Key, platform.KeyWavePrefix) {
		return
	}
	v, err := platform.DecodeWave(r.Value)
	if err != nil {
		w.node.log.Warn("Wave can't be read.", "key", r.Key, "offset", r.Offset, "err", err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.declared == nil {
		w.declared = make(map[int64]declared)
	}
	if _, known := w.declared[v.Number]; !known {
		w.declared[v.Number] = declared{v, time.Now()}
	}
}

// run plans whenever this entry holds the duty.
func (w *waves) run(ctx context.Context) {
	if w.node.boot.Cloud.Address == "" {
		return
	}
	w.cloud = platform.NewCloud(w.node.boot.Cloud.Address)
	for ctx.Err() == nil {
		token := w.node.pools.waveToken()
		if token > 0 && w.node.config.Load() != nil {
			w.hold(ctx, token)
		}
		wait.For(ctx, _planInterval)
	}
}

// hold plans for as long as the duty is held.
func (w *waves) hold(ctx context.Context, token int64) {
	w.node.log.Info("Hosts are planned for here.", "token", token)
	b := w.node.bounds.Load()
	s := &shift{
		waves: w, token: token,
		plan: hostplan.New(hostplan.Settings{
			MoveTime: b.Move, UpkeepTime: b.Upkeep, Lease: b.Lease,
			OrdersPerS: w.node.boot.Cloud.OrdersPerS,
		}),
		results: make(chan func(time.Time), _results), known: make(map[int64]bool),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.records, s.statuses = newRecorder(_begunTopic, s.append), newRecorder(platform.TopicStatus, s.append)
	go s.records.run(ctx)
	go s.statuses.run(ctx)
	for ctx.Err() == nil && w.node.pools.waveToken() == token && !s.load(ctx) {
		wait.For(ctx, _planInterval)
	}
	t := time.NewTicker(_planInterval)
	defer t.Stop()
	for w.node.pools.waveToken() == token {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.look(ctx)
			s.step(ctx)
			if s.plan.TasksStarted() {
				// Hosts on which nothing runs can go at once.
				s.loads(ctx)
				s.step(ctx)
			}
		case f := <-s.results:
			f(time.Now())
		}
	}
	w.node.log.Info("Hosts are planned for elsewhere.", "token", token)
}
