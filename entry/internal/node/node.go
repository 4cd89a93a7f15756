package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/asynkron/protoactor-go/actor"

	"fescuelanding/entry/internal/duty"
	"fescuelanding/entry/internal/front"
	"fescuelanding/entry/internal/group"
	"fescuelanding/entry/internal/intake"
	"fescuelanding/entry/internal/logging"
	"fescuelanding/entry/internal/owner"
	"fescuelanding/entry/link"
	"fescuelanding/entry/scheduler"
	"fescuelanding/platform"
)

const (
	// _storeConns limits the connections to the store. They are used by a long poll,
	// the group, the list of upstreams, and the journals of the owned pools. A call that is
	// repeated leaves its former connection open.
	_storeConns = 16
	// _orderConns limits the connections for orders to an upstream. The platform charges
	// for connections, and an order takes only a few milliseconds.
	_orderConns = 2
	// _graceMargin is the part of the time between SIGTERM and SIGKILL that shutdown
	// does not use.
	_graceMargin = 1500 * time.Millisecond
)

// Node is an entry.
type Node struct {
	// AcceptLate is the scheduler's setting of that name, for all pools. It is set before Run.
	AcceptLate bool

	boot    platform.Boot
	log     *logging.Log
	system  *actor.ActorSystem
	store   *platform.Store
	clients owner.Clients
	group   *group.Group
	link    link.Client
	self    string

	bounds atomic.Pointer[platform.Bounds]
	config atomic.Pointer[activeConfig]
	// confirmedAt is a time at which config was the newest.
	confirmedAt atomic.Pointer[time.Time]
	// unreadable is set while the newest configuration can't be decoded. Only the operator's
	// feed uses it.
	unreadable bool
	closing    atomic.Bool
	// ownerUnknownAt is the Unix time, in milliseconds, at which a request was last
	// refused because the pool's owner was unknown and the store did not answer.
	ownerUnknownAt atomic.Int64
	pools          pools
	upstreams      upstreamList
	planner        planner
}

// New returns an entry that logs to g. Run starts it.
func New(b platform.Boot, g *logging.Log) *Node {
	s := platform.NewStore(b.Store.Address, _storeConns)
	n := &Node{
		boot: b, log: g, system: duty.System(nil), store: s,
		clients: owner.Clients{Store: s, Upstreams: platform.NewUpstreams(_orderConns), Adviser: owner.NewAdviser(b.Advice)},
		self:    netip.AddrPortFrom(b.Address, b.FirstPort).String(),
	}
	n.bounds.Store(&b.Bounds)
	n.pools.node, n.upstreams.node, n.planner.node = n, n, n
	n.clients.CallOwner = n.callOwner
	n.group = group.New(s, n.self, strconv.FormatInt(time.Now().UnixNano(), 36), b.MilliCPU)
	n.group.OnJoined = n.pools.applyAssignment
	n.group.OnOthersMustRejoin = n.requestRejoin
	n.group.OnStoreStatus = func(err error) { n.logStoreStatus("group", err) }
	n.group.OnDelayed = func(d time.Duration) {
		g.Warn("Process stood still, or had no processor time.", "forMs", d.Milliseconds())
	}
	return n
}

func (n *Node) logStoreStatus(user string, err error) {
	if err != nil {
		n.log.Warn("Store does not answer; retrying.", "for", user, "err", err)
		return
	}
	n.log.Info("Store answers again.", "for", user)
}

// Run serves until ctx ends, and then releases the pools and completes the requests
// in progress. It fails if a listener can't be opened.
func (n *Node) Run(ctx context.Context) error {
	l := limitsOf(n.boot)
	l.limitHeap()
	n.log.Info("Entry is starting.", "host", n.boot.Host, "dataCentre", n.boot.DataCentre, "peer", n.self,
		"heapBytes", l.heap, "callerBytes", l.callerBytes, "callerConnections", l.callerConns)
	ls, err := n.listen()
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	s := &link.Server{Handle: n.handle}
	go func() { n.logServeError("link", s.Serve(work, ls.link)) }()
	callers, balancer := n.callerServer(), n.readyServer()
	callerBudget, readyBudget := l.callers(n.log), l.ready(n.log)
	go func() { n.logServeError("callers", callerBudget.Serve(callers, ls.callers)) }()
	go func() { n.logServeError("ready", readyBudget.Serve(balancer, ls.ready)) }()

	joined, leave := context.WithCancel(work)
	go n.operatorFeed().Run(work)
	go n.upstreams.run(work)
	go n.group.Run(joined)
	go n.planner.run(joined)
	go n.watchBoot(work)
	<-ctx.Done()
	n.shutdown(callers, leave)
	return nil
}

