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
	boot   platform.Boot
	log    *logging.Log
	system *actor.ActorSystem
	store  *platform.Store
	peers  owner.Clients
	group  *group.Group
	link   link.Client
	self   string

	bounds  atomic.Pointer[platform.Bounds]
	config  atomic.Pointer[configured]
	closing atomic.Bool
	// stranded is when a request was refused last as its owner couldn't be learned
	// without the store, in Unix milliseconds.
	stranded atomic.Int64
	pools    pools
	list     list
	waves    waves
}

// configured is the newest configuration with what is derived from it.
type configured struct {
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
		peers: owner.Clients{Store: s, Upstreams: platform.NewUpstreams(_orderConns)},
		self:  netip.AddrPortFrom(b.Address, b.FirstPort).String(),
	}
	n.bounds.Store(&b.Bounds)
	if b.Advice != "" {
		n.peers.Adviser = platform.NewAdviser(b.Advice)
	}
	n.pools.node, n.list.node, n.waves.node = n, n, n
	n.group = group.New(s, n.self, strconv.FormatInt(time.Now().UnixNano(), 36), b.MilliCPU)
	n.group.OnChange = n.pools.change
	n.group.OnRejoinNeeded = n.nudge
	n.group.OnStoreStatus = func(err error) { n.trouble("group", err) }
	return n
}

func (n *Node) trouble(what string, err error) {
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
	go func() { n.report("link", s.Serve(work, ls.link)) }()
	callers := n.callers()
	go func() { n.report("callers", callers.Serve(ls.callers)) }()
	balancer := &http.Server{Handler: http.HandlerFunc(n.ready), ReadHeaderTimeout: _headerTimeout}
	go func() { n.report("ready", balancer.Serve(ls.ready)) }()

	joined, leave := context.WithCancel(work)
	go n.operator(work)
	go n.list.run(work)
	go n.group.Run(joined)
	go n.waves.run(joined)
	go n.watchBoot(work)
	<-ctx.Done()
	n.shutdown(callers, leave)
	return nil
}

func (n *Node) report(what string, err error) {
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

// ready answers the balancer and serves the metrics.
func (n *Node) ready(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/metrics" {
		metrics.WritePrometheus(w, true)
		return
	}
	stranded := time.Since(time.UnixMilli(n.stranded.Load())) < _strandedFor
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
		CallOwner: n.ask, Locate: n.locate, Log: n.log.Info, Closing: n.closing.Load,
	}
	return &http.Server{
		Handler: f, ReadHeaderTimeout: _headerTimeout, IdleTimeout: _idleTimeout, MaxHeaderBytes: _maxHeader,
	}
}

// operator follows the configuration and the waves.
func (n *Node) operator(ctx context.Context) {
	t := feed.Follower{
		Store: n.store, Name: platform.TopicOperator,
		OnRecords: func(l []platform.Record, _ bool) {
			for _, r := range l {
				n.declare(r)
			}
		},
		OnStoreStatus: func(err error) { n.trouble("configuration", err) },
	}
	t.Run(ctx)
}

// declare takes in a record of the operator.
func (n *Node) declare(r platform.Record) {
	if len(r.Value) == 0 {
		return
	}
	if r.Key != platform.KeyConfig {
		n.waves.declare(r)
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
	n.config.Store(&configured{Config: c, table: front.NewTable(c.Queues), partition: n.partitions(c)})
	n.log.Info("Configuration is in force.", "version", c.Version, "queues", len(c.Queues), "pools", len(c.Pools))
	n.pools.configure()
}

// _nudgeTimeout is when another entry is taken not to hear a nudge: it joins
// again soon anyway.
const _nudgeTimeout = 300 * time.Millisecond

// nudge has the other members of the group join at once.
func (n *Node) nudge() {
	told := map[string]bool{n.self: true}
	for _, m := range n.group.Owners() {
		a, _, _ := strings.Cut(m, "/")
		if told[a] {
			continue
		}
		told[a] = true
		go func() {
			c, cancel := context.WithTimeout(context.Background(), _nudgeTimeout)
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
	n.pools.handOver()
	ctx, cancel := context.WithTimeout(context.Background(), max(n.bounds.Load().Grace-_graceMargin, time.Second))
	defer cancel()
	if err := n.group.Leave(ctx); err != nil {
		n.log.Warn("Group was not left.", "err", err)
	}
	n.nudge()
	err := callers.Shutdown(ctx)
	n.log.Info("Entry stopped.", "tookMs", time.Since(begun).Milliseconds(), "err", err)
}
