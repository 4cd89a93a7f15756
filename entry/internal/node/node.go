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
	"fescuelanding/entry/internal/feed"
	"fescuelanding/entry/internal/front"
	"fescuelanding/entry/internal/group"
	"fescuelanding/entry/internal/logging"
	"fescuelanding/entry/internal/owner"
	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

const (
	// _storeConns bounds the connections to the store: a long poll, the group,
	// the list of upstreams, and the journals of the pools owned here.
	_storeConns = 8
	// _orderConns bounds the connections for orders to an upstream: connections
	// are priced, and orders take a few milliseconds each.
	_orderConns = 2
	// _headerTimeout and _idleTimeout are for callers.
	_headerTimeout = 3 * time.Second
	_idleTimeout   = 30 * time.Second
	// _maxHeader is the operator's usual bound, in bytes.
	_maxHeader = 16 << 10
	// _graceMargin of the time between SIGTERM and SIGKILL is left unused.
	_graceMargin = 1500 * time.Millisecond
)

// Node is a running entry.
type Node struct {
	boot    platform.Boot
	log     *logging.Log
	system  *actor.ActorSystem
	store   *platform.Store
	clients owner.Clients
	group   *group.Group
	link    link.Client
	self    string

	bounds  atomic.Pointer[platform.Bounds]
	config  atomic.Pointer[activeConfig]
	closing atomic.Bool
	// ownerUnknownAt is when a request was refused last as its owner couldn't be learned
	// without the store, in Unix milliseconds.
	ownerUnknownAt atomic.Int64
	pools          pools
	upstreams      upstreamList
	planner        planner
}

// activeConfig is the newest configuration with what is derived from it.
type activeConfig struct {
	platform.Config
	table *front.Table
	// partition of each pool.
	partition map[string]int
}

// New returns an entry that hasn't started.
func New(b platform.Boot, g *logging.Log) *Node {
	s := platform.NewStore(b.Store.Address, _storeConns)
	n := &Node{
		boot: b, log: g, system: duty.System(nil), store: s,
		clients: owner.Clients{Store: s, Upstreams: platform.NewUpstreams(_orderConns)},
		self:    netip.AddrPortFrom(b.Address, b.FirstPort).String(),
	}
	n.bounds.Store(&b.Bounds)
	if b.Advice != "" {
		n.clients.Adviser = platform.NewAdviser(b.Advice)
	}
	n.pools.node, n.upstreams.node, n.planner.node = n, n, n
	n.group = group.New(s, n.self, strconv.FormatInt(time.Now().UnixNano(), 36), b.MilliCPU)
	n.group.OnChange = n.pools.applyChange
	n.group.OnRejoinNeeded = n.requestRejoin
	n.group.OnStoreStatus = func(err error) { n.logStoreStatus("group", err) }
	return n
}

func (n *Node) logStoreStatus(what string, err error) {
	if err != nil {
		n.log.Warn("Store was lost.", "for", what, "err", err)
		return
	}
	n.log.Info("Store was regained.", "for", what)
}

// Run serves until ctx ends, and then hands over and finishes what was begun.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("Entry starts.", "host", n.boot.Host, "dataCentre", n.boot.DataCentre, "peer", n.self)
	ls, err := n.listen()
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	s := &link.Server{Handle: n.handle}
	go func() { n.logServeError("link", s.Serve(work, ls.link)) }()
	callers := n.callers()
	go func() { n.logServeError("callers", callers.Serve(ls.callers)) }()
	balancer := &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: _headerTimeout}
	go func() { n.logServeError("ready", balancer.Serve(ls.ready)) }()

	joined, leave := context.WithCancel(work)
	go n.followOperator(work)
	go n.upstreams.run(work)
	go n.group.Run(joined)
	go n.planner.run(joined)
	go n.watchBoot(work)
	<-ctx.Done()
	n.shutdown(callers, leave)
	return nil
}

func (n *Node) logServeError(what string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.log.Warn("Listener ended.", "for", what, "err", err)
	}
}

