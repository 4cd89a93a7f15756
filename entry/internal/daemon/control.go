package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"fescuelanding/entry/internal/duty"
	"fescuelanding/entry/internal/view"
	"fescuelanding/entry/peer"
	"fescuelanding/fleet/platform"
	"fescuelanding/fleet/record"
)

const (
	_controlRing = 64
	_controlTick = 100 * time.Millisecond
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

func (tick) isMessage() {}

// ended says that a job is over.
type ended struct{ name string }

func (ended) isMessage() {}

// listed is the platform's list as it was read.
type listed struct{ hosts []platform.LiveHost }

func (listed) isMessage() {}

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
