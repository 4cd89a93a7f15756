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
	"fescuelanding/entry/internal/intake"
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
	_heartbeatInterval = 200 * time.Millisecond
	_heartbeatTimeout  = 600 * time.Millisecond
	// _platformRetryTime bounds the retries of one call to the platform.
	_platformRetryTime = 200 * time.Millisecond
	_headerTimeout     = 5 * time.Second
	_idleTimeout       = time.Minute
	_maxHeaderBytes    = 64 << 10
	// _connsPerRequest is how many connections callers may have for each open request.
	_connsPerRequest = 2
	// _adminConns and _adminBytes limit the connections to the admin address.
	_adminConns          = 64
	_adminBytes          = 8 << 20
	_maxAdminHeaderBytes = 8 << 10
	// _loadBalancerDelay is how long a load balancer has to notice that the entry
	// isn't ready before the shutdown goes on.
	_loadBalancerDelay = time.Second
	_handOverTimeout   = 3 * time.Second
	_keyWritesTimeout  = 3 * time.Second
	_unregisterTimeout = 3 * time.Second
)

// Daemon is the running process of an entry. A restarted entry keeps its name and
// gets a new incarnation.
type Daemon struct {
	settings     settings.Settings
	self         broker.Entry
	log          *log.Logger
	platform     *platform.Client
	peers        *peer.Set
	remote       remote.Client
	table        *hold.Table
	dispatcher   slots.Dispatcher
	follower     follow.Follower
	forwarder    serve.Forwarder
	sender       upstream.Sender
	control      controller
	planner      planner.Planner
	openRequests chan struct{}

	// leaving is true once the shutdown has begun. From then on the entry isn't
	// ready, doesn't plan, and appends only confirmations and its own departure.
	leaving atomic.Bool
	// headReadAt is when the log was last read to its head, its newest record, in
	// nanoseconds since start; zero if it never was.
	headReadAt atomic.Int64
	start      time.Time
	goroutines sync.WaitGroup
}

// New returns a daemon with the given settings, as settings.Read returns them.
// It opens no sockets and starts no goroutines.
func New(s settings.Settings, l *log.Logger) *Daemon {
	now := time.Now()
	d := &Daemon{
		settings: s, log: l, start: now,
		self:         broker.Entry{Name: s.Name(), Incarnation: rand.Uint64() | 1}, // Zero stands for an unknown incarnation.
		platform:     platform.New(s.Platform(), platform.WithCallTimeout(s.PlatformTimeout()), platform.WithRetryFor(_platformRetryTime)),
		openRequests: make(chan struct{}, s.MaxRequests()),
	}
	d.table = hold.New(d.self, now)
	d.peers = peer.New(peer.Identity{Entry: d.self.Name, Incarnation: d.self.Incarnation, DataCentre: s.DataCentre()},
		peer.WithLog(l), peer.WithHeartbeat(_heartbeatInterval, _heartbeatTimeout))
	d.remote = remote.Client{Self: d.self, Peers: d.peers}
	d.dispatcher = slots.Dispatcher{Self: d.self, FetchHolds: d.fetchHolds, Append: d.appendKeys, Log: l.WithPrefix("slots")}
	d.follower = follow.Follower{
		Read: d.readFleet, Publish: d.setView, CaughtUp: d.setHeadRead, Log: l.WithPrefix("log"),
		Push: func(r []platform.Record) { d.peers.SendAll(remote.PushMessage(r)) },
	}
	d.forwarder = serve.Forwarder{Self: d.self, Table: d.table, Slots: d.slots(), Sender: &d.sender}
	d.control.daemon = d
	d.planner = planner.Planner{
		Owner: d.mayPlan, State: d.follower.WithState, ListHosts: d.control.liveHosts, Append: d.appendWithBasis, Log: l.WithPrefix("planner"),
	}
	server := &remote.Server{Dispatcher: &d.dispatcher, Table: d.table, Follower: &d.follower}
	d.peers.Handle = server.Handle
	d.peers.NextHeartbeat = d.heartbeat
	return d
}

