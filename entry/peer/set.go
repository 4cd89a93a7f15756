package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	_heartbeatInterval = 100 * time.Millisecond
	_silentAfter       = 500 * time.Millisecond
)

// Peer is an entry to stay connected with.
type Peer struct {
	// Entry is empty where only the address is known, as with seeds.
	Entry string
	// Address is IP:port.
	Address string
	// Incarnation is the entry's registered process; zero where none is known.
	Incarnation uint64
}

// Option changes how a Set works.
type Option func(*Set)

// WithHeartbeat sets the interval of heartbeats, and the silence after which a
// peer is dropped. They default to 100 ms and 500 ms.
func WithHeartbeat(interval, silentAfter time.Duration) Option {
	return func(s *Set) { s.interval, s.silentAfter = interval, silentAfter }
}

// WithLog has connections and their ends logged.
func WithLog(l *log.Logger) Option {
	return func(s *Set) { s.log = l.WithPrefix("peer") }
}

// WithClock replaces time.Now.
func WithClock(now func() time.Time) Option {
	return func(s *Set) { s.now = now }
}

// Set is this entry's connections with all the others.
type Set struct {
	// Handle takes each message that isn't a reply. It is called from several
	// goroutines, but in order for the messages of one lane of one peer, and
	// must not wait: it is meant to post to a duty. Set it before Serve.
	Handle func(now time.Time, in Inbound)
	// Beat returns the next heartbeat. It must not wait. Set it before Serve.
	NextHeartbeat func(now time.Time) *Heartbeat
	// Dial connects to an address; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	self        Identity
	interval    time.Duration
	silentAfter time.Duration
	now         func() time.Time
	log         *log.Logger
	epoch       time.Time

	mu      sync.Mutex
	peers   []Peer
	links   map[string]*link
	errs    map[string]trouble
	dialers map[target]context.CancelFunc
	pending int
	ctx     context.Context
	wg      sync.WaitGroup
}

// New returns a set that is not connected to anyone yet.
func New(self Identity, opts ...Option) *Set {
	s := &Set{
		self: self, interval: _heartbeatInterval, silentAfter: _silentAfter,
		now: time.Now, log: log.New(io.Discard),
		links: make(map[string]*link), errs: make(map[string]trouble), dialers: make(map[target]context.CancelFunc),
	}
	for _, o := range opts {
		o(s)
	}
	// A heartbeat's sent_us of zero means that there was none.
	s.epoch = s.now().Add(-time.Second)
	return s
}

// Serve accepts connections and keeps those of SetPeers, until ctx ends; then
// it closes all of them, waits for their goroutines and returns nil. It
// returns an error where the listener fails.
func (s *Set) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.ctx = ctx
	s.redial()
	s.mu.Unlock()
	s.wg.Go(func() { s.watch(ctx) })
	context.AfterFunc(ctx, func() { _ = l.Close() })
	err := s.accept(ctx, l)
	cancel()
	s.closeAll()
	s.wg.Wait()
	return err
}

// handshake turns a connection into a link, or closes it.
func (s *Set) handshake(ctx context.Context, c net.Conn, outbound bool, hello func() (Identity, error)) (*link, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	k, err := func() (*link, error) {
		if err := c.SetDeadline(time.Now().Add(_handshakePeriod)); err != nil {
			return nil, fmt.Errorf("set deadline: %w", err)
		}
		remote, err := hello()
		if err != nil {
			return nil, err
		}
		if err := c.SetDeadline(time.Time{}); err != nil {
			return nil, fmt.Errorf("clear deadline: %w", err)
		}
		return newLink(c, remote, outbound, s.now())
	}()
	if err != nil {
		_ = c.Close()
	}
	return k, err
}

// serve runs an installed link to its end.
func (s *Set) serve(k *link) {
	s.log.Info("connected", "entry", k.remote.Entry, "outbound", k.outbound)
	err := k.run(s)
	s.remove(k, err)
	s.log.Info("disconnected", "entry", k.remote.Entry, "err", err)
}

// Peers returns the status of the peers that are connected or wanted, by name.
// Those whose name isn't known yet are left out.
func (s *Set) Peers() []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Status
	for name, k := range s.links {
		all = append(all, k.status(s.errs[name]))
	}
	for _, p := range s.peers {
		if p.Entry == "" || s.links[p.Entry] != nil || p.Entry == s.self.Entry {
			continue
		}
		all = append(all, Status{entry: p.Entry, trouble: s.errs[p.Entry]})
	}
	slices.SortFunc(all, func(a, b Status) int { return strings.Compare(a.entry, b.entry) })
	return all
}