// listeners of an entry.
type listeners struct{ callers, ready, link net.Listener }

func (n *Node) listen() (listeners, error) {
	var l listeners
	var err error
	if l.callers, err = net.Listen("tcp", n.boot.Caller.String()); err != nil {
		return l, fmt.Errorf("listen for callers: %w", err)
	}
	if l.ready, err = net.Listen("tcp", n.boot.Ready.String()); err != nil {
		return l, fmt.Errorf("listen for the balancer: %w", err)
	}
	if l.link, err = net.Listen("tcp", n.self); err != nil {
		return l, fmt.Errorf("listen for entries: %w", err)
	}
	return l, nil
}

// serveReady answers the balancer and serves the metrics.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/metrics" {
		metrics.WritePrometheus(w, true)
		return
	}
	stranded := time.Since(time.UnixMilli(n.ownerUnknownAt.Load())) < _unreadyFor
	if n.closing.Load() || n.config.Load() == nil || stranded {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) callers() *http.Server {
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
		CallOwner: n.callOwner, Locate: n.locate, Log: n.log.Info, Closing: n.closing.Load,
	}
	return &http.Server{
		Handler: f, ReadHeaderTimeout: _headerTimeout, IdleTimeout: _idleTimeout, MaxHeaderBytes: _maxHeader,
	}
}

// followOperator follows the configuration and the waves.
func (n *Node) followOperator(ctx context.Context) {
	t := feed.Follower{
		Store: n.store, Name: platform.TopicOperator,
		OnRecords: func(l []platform.Record, _ bool) {
			for _, r := range l {
				n.applyRecord(r)
			}
		},
		OnStoreStatus: func(err error) { n.logStoreStatus("configuration", err) },
	}
	t.Run(ctx)
}

// applyRecord takes in a record of the operator.
func (n *Node) applyRecord(r platform.Record) {
	if len(r.Value) == 0 {
		return
	}
	if r.Key != platform.KeyConfig {
		n.planner.addWave(r)
		return
	}
	c, err := platform.DecodeConfig(r.Value)
	if err != nil {
		n.log.Warn("Configuration can't be read.", "offset", r.Offset, "err", err)
		return
	}
	if old := n.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	n.config.Store(&activeConfig{Config: c, table: front.NewTable(c.Queues), partition: n.assignPartitions(c)})
	n.log.Info("Configuration is in force.", "version", c.Version, "queues", len(c.Queues), "pools", len(c.Pools))
	n.pools.applyConfig()
}

// _rejoinTimeout is when another entry is taken not to hear a nudge: it joins
// again soon anyway.
const _rejoinTimeout = 300 * time.Millisecond

// requestRejoin has the other members of the group join at once.
func (n *Node) requestRejoin() {
	told := map[string]bool{n.self: true}
	for _, m := range n.group.Owners() {
		a, _, _ := strings.Cut(m, "/")
		if told[a] {
			continue
		}
		told[a] = true
		go func() {
			c, cancel := context.WithTimeout(context.Background(), _rejoinTimeout)
			defer cancel()
			// One that doesn't hear it joins again soon anyway.
			_, _ = n.link.Call(c, a, &link.Call{Body: &link.Call_Rejoin{Rejoin: &link.Rejoin{}}})
		}()
	}
}

// shutdown hands the pools over and waits for requests that were begun.
func (n *Node) shutdown(callers *http.Server, leave context.CancelFunc) {
	begun := time.Now()
	n.log.Info("Entry stops.", "host", n.boot.Host)
	n.closing.Store(true)
	leave()
	n.pools.releaseAll()
	ctx, cancel := context.WithTimeout(context.Background(), max(n.bounds.Load().Grace-_graceMargin, time.Second))
	defer cancel()
	if err := n.group.Leave(ctx); err != nil {
		n.log.Warn("Group was not left.", "err", err)
	}
	n.requestRejoin()
	err := callers.Shutdown(ctx)
	n.log.Info("Entry stopped.", "tookMs", time.Since(begun).Milliseconds(), "err", err)
}
