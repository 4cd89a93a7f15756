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
	"fescuelanding/platform"
)

const (
	// _planInterval is how often hosts are planned for: a turn of a queue lasts
	// seconds, and so does a move.
	_planInterval = 200 * time.Millisecond
	// _cloudTimeout is when an order about a host is taken to be unanswered.
	_cloudTimeout = time.Second
	// _loadTimeout is when a pool is planned for without its owner's answer.
	_loadTimeout = 300 * time.Millisecond
	// _results bounds the answers that wait for the planner.
	_results = 256
	// _begunTopic holds the hosts of each wave whose upkeep has begun.
	_begunTopic = "keyed.upkeep"
	// _orderKey begins the keys of the last order for each host there.
	_orderKey = "order/"
)

// waves plans for all hosts while this entry is dealt that duty.
type waves struct {
	node  *Node
	cloud *platform.Cloud

	mu       sync.Mutex
	declared map[int64]declared
	// refused is the token with which orders were refused, as another holder's
	// was higher.
	refused int64
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
		if token > 0 && token != w.refused && w.node.config.Load() != nil {
			w.hold(ctx, token)
		}
		pause(ctx, _planInterval)
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// shift is the time for which this entry plans.
type shift struct {
	*waves
	token   int64
	plan    *hostplan.Planner
	results chan func(now time.Time)
	view    hostplan.View
	known   map[int64]bool
	begun   map[int64][]string
	ended   map[int64]bool
}

// hold plans for as long as the duty is held.
func (w *waves) hold(ctx context.Context, token int64) {
	w.node.log.Info("Hosts are planned for here.", "token", token)
	b := w.node.bounds.Load()
	s := &shift{
		waves: w, token: token,
		plan:    hostplan.New(hostplan.Settings{Move: b.Move, Upkeep: b.Upkeep, Lease: b.Lease}),
		results: make(chan func(time.Time), _results), known: make(map[int64]bool),
	}
	for ctx.Err() == nil && w.node.pools.waveToken() == token && !s.load(ctx) {
		pause(ctx, _planInterval)
	}
	t := time.NewTicker(_planInterval)
	defer t.Stop()
	for w.node.pools.waveToken() == token && token != w.refused {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.look(ctx)
		case f := <-s.results:
			f(time.Now())
		}
		s.step(ctx)
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
	s.begun = make(map[int64][]string)
	for _, r := range b.Records {
		if m, ok := strings.CutPrefix(r.Key, _orderKey); ok {
			if ms, err := strconv.ParseInt(string(r.Value), 10, 64); err == nil {
				s.plan.Touched(m, time.UnixMilli(ms))
			}
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

// look observes hosts and pools.
func (s *shift) look(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, _cloudTimeout)
	m, err := s.cloud.Machines(c)
	cancel()
	if err != nil {
		s.node.log.Info("Hosts can't be listed.", "err", err)
		return
	}
	s.view.Machines = m
	var wg sync.WaitGroup
	p := s.node.config.Load().Pools
	s.view.Pools = make([]hostplan.Pool, len(p))
	now := time.Now()
	for i, x := range p {
		s.view.Pools[i] = hostplan.Pool{Name: x.Name, Standby: x.Standby}
		if x.Standby {
			continue
		}
		q := &link.Call{Pool: x.Name, Body: &link.Call_Load{Load: &link.Load{Arrivals: s.plan.Arrivals(now, x.Name)}}}
		wg.Go(func() {
			c, cancel := context.WithTimeout(ctx, _loadTimeout)
			defer cancel()
			s.view.Pools[i].Load = s.node.ask(c, q).GetLoad()
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
			s.plan.Declare(d.at, d.Wave, s.begun[n])
		}
	}
	s.mu.Unlock()
	for _, op := range s.plan.Step(now, s.view) {
		switch op := op.(type) {
		case hostplan.Vacate:
			go s.vacate(ctx, op)
		case hostplan.Release:
			go s.tell(ctx, op.Pool, &link.Vacate{Upstream: op.Upstream, Release: true})
		case hostplan.Gone:
			go s.tell(ctx, op.Pool, &link.Vacate{Upstream: op.Upstream, Gone: true})
		case hostplan.Move:
			go s.move(ctx, op)
		case hostplan.Upkeep:
			go s.upkeep(ctx, op)
		case hostplan.Report:
			go s.report(ctx, op)
		case hostplan.Note:
			s.node.log.Info(op.What, op.Pairs...)
		}
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

func (s *shift) vacate(ctx context.Context, v hostplan.Vacate) {
	c, cancel := context.WithTimeout(ctx, _loadTimeout)
	defer cancel()
	a := s.node.ask(c, &link.Call{Pool: v.Pool, Body: &link.Call_Vacate{Vacate: &link.Vacate{Upstream: v.Upstream}}})
	if a.GetOutcome() == link.Outcome_OUTCOME_OK {
		s.post(ctx, func(time.Time) { s.plan.Vacated(v.Machine, a.GetVacant()) })
	}
}

// tell passes a word about an upstream on to the owner of its pool.
func (s *shift) tell(ctx context.Context, pool string, v *link.Vacate) {
	c, cancel := context.WithTimeout(ctx, _cloudTimeout)
	defer cancel()
	a := s.node.ask(c, &link.Call{Pool: pool, Body: &link.Call_Vacate{Vacate: v}})
	if a.GetOutcome() != link.Outcome_OUTCOME_OK {
		s.node.log.Info("Owner was not told.", "pool", pool, "upstream", v.GetUpstream(), "outcome", a.GetOutcome().String())
	}
}

func (s *shift) move(ctx context.Context, m hostplan.Move) {
	if !s.announce(ctx, m.Machine) {
		return
	}
	c, cancel := context.WithTimeout(ctx, _cloudTimeout)
	defer cancel()
	err := s.cloud.Move(c, s.holder(), m.Machine, m.Pool)
	s.ordered(ctx, "move", m.Machine, err)
}

func (s *shift) upkeep(ctx context.Context, u hostplan.Upkeep) {
	if !s.announce(ctx, u.Machine) {
		return
	}
	c, cancel := context.WithTimeout(ctx, _cloudTimeout)
	defer cancel()
	err := s.cloud.Upkeep(c, s.holder(), u.Machine, u.Wave)
	s.ordered(ctx, "upkeep", u.Machine, err)
	if err == nil {
		s.append(ctx, _begunTopic, platform.Record{Key: fmt.Sprintf("%d/%s", u.Wave, u.Machine), Value: []byte{1}})
	}
}

// announce appends that a host is about to be ordered, so that a later holder
// leaves it alone for a while.
func (s *shift) announce(ctx context.Context, machine string) bool {
	c, cancel := context.WithTimeout(ctx, _cloudTimeout)
	defer cancel()
	r := platform.Record{Key: _orderKey + machine, Value: strconv.AppendInt(nil, time.Now().UnixMilli(), 10)}
	err := s.node.store.Append(c, _begunTopic, 0, platform.Producer{}, []platform.Record{r})
	if err != nil {
		s.node.log.Info("Host was not ordered.", "machine", machine, "err", err)
		s.post(ctx, func(now time.Time) { s.plan.Ordered(now, machine, hostplan.Unsent) })
	}
	return err == nil
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
		s.mu.Lock()
		s.refused = s.token
		s.mu.Unlock()
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
	s.append(ctx, platform.TopicStatus, v)
	s.node.log.Info("Wave reported.", "wave", r.Wave, "completed", r.Completed)
}

// append adds a record until that is confirmed. A repeat does no harm.
func (s *shift) append(ctx context.Context, topic string, r platform.Record) {
	for ctx.Err() == nil && s.node.pools.waveToken() == s.token {
		c, cancel := context.WithTimeout(ctx, _cloudTimeout)
		err := s.node.store.Append(c, topic, 0, platform.Producer{}, []platform.Record{r})
		cancel()
		if err == nil {
			return
		}
		s.node.log.Info("Record was not appended.", "topic", topic, "key", r.Key, "err", err)
		pause(ctx, _planInterval)
	}
}

// lost tells whether a call that failed may have been carried out.
func lost(err error) link.Outcome {
	if errors.Is(err, link.ErrNotSent) {
		return link.Outcome_OUTCOME_NOT_OWNER
	}
	return link.Outcome_OUTCOME_UNKNOWN
}
