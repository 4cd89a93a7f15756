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
	"fescuelanding/entry/internal/hedge"
	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

// term is the state of one uninterrupted period in which this entry plans moves and
// maintenance of hosts.
type term struct {
	*planner
	// token is the fencing token under which this entry holds _plannerPartition.
	token       int64
	hostPlanner *hostplan.Planner
	// results are functions that pass the result of an order to hostPlanner. They run on
	// the planning loop, since hostPlanner is not safe for concurrent use.
	results chan func(now time.Time)
	// records appends to _upkeepTopic, and statuses to the topic in which the operator
	// reads the statuses of waves.
	records, statuses *recorder
	// numbering numbers the appends to _upkeepTopic.
	numbering hostplan.AppendNumbering
	// appends decides when an append without an answer is repeated.
	appends hedge.Caller
	view    hostplan.View
	// limits divides the limits of workspaces among the pools.
	limits divider
	// loadSequence numbers the calls of exchangeLoads. It is sent to the owners with the
	// token, so that they ignore calls that arrive late.
	loadSequence int64
	// nextListAt is the time of the next listing of hosts.
	nextListAt time.Time
	// The keys of the maps below are wave numbers. known contains the waves that have
	// been passed to hostPlanner.
	known map[int64]bool
	// started contains the hosts whose maintenance former planning entries started.
	started map[int64][]string
	// ended contains the waves that are complete.
	ended map[int64]bool
	// firstSeen contains the time at which a former planning entry first saw each wave.
	// The wave's time limit counts from then.
	firstSeen map[int64]time.Time
}

// readProgress reads the progress of former planning entries from the store, after it
// has made the store reject their further records. It reports whether that succeeded.
func (s *term) readProgress(ctx context.Context) bool {
	if err := s.appendNumbered(ctx, _upkeepTopic, nil); err != nil {
		return false
	}
	c, cancel := context.WithTimeout(ctx, _cloudTimeout)
	defer cancel()
	b, err := s.node.store.Newest(c, _upkeepTopic, 0)
	if err != nil && platform.Status(err) != http.StatusNotFound {
		return false
	}
	s.started, s.firstSeen = make(map[int64][]string), make(map[int64]time.Time)
	for _, r := range b.Records {
		if m, ok := strings.CutPrefix(r.Key, _firstSeenKey); ok {
			s.decodeFirstSeen(m, r.Value)
			continue
		}
		if m, ok := strings.CutPrefix(r.Key, _orderKey); ok {
			s.decodeOrder(m, string(r.Value))
			continue
		}
		// The key is the number of the wave and the host, separated by a slash.
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

// decodeOrder passes the last recorded order for a host to hostPlanner. v is the time
// of the order in Unix milliseconds and the upstream on the host, which the order
// terminates.
func (s *term) decodeOrder(machine, v string) {
	at, upstream, _ := strings.Cut(v, " ")
	ms, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		s.node.log.Warn("Recorded order for a host is invalid; ignored.", "machine", machine, "err", err)
		return
	}
	s.hostPlanner.AddPriorOrder(machine, upstream, time.UnixMilli(ms))
}

// decodeFirstSeen decodes the recorded time at which a wave was first seen.
func (s *term) decodeFirstSeen(wave string, at []byte) {
	n, err := strconv.ParseInt(wave, 10, 64)
	ms, err2 := strconv.ParseInt(string(at), 10, 64)
	if err := errors.Join(err, err2); err != nil {
		s.node.log.Warn("First-seen record of a wave is invalid; its time limit starts again.", "wave", wave, "err", err)
		return
	}
	s.firstSeen[n] = time.UnixMilli(ms)
}

// declareWave passes a wave to hostPlanner, and records when the wave was first seen
// unless a former planning entry did.
func (s *term) declareWave(ctx context.Context, d declaredWave) {
	at, known := s.firstSeen[d.Number]
	if !known {
		at = d.at
		v := strconv.AppendInt(nil, at.UnixMilli(), 10)
		s.appendWithRetry(ctx, s.records, platform.Record{Key: _firstSeenKey + strconv.FormatInt(d.Number, 10), Value: v}, func() {})
	}
	s.hostPlanner.AddWave(at, d.Wave, s.started[d.Number])
}

// observe refreshes the view of hosts and pools.
func (s *term) observe(ctx context.Context) {
	if now := time.Now(); s.cloud != nil && !now.Before(s.nextListAt) {
		c, cancel := context.WithTimeout(ctx, _cloudTimeout)
		m, err := s.cloud.Machines(c)
		cancel()
		if err != nil {
			s.node.log.Info("Listing the hosts failed; retrying, and planning with the previous list and loads.", "err", err)
			if !s.node.config.Load().hasLimits() {
				return
			}
			// The shares of limits must be renewed whether or not hosts can be moved.
		} else {
			s.view.Machines, s.view.ListedAt = m, now
			s.nextListAt = now.Add(max(_planInterval/2, time.Duration(len(m))*_listPerHost))
		}
	}
	s.exchangeLoads(ctx)
	for range _maxExchanges {
		if !s.limits.pressing() {
			break
		}
		s.exchangeLoads(ctx)
	}
	if now := time.Now(); s.node.pools.recentlyConfirmed(now) {
		s.limits.publish(now, s.node.log)
	}
}

// exchangeLoads sends each pool's owner the plans for its hosts and its shares of the
// workspaces' limits, and receives the pool's load.
func (s *term) exchangeLoads(ctx context.Context) {
	var wg sync.WaitGroup
	c := s.node.config.Load()
	p := c.Pools
	s.view.Pools = make([]hostplan.Pool, len(p))
	now := time.Now()
	s.loadSequence++
	s.limits.divide(now, c)
	// After a pause of the process, another entry may be planning.
	mayGive := s.node.pools.recentlyConfirmed(now)
	for i, x := range p {
		s.view.Pools[i] = hostplan.Pool{Name: x.Name, Standby: x.Standby}
		if x.Standby {
			continue // Standby pools have no owner.
		}
		w := s.hostPlanner.LoadRequest(now, x.Name)
		w.Token, w.Sequence = s.token, s.loadSequence
		if mayGive {
			s.limits.addShares(w, x.Name)
		}
		q := &link.Call{Pool: x.Name, Body: &link.Call_Load{Load: w}}
		wg.Go(func() {
			c, cancel := context.WithTimeout(ctx, _loadTimeout)
			defer cancel()
			// An owner that does not respond in time is called again in the next round.
			a := s.node.callOwnerOnce(c, q)
			if a.GetOutcome() == link.Outcome_OUTCOME_NOT_OWNER {
				// The list of owners was read when the group changed, but a pool is
				// assigned to its new owner only after that. Read the list again.
				s.node.group.Refresh(ctx)
			}
			s.view.Pools[i].Load = a.GetLoad()
		})
	}
	wg.Wait()
	for i, x := range p {
		if !x.Standby {
			s.limits.reported(now, x.Name, s.view.Pools[i].Load)
		}
	}
}

// step runs hostPlanner once and executes the operations that it returns.
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
	for _, op := range s.hostPlanner.Step(now, s.view) {
		switch op := op.(type) {
		case hostplan.Move, hostplan.Upkeep:
			orders = append(orders, op)
		case hostplan.WaveReport:
			s.reportWave(ctx, op)
		case hostplan.LogLine:
			s.node.log.Info(op.Message, op.Args...)
		}
	}
	if len(orders) > 0 {
		s.order(ctx, orders)
	}
}