// Run serves until the context ends, then shuts down gracefully: requests in
// flight may finish within the settings' time-out, and the entry is
// unregistered last. It returns an error only if it can't start.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	system := duty.System(d.log.WithPrefix("duty"))
	if err := d.dispatcher.Start(system); err != nil {
		return err
	}
	if err := d.control.start(system); err != nil {
		return err
	}
	if err := d.planner.Start(system); err != nil {
		return err
	}
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	d.spawn(func() { d.follower.Run(inner) })
	d.spawn(func() { d.followKeys(inner) })
	d.spawn(func() { _ = d.peers.Serve(inner, listeners.peer) })
	admin := d.serveAdmin(listeners.admin)
	server := d.serveCallers(listeners.caller)
	d.log.Info("Entry started.", "entry", d.self.Name, "caller", listeners.caller.Addr())

	<-ctx.Done()
	d.shutDown(server)
	stop()
	d.planner.Stop()
	d.control.stop()
	d.dispatcher.Stop()
	_ = admin.Close()
	d.goroutines.Wait()
	d.log.Info("Entry stopped.")
	return nil
}

// spawn starts a goroutine that Run waits for.
func (d *Daemon) spawn(f func()) { d.goroutines.Go(f) }

// listeners are the sockets of an entry.
type listeners struct{ caller, peer, admin net.Listener }

func (d *Daemon) listen() (l listeners, err error) {
	s := d.settings
	warn := func(err error) { d.log.Warn("Kernel's buffers for callers aren't limited.", "err", err) }
	if l.caller, err = intake.Listen(s.Caller().String(), warn); err != nil {
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

// serveCallers starts the server for callers.
func (d *Daemon) serveCallers(l net.Listener) *http.Server {
	h := &caller.Handler{
		Ready: d.acceptsRequests, LookupService: d.service, HasTeam: d.team, Serve: d.serve, MaxBody: d.settings.MaxBody(),
	}
	s := &http.Server{
		Handler: d.closeWhenLeaving(h), ReadHeaderTimeout: _headerTimeout, IdleTimeout: _idleTimeout, MaxHeaderBytes: _maxHeaderBytes,
	}
	b := &intake.Budget{
		Name: "callers", MaxBytes: d.settings.Memory(), MaxConns: _connsPerRequest * d.settings.MaxRequests(), Log: d.warn,
	}
	d.spawn(func() {
		if err := b.Serve(s, l); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("Server for callers failed; the entry accepts no more requests until it is restarted.", "err", err)
		}
	})
	return s
}

// warn logs a warning.
func (d *Daemon) warn(message string, pairs ...any) { d.log.Warn(message, pairs...) }

// closeWhenLeaving adds "Connection: close" to the responses of a leaving entry,
// so that callers close their connections. If the entry closed idle connections
// itself, requests that are already on their way would fail.
func (d *Daemon) closeWhenLeaving(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if d.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, q)
	})
}

// serve forwards a request, or refuses it while the maximum number of requests
// is open.
func (d *Daemon) serve(ctx context.Context, r caller.Request) caller.End {
	select {
	case d.openRequests <- struct{}{}:
		defer func() { <-d.openRequests }()
		return d.forwarder.Serve(ctx, r)
	default:
		return caller.NotRun{Reason: "entryBusy", RetryAfter: time.Second}
	}
}

// acceptsRequests reports whether requests are accepted. An unregistered entry
// refuses them at once. It must not send to hosts, because the steps on hosts
// don't wait for its confirmations. Its state may also come only from a peer and
// not be confirmed by the log yet.
func (d *Daemon) acceptsRequests() bool { return d.configured() && d.registered(d.table.View()) }

// registered reports whether this process is registered in a view.
func (d *Daemon) registered(v *view.View) bool {
	e, ok := v.Entry(d.self.Name)
	return ok && e.Incarnation() == d.self.Incarnation
}

func (d *Daemon) configured() bool { return len(d.table.View().Config().Services()) > 0 }

