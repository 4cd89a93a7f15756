package node

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"fescuelanding/entry/hostplan"
	"fescuelanding/entry/internal/hedge"
	"fescuelanding/platform"
)

// postResult queues a result for the planning loop. It drops the result if the loop
// does not take it within _cloudTimeout; no further order is sent for that host until
// another entry takes over planning.
func (s *term) postResult(ctx context.Context, f func(time.Time)) {
	select {
	case s.results <- f:
	case <-ctx.Done():
	case <-time.After(_cloudTimeout):
		s.node.log.Warn("Planning loop stalled, order result dropped; host gets no orders until another entry plans.")
	}
}

// order records orders for hosts durably and then sends them. The cloud may execute an
// order late, after another entry has begun to plan. That entry reads the records, and
// sends no order for a host until Bounds.HolderLease and an allowance for clock skew
// have passed since the recorded time.
func (s *term) order(ctx context.Context, ops []hostplan.Op) {
	at := time.Now().UnixMilli()
	var records []platform.Record
	for _, op := range ops {
		m, u := target(op)
		records = append(records, platform.Record{Key: _orderKey + m, Value: fmt.Appendf(nil, "%d %s", at, u)})
	}
	s.records.add(ctx, records, func(err error) {
		for _, op := range ops {
			go s.sendRecorded(ctx, op, err)
		}
	})
}

// sendRecorded sends an order if it was recorded (err is nil) and the store confirmed
// recently that this entry plans. Otherwise it reports the order as not sent.
func (s *term) sendRecorded(ctx context.Context, op hostplan.Op, err error) {
	if err == nil && !s.node.pools.recentlyConfirmed(time.Now()) {
		err = errStale
	}
	if err != nil {
		m, _ := target(op)
		s.node.log.Info("Order for a host was not sent.", "machine", m, "err", err)
		s.postResult(ctx, func(now time.Time) { s.hostPlanner.HandleOrderResult(now, m, hostplan.NotSent) })
		return
	}
	s.send(ctx, op)
}

// append appends records to a topic atomically.
func (s *term) append(ctx context.Context, topic string, l []platform.Record) error {
	c, cancel := context.WithTimeout(ctx, _cloudTimeout)
	defer cancel()
	return s.appendAs(c, topic, platform.Producer{}, l)
}

// appendAs appends records atomically as a producer. An append without an answer is repeated.
func (s *term) appendAs(ctx context.Context, topic string, p platform.Producer, l []platform.Record) error {
	_, err := hedge.Do(ctx, &s.appends, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.node.store.Append(ctx, topic, 0, p, l)
	})
	return err
}

// appendNumbered appends records to _upkeepTopic atomically, unless a later planning
// entry has begun to read them.
func (s *term) appendNumbered(ctx context.Context, topic string, l []platform.Record) error {
	c, cancel := context.WithTimeout(ctx, _cloudTimeout)
	defer cancel()
	err := s.appendAs(c, topic, s.numbering.Next(), l)
	if err != nil || len(l) > 0 {
		s.numbering.Answered(err)
	}
	if platform.Reason(err) == platform.ReasonFenced {
		s.node.pools.losePlanner(s.token)
	}
	return err
}

// appendWithRetry appends a record, retrying until that succeeds or this term ends,
// and then calls done. Only the newest record of a key counts, so a repeated append is
// harmless.
func (s *term) appendWithRetry(ctx context.Context, to *recorder, r platform.Record, done func()) {
	to.add(ctx, []platform.Record{r}, func(err error) {
		if err == nil {
			done()
			return
		}
		if s.node.pools.plannerToken() != s.token {
			return
		}
		s.node.log.Info("Record was not appended; retrying.", "topic", to.topic, "key", r.Key, "err", err)
		time.AfterFunc(_planInterval, func() { s.appendWithRetry(ctx, to, r, done) })
	})
}

// target returns the host of an order and the upstream on it, which the order
// terminates.
func target(op hostplan.Op) (machine, upstream string) {
	switch op := op.(type) {
	case hostplan.Move:
		return op.Machine, op.Upstream
	case hostplan.Upkeep:
		return op.Machine, op.Upstream
	}
	return "", ""
}

// send sends one order to the cloud.
func (s *term) send(ctx context.Context, op hostplan.Op) {
	c, cancel := context.WithTimeout(ctx, _cloudTimeout)
	defer cancel()
	switch op := op.(type) {
	case hostplan.Move:
		s.handleResponse(ctx, "move", op.Machine, s.cloud.Move(c, s.holder(), op.Machine, op.Pool))
	case hostplan.Upkeep:
		err := s.cloud.Upkeep(c, s.holder(), op.Machine, op.Wave)
		s.handleResponse(ctx, "upkeep", op.Machine, err)
		if err == nil {
			// The record shows a later planning entry that the host's maintenance in this
			// wave has begun.
			r := platform.Record{Key: fmt.Sprintf("%d/%s", op.Wave, op.Machine), Value: []byte{1}}
			s.appendWithRetry(ctx, s.records, r, func() {})
		}
	}
}

func (s *term) holder() platform.Holder {
	return platform.Holder{Name: s.node.boot.Host, Token: s.token}
}

// handleResponse classifies the response to an order and passes the class to the
// planning loop. A fencing error means that a later entry has begun to plan.
func (s *term) handleResponse(ctx context.Context, order, machine string, err error) {
	r := hostplan.Done
	switch code, reason := platform.Status(err), platform.Reason(err); {
	case err == nil:
	case code == http.StatusConflict && reason == platform.ReasonFence:
		s.node.pools.losePlanner(s.token)
		r = hostplan.Unknown
	case code == http.StatusConflict && reason == platform.ReasonBusy:
		r = hostplan.Busy
	case code == http.StatusConflict || code == http.StatusBadRequest:
		r = hostplan.Refused
	default:
		r = hostplan.Unknown
	}
	// err is nil if the order succeeded; status 400, or 409 without ReasonBusy or
	// ReasonFence, means that it was rejected. Status 409 with ReasonBusy means busy;
	// after any other error its outcome is unknown.
	s.node.log.Info("Order for a host was attempted; see err for the outcome.", "order", order, "machine", machine, "token", s.token, "err", err)
	s.postResult(ctx, func(now time.Time) { s.hostPlanner.HandleOrderResult(now, machine, r) })
}

func (s *term) reportWave(ctx context.Context, r hostplan.WaveReport) {
	v, err := platform.WaveStatus(r.Wave, r.Completed)
	if err != nil {
		s.node.log.Warn("Status of a wave can't be encoded; not reported.", "wave", r.Wave, "err", err)
		return
	}
	s.appendWithRetry(ctx, s.statuses, v, func() {
		s.node.log.Info("Status of a wave was reported.", "wave", r.Wave, "completed", r.Completed)
	})
}
