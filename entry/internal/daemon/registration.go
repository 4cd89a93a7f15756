package daemon

import (
	"context"
	"time"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/internal/view"
	"fescuelanding/entry/peer"
	"fescuelanding/fleet/record"
)

const (
	_registerEvery = time.Second
	_suspectEvery  = time.Second
)

// register announces this process once it has read the log to its head.
func (c *control) register(now time.Time) {
	d := c.daemon
	if _, ok := d.proof(); !ok {
		return
	}
	c.start(now, "register", _registerEvery, func(ctx context.Context) error {
		return d.append(ctx, &record.Record{Body: &record.Record_EntryRegister{EntryRegister: &record.EntryRegister{
			Entry: d.self.Name, Incarnation: d.self.Incarnation, DataCentre: d.settings.DataCentre(),
			PeerAddress: d.settings.PeerAddress().String(), AdminAddress: d.settings.Admin().String(),
		}}})
	})
}

// judge accuses entries that are silent, and tells the dispatcher of them.
func (c *control) judge(now time.Time, v *view.View, heard map[string]peer.Status) {
	lost, accused := c.watch.silent(now, v, heard)
	for _, b := range lost {
		c.daemon.dispatcher.EntryLost(b)
	}
	for _, b := range accused {
		c.accuse(now, b)
	}
}

func (c *control) accuse(now time.Time, b broker.Entry) {
	c.start(now, "suspect "+b.Name, _suspectEvery, func(ctx context.Context) error {
		c.daemon.log.Warn("Entry is silent.", "entry", b.Name)
		return c.daemon.append(ctx, &record.Record{Body: &record.Record_EntrySuspect{
			EntrySuspect: &record.EntrySuspect{Entry: b.Name, Incarnation: b.Incarnation},
		}})
	})
}

// alive lifts a suspicion of this entry.
func (c *control) alive(now time.Time, v *view.View, heard map[string]peer.Status) {
	if !c.watch.alive(now, v, heard) {
		return
	}
	d := c.daemon
	c.start(now, "alive", _registerEvery, func(ctx context.Context) error {
		return d.append(ctx, &record.Record{Body: &record.Record_EntryAlive{
			EntryAlive: &record.EntryAlive{Entry: d.self.Name, Incarnation: d.self.Incarnation},
		}})
	})
}

// unregisterLost has the planner's entry unregister what is lost for good.
func (c *control) unregisterLost(now time.Time, v *view.View, heard map[string]peer.Status) {
	_, plans := c.daemon.mayPlan()
	l := c.watch.lost(now, v, heard)
	if !plans {
		return
	}
	for _, b := range l {
		c.start(now, "unregister "+b.Name, _registerEvery, func(ctx context.Context) error {
			return c.daemon.append(ctx, unregisterRecord(b, record.UnregisterCause_UNREGISTER_CAUSE_LOST))
		})
	}
}

// unregisterRecord ends the registration of a process.
func unregisterRecord(b broker.Entry, cause record.UnregisterCause) *record.Record {
	return &record.Record{Body: &record.Record_EntryUnregister{
		EntryUnregister: &record.EntryUnregister{Entry: b.Name, Incarnation: b.Incarnation, Cause: cause},
	}}
}

// handOver gives ownership away and waits until the log shows it.
func (c *control) handOver(limit time.Duration) {
	d := c.daemon
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	err := d.append(ctx, &record.Record{Body: &record.Record_EntryLeaving{
		EntryLeaving: &record.EntryLeaving{Entry: d.self.Name, Incarnation: d.self.Incarnation},
	}})
	if err != nil {
		d.log.Warn("Pools were not handed over.", "err", err)
		return
	}
	for ctx.Err() == nil {
		if e, ok := d.table.View().Entry(d.self.Name); !ok || e.Leaving() {
			return
		}
		time.Sleep(_controlTick / 10)
	}
}

// unregister ends this process's registration.
func (c *control) unregister(limit time.Duration) {
	d := c.daemon
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	err := d.append(ctx, unregisterRecord(d.self, record.UnregisterCause_UNREGISTER_CAUSE_LEFT))
	if err != nil {
		d.log.Warn("Entry stays registered.", "err", err)
	}
}
