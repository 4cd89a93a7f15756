package node

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"fescuelanding/entry/hostplan"
	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

// term is the state of one uninterrupted period in which this entry plans.
type term struct {
	*planner
	token   int64
	plan    *hostplan.Planner
	results chan func(now time.Time)
	// records appends to the planners' topic, statuses to the
	// operator's topic of wave statuses.
	records, statuses *recorder
	view              hostplan.View
	// round counts the rounds of load exchanges.
	round int64
	// nextListAt is the time of the next listing of hosts.
	nextListAt time.Time
	// known, started and ended are by wave number: whether the planner has the wave,
	// the hosts whose maintenance has started, and whether the wave has ended.
	known   map[int64]bool
	started map[int64][]string
	ended   map[int64]bool
	// firstSeen is when a former planner first saw each wave. A wave's time limit
	// counts from then.
	firstSeen map[int64]time.Time
}

// load reads the progress of former planners. It reports whether that succeeded.
func (s *term) load(ctx context.Context) bool {
	c, cancel := context.WithTimeout(ctx, _cloudTimeout)
	defer cancel()
	b, err := s.node.store.Newest(c, _upkeepTopic, 0)
	if err != nil && platform.Status(err) != http.StatusNotFound {
		return false
	}
	s.started, s.firstSeen = make(map[int64][]string), make(map[int64]time.Time)
	for _, r := range b.Records {
		if m, ok := strings.CutPrefix(r.Key, _firstSeenKey); ok {
			s.loadFirstSeen(m, r.Value)
			continue
		}
		if m, ok := strings.CutPrefix(r.Key, _orderKey); ok {
			s.loadOrder(m, string(r.Value))
			continue
		}
		n, m, _ := strings.Cut(r.Key, "/")
		if v, err := strconv.ParseInt(n, 10, 64); err == nil {
			s.started[v] = append(s.started[v], m)
		}
	}
	b, err = s.node.store.Newest(c, platform.TopicStatus, 0)
	if err != nil && platform.Status(err) != http.StatusNotFound {
		return false
	}
	s.ended = make(map[int64]bool)
	for _, r := range b.Records {
		n, done := platform.DecodeWaveStatus(r)
		s.ended[n] = s.ended[n] || done
	}
	return true
}

// loadOrder loads the last order for a host: its time, and the upstream that it ends.
func (s *term) loadOrder(machine, v string) {
	at, upstream, _ := strings.Cut(v, " ")
	ms, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		s.node.log.Warn("Recorded order for a host is invalid; ignored.", "machine", machine, "err", err)
		return
	}
	s.plan.Touched(machine, upstream, time.UnixMilli(ms))
}

// loadFirstSeen loads the time at which a wave was first seen.
func (s *term) loadFirstSeen(wave string, at []byte) {
	n, err := strconv.ParseInt(wave, 10, 64)
	ms, err2 := strconv.ParseInt(string(at), 10, 64)
	if err := errors.Join(err, err2); err != nil {
		s.node.log.Warn("Recorded start of a wave is invalid; ignored.", "wave", wave, "err", err)
		return
	}
	s.firstSeen[n] = time.UnixMilli(ms)
}

// declareWave passes a wave to the planner, and records when it was first seen.
func (s *term) declareWave(ctx context.Context, d declaredWave) {
	at, known := s.firstSeen[d.Number]
	if !known {
		at = d.at
		v := strconv.AppendInt(nil, at.UnixMilli(), 10)
		s.appendWithRetry(ctx, s.records, platform.Record{Key: _firstSeenKey + strconv.FormatInt(d.Number, 10), Value: v}, func() {})
	}
	s.plan.Declare(at, d.Wave, s.started[d.Number])
}

// observe refreshes the view of hosts and pools.
func (s *term) observe(ctx context.Context) {
	if now := time.Now(); !now.Before(s.nextListAt) {
		c, cancel := context.WithTimeout(ctx, _cloudTimeout)
		m, err := s.cloud.Machines(c)
		cancel()
		if err != nil {
			s.node.log.Info("Listing the hosts failed.", "err", err)
			return
		}
		s.view.Machines, s.view.ListedAt = m, now
		s.nextListAt = now.Add(max(_planInterval/2, time.Duration(len(m))*_listPerHost))
	}
	s.exchangeLoads(ctx)
}

// exchangeLoads sends each pool's owner the plans for its hosts and receives the
// pool's load.
func (s *term) exchangeLoads(ctx context.Context) {
	var wg sync.WaitGroup
	p := s.node.config.Load().Pools
	s.view.Pools = make([]hostplan.Pool, len(p))
	now := time.Now()
	s.round++
	for i, x := range p {
		s.view.Pools[i] = hostplan.Pool{Name: x.Name, Standby: x.Standby}
		if x.Standby {
			continue
		}
		w := s.plan.Wishes(now, x.Name)
		w.Token, w.Sequence = s.token, s.round
		q := &link.Call{Pool: x.Name, Body: &link.Call_Load{Load: w}}
		wg.Go(func() {
			c, cancel := context.WithTimeout(ctx, _loadTimeout)
			defer cancel()
			// An owner that does not respond in time is called again in the next round.
			a := s.node.callOwnerOnce(c, q)
			if a.GetOutcome() == link.Outcome_OUTCOME_NOT_OWNER {
				// A pool reaches its new owner only after the change of the group is
				// known, so the known owner may be outdated.
				s.node.group.Refresh(ctx)
			}
			s.view.Pools[i].Load = a.GetLoad()
		})
	}
	wg.Wait()
}

// step runs the planner once and executes the operations it returns.
func (s *term) step(ctx context.Context) {
	if len(s.view.Machines) == 0 {
		return
	}
	now := time.Now()
	s.mu.Lock()
	for n, d := range s.declared {
		if !s.known[n] && !s.ended[n] {
			s.known[n] = true
			s.declareWave(ctx, d)
		}
	}
	s.mu.Unlock()
	var orders []hostplan.Op
	for _, op := range s.plan.Step(now, s.view) {
		switch op := op.(type) {
		case hostplan.Move, hostplan.Upkeep:
			orders = append(orders, op)
		case hostplan.Report:
			s.reportWave(ctx, op)
		case hostplan.Note:
			s.node.log.Info(op.What, op.Pairs...)
		}
	}
	if len(orders) > 0 {
		s.order(ctx, orders)
	}
}
