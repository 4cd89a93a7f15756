package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/caller"
	"fescuelanding/entry/internal/duty"
	"fescuelanding/entry/internal/follow"
	"fescuelanding/entry/internal/hold"
	"fescuelanding/entry/internal/planner"
	"fescuelanding/entry/internal/remote"
	"fescuelanding/entry/internal/serve"
	"fescuelanding/entry/internal/settings"
	"fescuelanding/entry/internal/slots"
	"fescuelanding/entry/internal/view"
	"fescuelanding/entry/peer"
	"fescuelanding/entry/upstream"
	"fescuelanding/fleet/platform"
)

const (
	_heartbeat         = 200 * time.Millisecond
	_silentAfter       = 600 * time.Millisecond
	_retryFor          = 200 * time.Millisecond
	_headerTimeout     = 5 * time.Second
	_idleTimeout       = time.Minute
	_maxHeaderBytes    = 64 << 10
	_balancerDelay     = time.Second
	_handOverTimeout   = 3 * time.Second
	_settleTimeout     = 3 * time.Second
	_unregisterTimeout = 3 * time.Second
)

// Daemon is one process of an entry.
type Daemon struct {
	settings   settings.Settings
	self       broker.Entry
	log        *log.Logger
	platform   *platform.Client
	peers      *peer.Set
	remote     remote.Client
	table      *hold.Table
	dispatcher slots.Dispatcher
	follower   follow.Follower
	pipe       serve.Forwarder
	sender     upstream.Sender
	control    control
	planner    planner.Planner
	slotsFor   chan struct{}

	leaving atomic.Bool
	proved  atomic.Int64 // nanoseconds from start to the last proof of the log's head
	start   time.Time
	threads sync.WaitGroup
}

// New builds the daemon of checked settings. It opens nothing yet.
func New(s settings.Settings, l *log.Logger) *Daemon {
	now := time.Now()
	d := &Daemon{
		settings: s, log: l, start: now,
		self:     broker.Entry{Name: s.Name(), Incarnation: rand.Uint64() | 1},
		platform: platform.New(s.Platform(), platform.WithCallTimeout(s.PlatformTimeout()), platform.WithRetryFor(_retryFor)),
		slotsFor: make(chan struct{}, s.MaxRequests()),
	}
	d.table = hold.New(d.self, now)
	d.peers = peer.New(peer.Identity{Entry: d.self.Name, Incarnation: d.self.Incarnation, DataCentre: s.DataCentre()},
		peer.WithLog(l), peer.WithHeartbeat(_heartbeat, _silentAfter))
	d.remote = remote.Client{Self: d.self, Peers: d.peers}
	d.dispatcher = slots.Dispatcher{Self: d.self, FetchHolds: d.fetchHolds, Append: d.appendKeys, Log: l.WithPrefix("slots")}
	d.follower = follow.Follower{
		Read: d.readFleet, Publish: d.show, CaughtUp: d.prove, Log: l.WithPrefix("log"),
		Push: func(r []platform.Record) { d.peers.SendAll(remote.PushMessage(r)) },
	}
	d.pipe = serve.Forwarder{Self: d.self, Table: d.table, Slots: d.slots(), Sender: &d.sender}
	d.control.daemon = d
	d.planner = planner.Planner{
		Owner: d.mayPlan, State: d.follower.WithState, ListHosts: d.control.live, Append: d.appendAs, Log: l.WithPrefix("planner"),
	}
	server := &remote.Server{Dispatcher: &d.dispatcher, Table: d.table, Follower: &d.follower}
	d.peers.Handle = server.Handle
	d.peers.NextHeartbeat = d.beat
	return d
}

// Run serves until the context ends, then shuts down gracefully: no request is
// cut, and the entry is unregistered last.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	system := duty.System(d.log.WithPrefix("duty"))
	if err := d.dispatcher.Start(system); err != nil {
		return err
	}
	if err := d.control.begin(system); err != nil {
		return err
	}
	if err := d.planner.Start(system); err != nil {
		return err
	}
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	d.run(func() { d.follower.Run(inner) })
	d.run(func() { d.followKeys(inner) })
	d.run(func() { _ = d.peers.Serve(inner, listeners.peer) })
	admin := d.serveAdmin(listeners.admin)
	server := d.serveCallers(listeners.caller)
	d.log.Info("Entry started.", "entry", d.self.Name, "caller", listeners.caller.Addr())

	<-ctx.Done()
	d.shutDown(server)
	stop()
	d.planner.Stop()
	d.control.end()
	d.dispatcher.Stop()
	_ = admin.Close()
	d.threads.Wait()
	d.log.Info("Entry stopped.")
	return nil
}

// run starts a thread that Run waits for.
func (d *Daemon) run(f func()) { d.threads.Go(f) }

// listeners are the sockets of an entry.
type listeners struct{ caller, peer, admin net.Listener }

func (d *Daemon) listen() (l listeners, err error) {
	s := d.settings
	if l.caller, err = net.Listen("tcp", s.Caller().String()); err != nil {
		return l, fmt.Errorf("listen for callers: %w", err)
	}
	if l.peer, err = net.Listen("tcp", s.Peer().String()); err != nil {
		return l, fmt.Errorf("listen for peers: %w", err)
	}
	if l.admin, err = net.Listen("tcp", s.Admin().String()); err != nil {
		return l, fmt.Errorf("listen for admin: %w", err)
	}
	return l, nil
}

