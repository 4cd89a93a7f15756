package node

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"fescuelanding/entry/hostplan"
	"fescuelanding/platform"
)

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
		s.post(ctx, func(now time.Time) { s.plan.HandleOrderResult(now, m, hostplan.NotSent) })
		return
	}
	s.give(ctx, op)
}

// append adds records to a topic, all or none.
func (s *shift) append(ctx context.Context, topic string, l []platform.Record) error {
	c, cancel := context.WithTimeout(ctx, _cloudTimeout)
	defer cancel()
	return s.node.store.Append(c, topic, 0, platform.Producer{}, l)
}

// keep has a record appended, again and again until that is confirmed, and then calls
// done. A repeat does no harm.
func (s *shift) keep(ctx context.Context, to *recorder, r platform.Record, done func()) {
	to.add(ctx, []platform.Record{r}, func(err error) {
		if err == nil {
			done()
			return
		}
		if s.node.pools.waveToken() != s.token {
			return
		}
		s.node.log.Info("Record was not appended.", "topic", to.topic, "key", r.Key, "err", err)
		time.AfterFunc(_planInterval, func() { s.keep(ctx, to, r, done) })
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
			r := platform.Record{Key: fmt.Sprintf("%d/%s", op.Wave, op.Machine), Value: []byte{1}}
			s.keep(ctx, s.records, r, func() {})
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
		r = hostplan.Unknown
	case code == http.StatusConflict && reason == platform.ReasonBusy:
		r = hostplan.Busy
	case code == http.StatusConflict || code == http.StatusBadRequest:
		r = hostplan.Refused
	default:
		r = hostplan.Unknown
	}
	s.node.log.Info("Host ordered.", "order", what, "machine", machine, "token", s.token, "err", err)
	s.post(ctx, func(now time.Time) { s.plan.HandleOrderResult(now, machine, r) })
}

func (s *shift) report(ctx context.Context, r hostplan.WaveReport) {
	v, err := platform.WaveStatus(r.Wave, r.Completed)
	if err != nil {
		s.node.log.Warn("Wave can't be reported.", "wave", r.Wave, "err", err)
		return
	}
	s.keep(ctx, s.statuses, v, func() {
		s.node.log.Info("Wave reported.", "wave", r.Wave, "completed", r.Completed)
	})
}
