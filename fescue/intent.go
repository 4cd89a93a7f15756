package main

import (
	"context"

	"fescuelanding/fleet/record"
)

// loadAndSubmit reads the fleet and submits one record.
func (r *run) loadAndSubmit(ctx context.Context, m *record.Record) error {
	limited, cancel := r.withTimeout(ctx)
	defer cancel()
	h, err := r.load(limited)
	if err != nil {
		return err
	}
	return r.submit(ctx, h, m)
}

func drain(ctx context.Context, r *run) error   { return r.setDrain(ctx, true) }
func undrain(ctx context.Context, r *run) error { return r.setDrain(ctx, false) }

func (r *run) setDrain(ctx context.Context, drain bool) error {
	i := &record.DrainIntent{Host: r.args[0], Drain: drain}
	return r.loadAndSubmit(ctx, &record.Record{Body: &record.Record_DrainIntent{DrainIntent: i}})
}

func move(ctx context.Context, r *run) error {
	const hostAndPool = 2
	cancelled := r.flags.Bool(_flagCancel)
	if cancelled == (len(r.args) == hostAndPool) {
		return usagef("give a host and a pool, or --%s and a host", _flagCancel)
	}
	i := &record.MoveIntent{Host: r.args[0]}
	if !cancelled {
		i.ToPool = r.args[1]
	}
	return r.loadAndSubmit(ctx, &record.Record{Body: &record.Record_MoveIntent{MoveIntent: i}})
}

func recallStart(ctx context.Context, r *run) error {
	s := &record.RecallStart{Recall: r.args[0], Batch: r.flags.String(_flagBatch)}
	return r.loadAndSubmit(ctx, &record.Record{Body: &record.Record_RecallStart{RecallStart: s}})
}

func recallCancel(ctx context.Context, r *run) error {
	c := &record.RecallCancel{Recall: r.args[0]}
	return r.loadAndSubmit(ctx, &record.Record{Body: &record.Record_RecallCancel{RecallCancel: c}})
}

func waveStart(ctx context.Context, r *run) error {
	s := &record.WaveStart{Wave: r.args[0], Pools: r.args[1:]}
	return r.loadAndSubmit(ctx, &record.Record{Body: &record.Record_WaveStart{WaveStart: s}})
}

func waveCancel(ctx context.Context, r *run) error {
	c := &record.WaveCancel{Wave: r.args[0]}
	return r.loadAndSubmit(ctx, &record.Record{Body: &record.Record_WaveCancel{WaveCancel: c}})
}

func unregister(ctx context.Context, r *run) error {
	limited, cancel := r.withTimeout(ctx)
	defer cancel()
	h, err := r.load(limited)
	if err != nil {
		return err
	}
	// An unknown entry has incarnation zero, for which the guard rejects the record.
	e, _ := h.state.Entry(r.args[0])
	u := &record.EntryUnregister{
		Entry: r.args[0], Incarnation: e.Incarnation(), Cause: record.UnregisterCause_UNREGISTER_CAUSE_OPERATOR,
	}
	return r.submit(ctx, h, &record.Record{Body: &record.Record_EntryUnregister{EntryUnregister: u}})
}
