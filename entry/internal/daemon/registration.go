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
	_registerInterval = time.Second
	_suspectInterval  = time.Second
)

// register registers this process once it has read the log to its head.
func (c *controller) register(now time.Time) {
	d := c.daemon
	if _, ok := d.lastHeadRead(); !ok {
		return
	}
	c.startJob(now, "register", _registerInterval, func(ctx context.Context) error {
		return d.appendRecord(ctx, &record.Record{Body: &record.Record_EntryRegister{EntryRegister: &record.EntryRegister{
			Entry: d.self.Name, Incarnation: d.self.Incarnation, DataCentre: d.settings.DataCentre(),
			PeerAddress: d.settings.PeerAddress().String(), AdminAddress: d.settings.Admin().String(),
		}}})
	})
}

// checkPeers reports disconnected entries to the dispatcher, and appends a
// suspicion of those that stay disconnected. A suspected entry loses its pools
// and the planning, but stays registered.
func (c *controller) checkPeers(now time.Time, v *view.View, connected map[string]peer.Status) {
	disconnected, suspects := c.detector.checkConnections(now, v, connected)
	for _, b := range disconnected {
		c.daemon.dispatcher.EntryLost(b)
	}
	for _, b := range suspects {
		c.suspect(now, b)
	}
}

func (c *controller) suspect(now time.Time, b broker.Entry) {
	c.startJob(now, "suspect "+b.Name, _suspectInterval, func(ctx context.Context) error {
		c.daemon.log.Warn("Entry is silent.", "entry", b.Name)
		return c.daemon.appendRecord(ctx, &record.Record{Body: &record.Record_EntrySuspect{
			EntrySuspect: &record.EntrySuspect{Entry: b.Name, Incarnation: b.Incarnation},
		}})
	})
}

// liftSuspicion lifts a suspicion of this entry once enough peers are connected
// again.
func (c *controller) liftSuspicion(now time.Time, v *view.View, connected map[string]peer.Status) {
	if !c.detector.shouldLiftSuspicion(now, v, connected) {
		return
	}
	d := c.daemon
	c.startJob(now, "alive", _registerInterval, func(ctx context.Context) error {
		return d.appendRecord(ctx, &record.Record{Body: &record.Record_EntryAlive{
			EntryAlive: &record.EntryAlive{Entry: d.self.Name, Incarnation: d.self.Incarnation},
		}})
	})
}

// unregisterLost unregisters entries that are lost for good, if this entry is
// the planner. Entries that aren't the planner call lost as well, because it
// records since when other entries have been disconnected.
func (c *controller) unregisterLost(now time.Time, v *view.View, connected map[string]peer.Status) {
	_, plans := c.daemon.mayPlan()
	l := c.detector.lost(now, v, connected)
	if !plans {
		return
	}
	for _, b := range l {
		c.startJob(now, "unregister "+b.Name, _registerInterval, func(ctx context.Context) error {
			return c.daemon.appendRecord(ctx, unregisterRecord(b, record.UnregisterCause_UNREGISTER_CAUSE_LOST))
		})
	}
}

// unregisterRecord returns a record that ends the registration of a process.
func unregisterRecord(b broker.Entry, cause record.UnregisterCause) *record.Record {
	return &record.Record{Body: &record.Record_EntryUnregister{
		EntryUnregister: &record.EntryUnregister{Entry: b.Name, Incarnation: b.Incarnation, Cause: cause},
	}}
}

// handOver gives up ownership of pools and planning. It returns once the view
// shows this entry as leaving, or when the limit has passed.
func (c *controller) handOver(limit time.Duration) {
	d := c.daemon
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	err := d.appendRecord(ctx, &record.Record{Body: &record.Record_EntryLeaving{
		EntryLeaving: &record.EntryLeaving{Entry: d.self.Name, Incarnation: d.self.Incarnation},
	}})
	if err != nil {
		d.log.Warn("Ownership of pools was not handed over; it moves when this entry unregisters or is suspected.", "err", err)
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
func (c *controller) unregister(limit time.Duration) {
	d := c.daemon
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	err := d.appendRecord(ctx, unregisterRecord(d.self, record.UnregisterCause_UNREGISTER_CAUSE_LEFT))
	if err != nil {
		d.log.Warn("Entry could not be unregistered; the planner unregisters it once it is missing from the platform's live list.", "err", err)
	}
}