// serveCallers begins to take requests.
func (d *Daemon) serveCallers(l net.Listener) *http.Server {
	h := &caller.Handler{
		Ready: d.admits, LookupService: d.service, HasTeam: d.team, Serve: d.serve, MaxBody: d.settings.MaxBody(),
	}
	s := &http.Server{
		Handler: d.closing(h), ReadHeaderTimeout: _headerTimeout, IdleTimeout: _idleTimeout, MaxHeaderBytes: _maxHeaderBytes,
	}
	d.run(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("Callers can't be served.", "err", err)
		}
	})
	return s
}

// closing has a leaving entry's callers close their connections after the next
// answer. Closing idle ones from this side would cut the requests that are on
// their way.
func (d *Daemon) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if d.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, q)
	})
}

// serve bounds the requests that are open at once.
func (d *Daemon) serve(ctx context.Context, r caller.Request) caller.End {
	select {
	case d.slotsFor <- struct{}{}:
		defer func() { <-d.slotsFor }()
		return d.pipe.Serve(ctx, r)
	default:
		return caller.NotRun{Reason: "entryBusy", RetryAfter: time.Second}
	}
}

// admits reports whether requests are looked at. An unregistered entry, whose
// state may be a peer's, refuses them at once, since it must not send.
func (d *Daemon) admits() bool { return d.configured() && d.registered(d.table.View()) }

// registered reports whether a view has this process.
func (d *Daemon) registered(v *view.View) bool {
	e, ok := v.Entry(d.self.Name)
	return ok && e.Incarnation() == d.self.Incarnation
}

func (d *Daemon) configured() bool { return len(d.table.View().Config().Services()) > 0 }

// service finds a service and the deadline of a class.
func (d *Daemon) service(name, class string) (caller.Service, time.Duration, bool) {
	c := d.table.View().Config()
	s, ok := c.Service(name)
	if !ok {
		return caller.Service{}, 0, false
	}
	if class == "" {
		class = s.Class()
	}
	k, ok := c.Class(class)
	return caller.Service{
		Name: name, Pool: s.Pool(), Class: s.Class(), Idempotent: s.Idempotent(),
	}, k.Deadline(), ok
}

func (d *Daemon) team(name string) bool {
	_, ok := d.table.View().Config().Team(name)
	return ok
}

// shutDown stops in the order that cuts nothing: unready, ownership handed
// over, no more connections, requests finished, unregistered.
func (d *Daemon) shutDown(s *http.Server) {
	d.log.Info("Shutdown begins.")
	d.leaving.Store(true)
	time.Sleep(_balancerDelay)
	d.control.handOver(_handOverTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.ShutdownTimeout())
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		d.log.Error("Requests were cut.", "err", err)
	}
	d.waitForRequests(ctx)
	d.settleKeys()
	d.control.unregister(_unregisterTimeout)
}

// settleKeys waits for keys that are on their way to or from the log.
func (d *Daemon) settleKeys() {
	ctx, cancel := context.WithTimeout(context.Background(), _settleTimeout)
	defer cancel()
	if err := d.dispatcher.WaitKeysIdle(ctx); err != nil {
		d.log.Warn("Some keys stay started.", "err", err)
	}
}

// waitForRequests waits for attempts that go on without their caller.
func (d *Daemon) waitForRequests(ctx context.Context) {
	c := make(chan struct{})
	go func() {
		d.pipe.Wait()
		close(c)
	}()
	select {
	case <-c:
	case <-ctx.Done():
		d.log.Error("Attempts were cut.", "holds", d.table.Len())
	}
}

// show passes a view on: first to the gate, then to those who act by it.
func (d *Daemon) show(v *view.View) {
	old := d.table.View()
	d.table.SetView(v)
	d.dispatcher.SetView(v)
	d.newWitnesses(old, v)
	d.control.shown()
}

// prove notes that the state was at the log's head.
func (d *Daemon) prove(at time.Time) {
	d.proved.Store(int64(at.Sub(d.start)))
	d.table.SetFreshUntil(at.Add(d.stalenessBound()))
}

// proof returns when the log's head was last proved; ok is false for never.
func (d *Daemon) proof() (time.Time, bool) {
	n := d.proved.Load()
	return d.start.Add(time.Duration(n)), n != 0
}

// ready reports whether the balancer may send callers.
func (d *Daemon) ready(now time.Time) bool {
	return !d.leaving.Load() && d.admits() && d.table.IsFresh(now)
}

// mayPlan reports whether this process owns planning, and under which term.
func (d *Daemon) mayPlan() (uint64, bool) {
	o, ok := d.table.View().Planner()
	ok = ok && o.Entry() == d.self.Name && o.Incarnation() == d.self.Incarnation
	return o.Term(), ok && !d.leaving.Load() && d.table.IsFresh(time.Now())
}

// beat is the next heartbeat.
func (d *Daemon) beat(now time.Time) *peer.Heartbeat {
	age := int64(-1)
	if t, ok := d.proof(); ok {
		age = now.Sub(t).Milliseconds()
	}
	return &peer.Heartbeat{AppliedOffset: d.follower.Offset(), ProofAgeMs: age, Ready: d.ready(now)}
}
