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
	_controlRingSize = 64
	_controlTick     = 100 * time.Millisecond
)

// controller is the entry's control loop. At each tick it compares the view with
// the connections to peers and appends the records that are due. Each kind of
// append is a job, and at most one run of a job is in progress at a time.
type controller struct {
	daemon *Daemon
	// duty is the actor that runs the loop: it calls handle for each message.
	duty     *duty.Duty[message]
	ctx      context.Context
	cancel   context.CancelFunc
	jobs     map[string]*job
	detector failureDetector
}

// message is a message to the control loop.
type message interface{ isMessage() }

// tick is sent at each interval and after each new view.
type tick struct{}

func (tick) isMessage() {}

// jobEnded reports that a job has returned.
type jobEnded struct{ name string }

func (jobEnded) isMessage() {}

// liveList is a copy of the platform's live list, the list of running hosts and
// entries.
type liveList struct{ hosts []platform.LiveHost }

func (liveList) isMessage() {}

func (c *controller) start(s *actor.ActorSystem) error {
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.jobs = map[string]*job{}
	c.detector = failureDetector{self: c.daemon.self.Name}
	u, err := duty.Spawn(s, "control", _controlRingSize, duty.DropOldest, c.handle, duty.WithTick[message](_controlTick, tick{}))
	if err != nil {
		return fmt.Errorf("start control: %w", err)
	}
	c.duty = u
	return nil
}

func (c *controller) stop() {
	c.cancel()
	c.duty.Stop()
}

// liveHosts reads the platform's live list for the planner, and passes a copy to
// the control loop.
func (c *controller) liveHosts(ctx context.Context) ([]platform.LiveHost, error) {
	l, err := c.daemon.platform.Live(ctx)
	if err == nil && len(l) > 0 {
		_ = c.duty.Post(liveList{hosts: l})
	}
	return l, err
}

// viewChanged triggers a tick at once.
func (c *controller) viewChanged() {
	if c.duty != nil {
		_ = c.duty.Post(tick{})
	}
}

func (c *controller) handle(now time.Time, m message) {
	switch m := m.(type) {
	case jobEnded:
		if j := c.jobs[m.name]; j != nil {
			j.running, j.nextStart = false, now.Add(j.interval)
		}
		c.tick(now)
	case liveList:
		c.detector.addLiveList(now, m.hosts)
	case tick:
		c.tick(now)
	}
}

// tick updates the connections to peers and the freshness of the view, and
// starts the jobs that are due.
func (c *controller) tick(now time.Time) {
	d := c.daemon
	v := d.table.View()
	connected := c.connectedPeers(v)
	d.peers.SetPeers(c.wantedPeers(v))
	c.extendFreshness(now, v, connected)
	c.fetchRecords(now, connected)
	if d.leaving.Load() {
		c.confirmSteps(now, v)
		return
	}
	e, ok := v.Entry(d.self.Name)
	if !ok || e.Incarnation() != d.self.Incarnation {
		c.register(now)
		return
	}
	c.checkPeers(now, v, connected)
	c.confirmSteps(now, v)
	if e.Suspect() {
		c.liftSuspicion(now, v, connected)
		return
	}
	c.detector.recordNotSuspected()
	c.unregisterLost(now, v, connected)
}

// connectedPeers returns the status of the connected peers, by name. It leaves
// out a peer whose incarnation isn't the registered one: a connection to another
// process doesn't show that the registered one is running.
func (c *controller) connectedPeers(v *view.View) map[string]peer.Status {
	m := map[string]peer.Status{}
	for _, s := range c.daemon.peers.Peers() {
		e, ok := v.Entry(s.Entry())
		if s.Connected() && (!ok || e.Incarnation() == s.Incarnation()) {
			m[s.Entry()] = s
		}
	}
	return m
}

// wantedPeers returns the peers to connect to: the other registered entries, and
// those seeds, the peers named in the settings, that aren't registered.
func (c *controller) wantedPeers(v *view.View) []peer.Peer {
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

// confirmSteps confirms the steps, such as the drain of a host, that need this
// entry's confirmation, on hosts where the entry has no request in flight.
func (c *controller) confirmSteps(now time.Time, v *view.View) {
	d := c.daemon
	l := confirmableSteps(v, d.self.Name, d.table.Idle)
	if len(l) == 0 {
		return
	}
	c.startJob(now, "confirm", _controlTick, func(ctx context.Context) error {
		return d.appendRecord(ctx, &record.Record{Body: &record.Record_Confirm{
			Confirm: &record.Confirm{Entry: d.self.Name, Incarnation: d.self.Incarnation, Steps: l},
		}})
	})
}