// service returns a service and the deadline of a class of requests. An empty
// class stands for the service's default class. The result is false if the service
// or the class isn't configured.
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

// shutDown stops the entry in an order that interrupts no request: the entry
// reports that it isn't ready, waits until the load balancer has had time to
// notice, hands over its ownership, closes the listener, finishes the requests
// in flight, and unregisters.
func (d *Daemon) shutDown(s *http.Server) {
	d.log.Info("Shutting down.")
	d.leaving.Store(true)
	time.Sleep(_loadBalancerDelay)
	d.control.handOver(_handOverTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.ShutdownTimeout())
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		d.log.Error("Some callers' requests did not finish before the shutdown time-out; they are cut off when the entry stops.", "err", err)
	}
	d.waitForRequests(ctx)
	d.waitForKeyWrites()
	d.control.unregister(_unregisterTimeout)
}

// waitForKeyWrites waits until this entry has read back every idempotency key
// that it is writing to the keys stream. Otherwise, the stream could mark a key as
// started although nothing was run for it, and repeats of that request would be
// refused until the key expires.
func (d *Daemon) waitForKeyWrites() {
	ctx, cancel := context.WithTimeout(context.Background(), _keyWritesTimeout)
	defer cancel()
	if err := d.dispatcher.WaitKeysIdle(ctx); err != nil {
		d.log.Warn("Writes of idempotency keys did not finish before the shutdown; requests with these keys may be refused as repeats until the keys expire.", "err", err)
	}
}

// waitForRequests waits for upstream attempts that continue after their caller
// has disconnected.
func (d *Daemon) waitForRequests(ctx context.Context) {
	c := make(chan struct{})
	go func() {
		d.forwarder.Wait()
		close(c)
	}()
	select {
	case <-c:
	case <-ctx.Done():
		d.log.Error("Some upstream attempts did not finish before the shutdown time-out; they are cut off when the entry stops.", "holds", d.table.Len())
	}
}

// setView passes a new view to the parts of the entry. The table of holds gets it
// first, so that no request is sent under an older view once the other parts act
// on the new one.
func (d *Daemon) setView(v *view.View) {
	old := d.table.View()
	d.table.SetView(v)
	d.dispatcher.SetView(v)
	d.updateWitnesses(old, v)
	d.control.viewChanged()
}

// setHeadRead records that the log was read to its head at the given time.
func (d *Daemon) setHeadRead(at time.Time) {
	d.headReadAt.Store(int64(at.Sub(d.start)))
	d.table.SetFreshUntil(at.Add(d.stalenessBound()))
}

// lastHeadRead returns when the log was last read to its head; ok is false if it
// never was.
func (d *Daemon) lastHeadRead() (time.Time, bool) {
	n := d.headReadAt.Load()
	return d.start.Add(time.Duration(n)), n != 0
}

// ready reports whether the load balancer may send callers to this entry.
func (d *Daemon) ready(now time.Time) bool {
	return !d.leaving.Load() && d.acceptsRequests() && d.table.IsFresh(now)
}

// mayPlan returns the planner's term, and whether this process may plan: it is
// the planner, isn't leaving, and has a fresh view.
func (d *Daemon) mayPlan() (uint64, bool) {
	o, ok := d.table.View().Planner()
	ok = ok && o.Entry() == d.self.Name && o.Incarnation() == d.self.Incarnation
	return o.Term(), ok && !d.leaving.Load() && d.table.IsFresh(time.Now())
}

// heartbeat returns the next heartbeat to peers. Its ProofAgeMs is the time since
// the log was last read to its head, or -1 if it never was.
func (d *Daemon) heartbeat(now time.Time) *peer.Heartbeat {
	age := int64(-1)
	if t, ok := d.lastHeadRead(); ok {
		age = now.Sub(t).Milliseconds()
	}
	return &peer.Heartbeat{AppliedOffset: d.follower.Offset(), ProofAgeMs: age, Ready: d.ready(now)}
}
