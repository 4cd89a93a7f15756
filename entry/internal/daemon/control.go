package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/internal/duty"
	"fescuelanding/entry/internal/remote"
	"fescuelanding/entry/internal/view"
	"fescuelanding/entry/peer"
	"fescuelanding/fleet/platform"
	"fescuelanding/fleet/record"
)

const (
	_controlRing   = 64
	_controlTick   = 100 * time.Millisecond
	_jobTimeout    = 5 * time.Second
	_registerEvery = time.Second
	_suspectEvery  = time.Second
	_fetchEvery    = 200 * time.Millisecond
	// _logFirst is how long the log may be silent before peers are asked.
	_logFirst    = time.Second
	_outageGrace = 3 * _controlTick
)

// control compares what the log says with what the entry sees, and appends
// what is due. Each kind of append runs as a job of its own, one at a time.
type control struct {
	daemon *Daemon
	duty   *duty.Duty[message]
	ctx    context.Context
	stop   context.CancelFunc
	jobs   map[string]*job
	watch  watch
}

// message is what the control duty receives.
type message interface{ isMessage() }

// tick comes at each interval, and whenever there is a newer view.
type tick struct{}

// ended says that a job is over.
type ended struct{ name string }

func (tick) isMessage() {}

// listed is the platform's list as it was read.
type listed struct{ hosts []platform.LiveHost }

func (listed) isMessage() {}
func (ended) isMessage()  {}

// job is an append that is under way, or that rests until it may run again.
type job struct {
	running bool
	next    time.Time
	every   time.Duration
}

func (c *control) begin(s *actor.ActorSystem) error {
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.jobs = map[string]*job{}
	c.watch = watch{self: c.daemon.self.Name}
	u, err := duty.Spawn(s, "control", _controlRing, duty.DropOldest, c.handle, duty.WithTick[message](_controlTick, tick{}))
	if err != nil {
		return fmt.Errorf("start control: %w", err)
	}
	c.duty = u
	return nil
}

func (c *control) end() {
	c.stop()
	c.duty.Stop()
}

// live reads the platform's list for the planner, and looks at it too.
func (c *control) live(ctx context.Context) ([]platform.LiveHost, error) {
	l, err := c.daemon.platform.Live(ctx)
	if err == nil && len(l) > 0 {
		_ = c.duty.Post(listed{hosts: l})
	}
	return l, err
}

// shown has the duty look again at once.
func (c *control) shown() {
	if c.duty != nil {
		_ = c.duty.Post(tick{})
	}
}

func (c *control) handle(now time.Time, m message) {
	switch m := m.(type) {
	case ended:
		if j := c.jobs[m.name]; j != nil {
			j.running, j.next = false, now.Add(j.every)
		}
		c.tick(now)
	case listed:
		c.watch.listed(now, m.hosts)
	case tick:
		c.tick(now)
	}
}

// start runs a job unless it runs already or ran within the interval.
func (c *control) start(now time.Time, name string, every time.Duration, f func(context.Context) error) {
	j := c.jobs[name]
	if j == nil {
		j = &job{}
		c.jobs[name] = j
	}
	if j.running || now.Before(j.next) {
		return
	}
	j.running, j.every = true, every
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, _jobTimeout)
		defer cancel()
		if err := f(ctx); err != nil {
			c.daemon.log.Warn("Job failed.", "job", name, "err", err)
		}
		for errors.Is(c.duty.Post(ended{name: name}), duty.ErrFull) {
			time.Sleep(time.Millisecond)
		}
	}()
}

// tick looks at everything that may be due.
func (c *control) tick(now time.Time) {
	d := c.daemon
	v := d.table.View()
	heard := c.heard(v)
	d.peers.SetPeers(c.wanted(v))
	c.refresh(now, v, heard)
	c.fetch(now, heard)
	if d.leaving.Load() {
		c.confirm(now, v)
		return
	}
	e, ok := v.Entry(d.self.Name)
	if !ok || e.Incarnation() != d.self.Incarnation {
		c.register(now)
		return
	}
	c.judge(now, v, heard)
	c.confirm(now, v)
	if e.Suspect() {
		c.alive(now, v, heard)
		return
	}
	c.watch.cleared()
	c.unregisterLost(now, v, heard)
}

