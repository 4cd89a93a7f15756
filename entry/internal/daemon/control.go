package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/internal/duty"
	"fescuelanding/entry/internal/view"
	"fescuelanding/entry/peer"
	"fescuelanding/fleet/record"
)

const (
	_controlRing   = 64
	_controlTick   = 100 * time.Millisecond
	_jobTimeout    = 5 * time.Second
	_grace         = 2 * time.Second
	_registerEvery = time.Second
	_suspectEvery  = time.Second
	_aliveFirst    = time.Second
	_aliveLongest  = 30 * time.Second
	_fetchEvery    = 200 * time.Millisecond
	_outageGrace   = 3 * _controlTick
)

// control compares what the log says with what the entry sees, and appends
// what is due. Each kind of append runs as a job of its own, one at a time.
type control struct {
	daemon *Daemon
	duty   *duty.Duty[message]
	ctx    context.Context
	stop   context.CancelFunc
	jobs   map[string]*job
	// seen has when each process was first seen as registered.
	seen map[broker.Entry]time.Time
	// connected has the processes heard at the last tick.
	connected map[string]bool
	// aliveAfter is the pause before the next EntryAlive.
	aliveAfter   time.Duration
	suspectSince time.Time
	// silentSince has since when each process was not heard.
	silentSince map[broker.Entry]time.Time
}

// message is what the control duty receives.
type message interface{ isMessage() }

// tick comes at each interval, and whenever there is a newer view.
type tick struct{}

// ended says that a job is over.
type ended struct{ name string }

func (tick) isMessage()  {}
func (ended) isMessage() {}

// job is an append that is under way, or that rests until it may run again.
type job struct {
	running bool
	next    time.Time
	every   time.Duration
}

func (c *control) begin(s *actor.ActorSystem) error {
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.jobs = map[string]*job{}
	c.seen = map[broker.Entry]time.Time{}
	c.connected = map[string]bool{}
	c.silentSince = map[broker.Entry]time.Time{}
	c.aliveAfter = _aliveFirst
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
	c.fetch(now, v, heard)
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
	c.suspectSince = time.Time{}
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
	if outage && proved && c.majority(v, heard) {
		d.table.Fresh(now.Add(_outageGrace))
	}
}

// majority reports whether this entry and those it hears are more than half of
// the registered ones.
func (c *control) majority(v *view.View, heard map[string]peer.Status) bool {
	n := 1
	for _, e := range v.Entries() {
		if _, ok := heard[e.Name()]; ok {
			n++
		}
	}
	return 2*n > len(v.Entries())
}

// fetch takes records from a peer that is ahead while the log can't be read.
func (c *control) fetch(now time.Time, v *view.View, heard map[string]peer.Status) {
	if t, ok := c.daemon.proof(); ok && now.Sub(t) < time.Second {
		return
	}
	for n, s := range heard {
		if s.AppliedOffset() <= v.Offset() {
			continue
		}
		c.start(now, "fetch", _fetchEvery, func(ctx context.Context) error {
			l, err := c.daemon.remote.Fetch(ctx, n, v.Offset()+1)
			if err == nil {
				c.daemon.follower.Offer(l)
			}
			return err
		})
		return
	}
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
			PeerAddress: d.settings.Peer().String(), AdminAddress: d.settings.Admin().String(),
		}}})
	})
}

// judge accuses entries that are silent, and tells the desk of them.
func (c *control) judge(now time.Time, v *view.View, heard map[string]peer.Status) {
	d := c.daemon
	others := 0
	for _, e := range v.Entries() {
		b := broker.Entry{Name: e.Name(), Incarnation: e.Incarnation()}
		if _, ok := c.seen[b]; !ok {
			c.seen[b] = now
		}
		if b.Name != d.self.Name {
			others++
		}
	}
	for _, e := range v.Entries() {
		b := broker.Entry{Name: e.Name(), Incarnation: e.Incarnation()}
		_, ok := heard[b.Name]
		if b.Name == d.self.Name || ok {
			c.connected[b.Name] = ok
			continue
		}
		if c.connected[b.Name] {
			c.connected[b.Name] = false
			d.desk.Lost(b)
		}
		if now.Sub(c.seen[b]) < _grace || e.Suspect() || e.Leaving() || 2*len(heard) < others-1 {
			continue
		}
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

// unregisterLost has the planner's entry unregister suspects that neither it
// has heard nor the platform has listed for longer than the list lags and than
// an entry serves without proof of the log's head. Silence alone is not enough:
// a paused entry may have requests in flight, and its say holds up steps.
func (c *control) unregisterLost(now time.Time, v *view.View, heard map[string]peer.Status) {
	d := c.daemon
	_, plans := d.mayPlan()
	f := v.Config().Fleet()
	wait := max(f.LiveListLag(), f.StalenessBound())
	for _, e := range v.Entries() {
		b := broker.Entry{Name: e.Name(), Incarnation: e.Incarnation()}
		if _, ok := heard[b.Name]; ok || b.Name == d.self.Name {
			delete(c.silentSince, b)
			continue
		}
		t, ok := c.silentSince[b]
		if !ok {
			c.silentSince[b] = now
			continue
		}
		if !plans || !e.Suspect() || now.Sub(t) < wait || d.planner.OffListFor(b.Name) < wait || !c.majority(v, heard) {
			continue
		}
		c.start(now, "unregister "+b.Name, _registerEvery, func(ctx context.Context) error {
			return d.append(ctx, unregisterRecord(b, record.UnregisterCause_UNREGISTER_CAUSE_LOST))
		})
	}
}

// unregisterRecord ends the registration of a process.
func unregisterRecord(b broker.Entry, cause record.UnregisterCause) *record.Record {
	return &record.Record{Body: &record.Record_EntryUnregister{
		EntryUnregister: &record.EntryUnregister{Entry: b.Name, Incarnation: b.Incarnation, Cause: cause},
	}}
}

// alive lifts a suspicion of this entry once it hears most others again. The
// pause doubles each time, so that a flapping link doesn't move ownership about.
func (c *control) alive(now time.Time, v *view.View, heard map[string]peer.Status) {
	d := c.daemon
	if !c.majority(v, heard) && len(v.Entries()) > 2 {
		c.suspectSince = time.Time{}
		return
	}
	if c.suspectSince.IsZero() {
		c.suspectSince = now
	}
	if now.Sub(c.suspectSince) < c.aliveAfter {
		return
	}
	c.start(now, "alive", _registerEvery, func(ctx context.Context) error {
		return d.append(ctx, &record.Record{Body: &record.Record_EntryAlive{
			EntryAlive: &record.EntryAlive{Entry: d.self.Name, Incarnation: d.self.Incarnation},
		}})
	})
	c.aliveAfter = min(2*c.aliveAfter, _aliveLongest)
	c.suspectSince = now
}

// confirm tells the log of steps on hosts where nothing of this entry is in
// flight.
func (c *control) confirm(now time.Time, v *view.View) {
	d := c.daemon
	var l []*record.StepRef
	for _, s := range v.Steps() {
		if s.WaitsFor(d.self.Name) && d.table.Idle(s.Host()) {
			l = append(l, s.Ref())
		}
	}
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
