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

// shift is the time for which this entry plans.
type shift struct {
	*waves
	token   int64
	plan    *hostplan.Planner
	results chan func(now time.Time)
	// records go to the planners' topic, statuses to the operator's.
	records, statuses *recorder
	view              hostplan.View
	// asked counts the rounds of questions.
	asked int64
	// listAt is when the hosts are listed next.
	listAt time.Time
	known  map[int64]bool
	begun  map[int64][]string
	ended  map[int64]bool
	// heard is when a former holder first heard of a wave: its time runs from then.
	heard map[int64]time.Time
}

// load reads how far former holders came.
func (s *shift) load(ctx context.Context) bool {
	c, cancel := context.WithTimeout(ctx, _cloudTimeout)
	defer cancel()
	b, err := s.node.store.Newest(c, _begunTopic, 0)
	if err != nil && platform.Status(err) != http.StatusNotFound {
		return false
	}
	s.begun, s.heard = make(map[int64][]string), make(map[int64]time.Time)
	for _, r := range b.Records {
		if m, ok := strings.CutPrefix(r.Key, _heardKey); ok {
			s.loadHeard(m, r.Value)
			continue
		}
		if m, ok := strings.CutPrefix(r.Key, _orderKey); ok {
			s.loadOrder(m, string(r.Value))
			continue
		}
		n, m, _ := strings.Cut(r.Key, "/")
		if v, err := strconv.ParseInt(n, 10, 64); err == nil {
			s.begun[v] = append(s.begun[v], m)
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

// loadOrder takes in the last order for a host: its time, and the upstream that it
// ends.
func (s *shift) loadOrder(machine, v string) {
	at, upstream, _ := strings.Cut(v, " ")
	ms, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		s.node.log.Warn("Order for a host can't be read.", "machine", machine, "err", err)
		return
	}
	s.plan.AddPriorOrder(machine, upstream, time.UnixMilli(ms))
}

// loadHeard takes in when a wave was first heard of.
func (s *shift) loadHeard(wave string, at []byte) {
	n, err := strconv.ParseInt(wave, 10, 64)
	ms, err2 := strconv.ParseInt(string(at), 10, 64)
	if err := errors.Join(err, err2); err != nil {
		s.node.log.Warn("Start of a wave can't be read.", "wave", wave, "err", err)
		return
	}
	s.heard[n] = time.UnixMilli(ms)
}

// declare has the planner know of a wave.
func (s *shift) declare(ctx context.Context, d declared) {
	at, known := s.heard[d.Number]
	if !known {
		at = d.at
		v := strconv.AppendInt(nil, at.UnixMilli(), 10)
		s.keep(ctx, s.records, platform.Record{Key: _heardKey + strconv.FormatInt(d.Number, 10), Value: v}, func() {})
	}
	s.plan.AddWave(at, d.Wave, s.begun[d.Number])
}

// look observes hosts and pools.
func (s *shift) look(ctx context.Context) {
	if now := time.Now(); !now.Before(s.listAt) {
		c, cancel := context.WithTimeout(ctx, _cloudTimeout)
		m, err := s.cloud.Machines(c)
		cancel()
		if err != nil {
			s.node.log.Info("Hosts can't be listed.", "err", err)
			return
		}
		s.view.Machines, s.view.ListedAt = m, now
		s.listAt = now.Add(max(_planInterval/2, time.Duration(len(m))*_listPerHost))
	}
	s.loads(ctx)
}

// loads asks the owners of the pools for their loads and tells them what is
// planned.
func (s *shift) loads(ctx context.Context) {
	var wg sync.WaitGroup
	p := s.node.config.Load().Pools
	s.view.Pools = make([]hostplan.Pool, len(p))
	now := time.Now()
	s.asked++
	for i, x := range p {
		s.view.Pools[i] = hostplan.Pool{Name: x.Name, Standby: x.Standby}
		if x.Standby {
			continue
		}
		w := s.plan.LoadRequest(now, x.Name)
		w.Token, w.Sequence = s.token, s.asked
		q := &link.Call{Pool: x.Name, Body: &link.Call_Load{Load: w}}
		wg.Go(func() {
			c, cancel := context.WithTimeout(ctx, _loadTimeout)
			defer cancel()
			// Who doesn't answer at once is asked again in the next round.
			a := s.node.askOnce(c, q)
			if a.GetOutcome() == link.Outcome_OUTCOME_NOT_OWNER {
				// A pool goes to its new owner after the change of the group that
				// was heard of.
				s.node.group.Refresh(ctx)
			}
			s.view.Pools[i].Load = a.GetLoad()
		})
	}
	wg.Wait()
}

// step plans and carries out.
func (s *shift) step(ctx context.Context) {
	if len(s.view.Machines) == 0 {
		return
	}
	now := time.Now()
	s.mu.Lock()
	for n, d := range s.declared {
		if !s.known[n] && !s.ended[n] {
			s.known[n] = true
			s.declare(ctx, d)
		}
	}
	s.mu.Unlock()
	var orders []hostplan.Op
	for _, op := range s.plan.Step(now, s.view) {
		switch op := op.(type) {
		case hostplan.Move, hostplan.Upkeep:
			orders = append(orders, op)
		case hostplan.WaveReport:
			s.report(ctx, op)
		case hostplan.LogLine:
			s.node.log.Info(op.Message, op.Args...)
		}
	}
	if len(orders) > 0 {
		s.order(ctx, orders)
	}
}