// heard returns the status of the connected peers, by name.
func (c *control) heard(v *view.View) map[string]peer.Status {
	m := map[string]peer.Status{}
	for _, s := range c.daemon.peers.Peers() {
		e, ok := v.Entry(s.Entry())
		if s.Connected() && (!ok || e.Incarnation() == s.Incarnation()) {
			m[s.Entry()] = s
		}
	}
	return m
}

// wanted returns the peers to be connected with: those registered, and the
// seeds while nobody is.
func (c *control) wanted(v *view.View) []peer.Peer {
	var l []peer.Peer
	for _, e := range v.Entries() {
		if e.Name() != c.daemon.self.Name {
			l = append(l, peer.Peer{Entry: e.Name(), Address: e.PeerAddress(), Incarnation: e.Incarnation()})
		}
	}
	for _, s := range c.daemon.settings.Seeds() {
		if _, ok := v.Entry(s.Name()); !ok {
			l = append(l, peer.Peer{Entry: s.Name(), Address: s.Address().String()})
		}
	}
	return l
}

// refresh proves the view's age by what peers prove, or by their all lacking
// proof alike: then the log is out and nothing can have changed.
func (c *control) refresh(now time.Time, v *view.View, heard map[string]peer.Status) {
	d := c.daemon
	bound := d.stalenessBound()
	outage := true
	if t, ok := d.proof(); ok && now.Sub(t) < bound/2 {
		outage = false
	}
	for _, s := range heard {
		if s.ProofAge() < 0 {
			continue
		}
		at := s.Heard().Add(-s.ProofAge())
		if now.Sub(at) < bound/2 {
			outage = false
		}
		if s.AppliedOffset() <= v.Offset() {
			d.table.Fresh(at.Add(bound))
		}
	}
	_, proved := d.proof()
	if outage && proved && majority(v, heard) {
		d.table.Fresh(now.Add(_outageGrace))
	}
}

// fetch takes what the furthest peer is ahead, while the log can't be read or
// has dropped what this entry needs. It is no proof of the log's head, and does
// not register: an entry that others don't wait for must not send.
func (c *control) fetch(now time.Time, heard map[string]peer.Status) {
	d := c.daemon
	last, ok := d.proof()
	if !ok {
		last = d.start // The log comes first.
	}
	if now.Sub(last) < _logFirst {
		return
	}
	from := d.follower.Offset()
	entry, ok := furthest(heard, from)
	if !ok {
		return
	}
	c.start(now, "fetch", _fetchEvery, func(ctx context.Context) error {
		if from == 0 {
			return c.restore(ctx, entry)
		}
		l, err := d.remote.Fetch(ctx, entry, from+1)
		if errors.Is(err, remote.ErrExpired) {
			return c.restore(ctx, entry)
		}
		d.follower.Offer(l)
		return err
	})
}

// restore takes the state of a peer.
func (c *control) restore(ctx context.Context, entry string) error {
	l, err := c.daemon.remote.FetchCheckpoint(ctx, entry)
	if err != nil {
		return err
	}
	if err := c.daemon.follower.Restore(l); err != nil {
		return fmt.Errorf("take state of %s: %w", entry, err)
	}
	c.daemon.log.Info("State was taken from a peer.", "entry", entry, "offset", l[0].GetAtOffset())
	return nil
}

// furthest returns the connected peer that has applied most, if that is more
// than the offset.
func furthest(heard map[string]peer.Status, offset uint64) (entry string, ok bool) {
	for n, s := range heard {
		if s.AppliedOffset() > offset {
			entry, offset, ok = n, s.AppliedOffset(), true
		}
	}
	return entry, ok
}

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

// judge accuses entries that are silent, and tells the desk of them.
func (c *control) judge(now time.Time, v *view.View, heard map[string]peer.Status) {
	lost, accused := c.watch.silent(now, v, heard)
	for _, b := range lost {
		c.daemon.desk.Lost(b)
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

// confirm tells the log of steps on hosts where nothing of this entry is in
// flight.
func (c *control) confirm(now time.Time, v *view.View) {
	d := c.daemon
	l := confirmed(v, d.self.Name, d.table.Idle)
	if len(l) == 0 {
		return
	}
	c.start(now, "confirm", _controlTick, func(ctx context.Context) error {
		return d.append(ctx, &record.Record{Body: &record.Record_Confirm{
			Confirm: &record.Confirm{Entry: d.self.Name, Incarnation: d.self.Incarnation, Steps: l},
		}})
	})
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