func (n *Node) logServeError(listener string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.log.Warn("Listener failed; the entry no longer serves on it.", "for", listener, "err", err)
	}
}

// listeners are the listeners of an entry.
type listeners struct{ callers, ready, link net.Listener }

func (n *Node) listen() (listeners, error) {
	var l listeners
	var err error
	warn := func(err error) { n.log.Warn("Kernel's buffers for callers aren't limited.", "err", err) }
	if l.callers, err = intake.Listen(n.boot.CallerAddress.String(), warn); err != nil {
		return l, fmt.Errorf("listen for callers: %w", err)
	}
	if l.ready, err = net.Listen("tcp", n.boot.ReadyAddress.String()); err != nil {
		return l, fmt.Errorf("listen for the load balancer: %w", err)
	}
	if l.link, err = net.Listen("tcp", n.self); err != nil {
		return l, fmt.Errorf("listen for other entries: %w", err)
	}
	return l, nil
}

func (n *Node) readyServer() *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: _headerTimeout, IdleTimeout: _idleTimeout,
		MaxHeaderBytes: _maxReadyHeaderBytes,
	}
}

// serveReady answers the load balancer's health check and serves the metrics.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/metrics" {
		metrics.WritePrometheus(w, true)
		return
	}
	ownerUnknown := time.Since(time.UnixMilli(n.ownerUnknownAt.Load())) < _unreadyFor
	if n.closing.Load() || n.config.Load() == nil || ownerUnknown || !n.guard().Fresh(time.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) callerServer() *http.Server {
	f := &front.Handler{
		FindQueue: func(host, path string) (platform.Queue, bool, bool) {
			c := n.config.Load()
			if c == nil {
				return platform.Queue{}, false, false
			}
			q, ok := c.table.Find(host, path)
			return q, ok, true
		},
		Limits: func() platform.Limits {
			if c := n.config.Load(); c != nil {
				return c.Limits
			}
			return platform.Limits{}
		},
		MaxJobBytes: scheduler.MaxJobBytes(n.boot.Store.RecordBytes, n.boot.Store.CallBytes),
		Authorize:   n.authorize, CallOwner: n.callOwner, Locate: n.locate, Log: n.log.Info, Closing: n.closing.Load,
	}
	return &http.Server{
		Handler: f, ReadHeaderTimeout: _headerTimeout, IdleTimeout: _idleTimeout, MaxHeaderBytes: _maxHeaderBytes,
	}
}

// _rejoinTimeout limits a request to another member to join again. A failed request is
// harmless, since every member joins again after member.JoinInterval anyway.
const _rejoinTimeout = 300 * time.Millisecond

// requestRejoin makes the other members join again at once, so that they learn of a
// change of the group.
func (n *Node) requestRejoin() {
	notified := map[string]bool{n.self: true}
	for _, m := range n.group.Owners() {
		a, _, _ := strings.Cut(m, "/")
		if notified[a] {
			continue
		}
		notified[a] = true
		go func() {
			c, cancel := context.WithTimeout(context.Background(), _rejoinTimeout)
			defer cancel()
			// Best effort: a member that misses this joins again soon.
			_, _ = n.link.Call(c, a, &link.Call{Body: &link.Call_Rejoin{Rejoin: &link.Rejoin{}}})
		}()
	}
}

// shutdown releases the pools and waits for requests in progress.
func (n *Node) shutdown(callers *http.Server, leave context.CancelFunc) {
	start := time.Now()
	n.log.Info("Entry is shutting down.", "host", n.boot.Host)
	n.closing.Store(true)
	leave()
	n.pools.releaseAll()
	ctx, cancel := context.WithTimeout(context.Background(), max(n.bounds.Load().Grace-_graceMargin, time.Second))
	defer cancel()
	if err := n.group.Leave(ctx); err != nil {
		n.log.Warn("Leaving the group failed; partitions are free once this entry's membership expires.", "err", err)
	}
	n.requestRejoin()
	err := callers.Shutdown(ctx)
	// err is nil if all requests of callers finished. A deadline error means that some
	// were cut off.
	n.log.Info("Entry stopped; err is the result of draining callers' requests.", "tookMs", time.Since(start).Milliseconds(), "err", err)
}
