package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"fescuelanding/entry/hostplan"
	"fescuelanding/entry/link"
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

// shift is the time for which this entry plans.
type shift struct {
	*waves
	token   int64
	plan    *hostplan.Planner
	results chan func(now time.Time)
	records *recorder
	view    hostplan.View
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

// hold plans for as long as the duty is held.
func (w *waves) hold(ctx context.Context, token int64) {
	w.node.log.Info("Hosts are planned for here.", "token", token)
	b := w.node.bounds.Load()
	s := &shift{
		waves: w, token: token,
		plan: hostplan.New(hostplan.Settings{
			Move: b.Move, Upkeep: b.Upkeep, Lease: b.Lease,
			OrdersPerS: w.node.boot.Cloud.OrdersPerS,
		}),
		results: make(chan func(time.Time), _results), known: make(map[int64]bool),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.records = newRecorder(s.record)
	go s.records.run(ctx)
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
			if s.plan.Begun() {
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
	s.plan.Touched(machine, upstream, time.UnixMilli(ms))
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
		s.keep(ctx, platform.Record{Key: _heardKey + strconv.FormatInt(d.Number, 10), Value: v})
	}
	s.plan.Declare(at, d.Wave, s.begun[d.Number])
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
		w := s.plan.Wishes(now, x.Name)
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
		case hostplan.Report:
			go s.report(ctx, op)
		case hostplan.Note:
			s.node.log.Info(op.What, op.Pairs...)
		}
	}
	if len(orders) > 0 {
		s.order(ctx, orders)
	}
}

// post hands an answer to the planner.
func (s *shift) post(ctx context.Context, f func(time.Time)) {
	select {
	case s.results <- f:
	case <-ctx.Done():
	case <-time.After(_cloudTimeout):
		s.node.log.Warn("Answer about a host was dropped.")
	}
}

// order gives orders about hosts, once it is durable that they are given: a later
// holder leaves those hosts alone for a while.
func (s *shift) order(ctx context.Context, ops []hostplan.Op) {
	at := time.Now().UnixMilli()
	var records []platform.Record
	for _, op := range ops {
		m, u := subject(op)
		records = append(records, platform.Record{Key: _orderKey + m, Value: fmt.Appendf(nil, "%d %s", at, u)})
	}
	s.records.add(ctx, records, func(err error) {
		for _, op := range ops {
			go s.recorded(ctx, op, err)
		}
	})
}

// recorded gives an order if it is durable that it is given.
func (s *shift) recorded(ctx context.Context, op hostplan.Op, err error) {
	if err == nil && !s.node.pools.fresh(time.Now()) {
		err = errStale
	}
	if err != nil {
		m, _ := subject(op)
		s.node.log.Info("Host was not ordered.", "machine", m, "err", err)
		s.post(ctx, func(now time.Time) { s.plan.Ordered(now, m, hostplan.Unsent) })
		return
	}
	s.give(ctx, op)
}

// record appends to the planners' topic.
func (s *shift) record(ctx context.Context, l []platform.Record) error {
	c, cancel := context.WithTimeout(ctx, _cloudTimeout)
	defer cancel()
	return s.node.store.Append(c, _begunTopic, 0, platform.Producer{}, l)
}

// keep has a record appended, again and again until that is confirmed. A repeat does
// no harm.
func (s *shift) keep(ctx context.Context, r platform.Record) {
	s.records.add(ctx, []platform.Record{r}, func(err error) {
		if err == nil || s.node.pools.waveToken() != s.token {
			return
		}
		s.node.log.Info("Record was not appended.", "topic", _begunTopic, "key", r.Key, "err", err)
		time.AfterFunc(_planInterval, func() { s.keep(ctx, r) })
	})
}

// subject returns the host that an op is about, and the upstream that it ends.
func subject(op hostplan.Op) (machine, upstream string) {
	switch op := op.(type) {
	case hostplan.Move:
		return op.Machine, op.Upstream
	case hostplan.Upkeep:
		return op.Machine, op.Upstream
	}
	return "", ""
}

// give gives one order.
func (s *shift) give(ctx context.Context, op hostplan.Op) {
	c, cancel := context.WithTimeout(ctx, _cloudTimeout)
	defer cancel()
	switch op := op.(type) {
	case hostplan.Move:
		s.ordered(ctx, "move", op.Machine, s.cloud.Move(c, s.holder(), op.Machine, op.Pool))
	case hostplan.Upkeep:
		err := s.cloud.Upkeep(c, s.holder(), op.Machine, op.Wave)
		s.ordered(ctx, "upkeep", op.Machine, err)
		if err == nil {
			s.keep(ctx, platform.Record{Key: fmt.Sprintf("%d/%s", op.Wave, op.Machine), Value: []byte{1}})
		}
	}
}

func (s *shift) holder() platform.Holder {
	return platform.Holder{Name: s.node.boot.Host, Token: s.token}
}

// ordered takes in the answer to an order.
func (s *shift) ordered(ctx context.Context, what, machine string, err error) {
	r := hostplan.Done
	switch code, reason := platform.Status(err), platform.Reason(err); {
	case err == nil:
	case code == http.StatusConflict && reason == platform.ReasonFence:
		s.node.pools.loseWaves(s.token)
		r = hostplan.Unsure
	case code == http.StatusConflict && reason == platform.ReasonBusy:
		r = hostplan.Busy
	case code == http.StatusConflict || code == http.StatusBadRequest:
		r = hostplan.Refused
	default:
		r = hostplan.Unsure
	}
	s.node.log.Info("Host ordered.", "order", what, "machine", machine, "token", s.token, "err", err)
	s.post(ctx, func(now time.Time) { s.plan.Ordered(now, machine, r) })
}

func (s *shift) report(ctx context.Context, r hostplan.Report) {
	v, err := platform.WaveStatus(r.Wave, r.Completed)
	if err != nil {
		s.node.log.Warn("Wave can't be reported.", "wave", r.Wave, "err", err)
		return
	}
	s.append(ctx, v)
	s.node.log.Info("Wave reported.", "wave", r.Wave, "completed", r.Completed)
}

// append adds a record about a wave until that is confirmed. A repeat does no harm.
func (s *shift) append(ctx context.Context, r platform.Record) {
	for ctx.Err() == nil && s.node.pools.waveToken() == s.token {
		c, cancel := context.WithTimeout(ctx, _cloudTimeout)
		err := s.node.store.Append(c, platform.TopicStatus, 0, platform.Producer{}, []platform.Record{r})
		cancel()
		if err == nil {
			return
		}
		s.node.log.Info("Record was not appended.", "topic", platform.TopicStatus, "key", r.Key, "err", err)
		wait.For(ctx, _planInterval)
	}
}

// lost tells whether a call that failed may have been carried out.
func lost(err error) link.Outcome {
	if errors.Is(err, link.ErrNotSent) {
		return link.Outcome_OUTCOME_NOT_OWNER
	}
	return link.Outcome_OUTCOME_UNKNOWN
}
