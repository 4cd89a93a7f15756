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
	_silenceTimeout    = 500 * time.Millisecond
)

// Peer is an entry to stay connected with.
type Peer struct {
	// Entry is the name, or empty where only the address is known, as with
	// seeds.
	Entry string
	// Address has the form IP:port.
	Address string
	// Incarnation is that of the process registered for the entry in the fleet
	// state, or zero where it isn't known. While the registered process is
	// connected, no other process of the entry is accepted.
	Incarnation uint64
}

// Option configures a Set.
type Option func(*Set)

// WithHeartbeat sets the interval of heartbeats, and the silence after which
// the connection to a peer is closed. They default to 100 ms and 500 ms.
func WithHeartbeat(interval, silentAfter time.Duration) Option {
	return func(s *Set) { s.interval, s.silenceTimeout = interval, silentAfter }
}

// WithLog sets the logger for connections, disconnections and refusals. The
// default logs nothing.
func WithLog(l *log.Logger) Option {
	return func(s *Set) { s.log = l.WithPrefix("peer") }
}

// WithClock sets the function used in place of time.Now for heartbeats,
// statuses and the reset of the backoff. Connection deadlines use the system
// clock.
func WithClock(now func() time.Time) Option {
	return func(s *Set) { s.now = now }
}

// Set manages this entry's connections to all other entries.
type Set struct {
	// Handle is called with each message that isn't a reply. Messages of one
	// lane of a connection are passed one at a time, in order; calls for other
	// lanes and peers may run concurrently. It must not block, since the lane
	// reads nothing meanwhile. Set it before Serve.
	Handle func(now time.Time, in Inbound)
	// NextHeartbeat returns the next heartbeat to send. It must not block. Set
	// it before Serve.
	NextHeartbeat func(now time.Time) *Heartbeat
	// Dial connects to an address. Nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	self           Identity
	interval       time.Duration
	silenceTimeout time.Duration
	now            func() time.Time
	log            *log.Logger
	epoch          time.Time

	mu      sync.Mutex
	peers   []Peer
	links   map[string]*link
	errs    map[string]peerErrors
	dialers map[target]context.CancelFunc
	inbound int
	ctx     context.Context
	wg      sync.WaitGroup
}

// New returns a Set without connections. Serve and SetPeers open them.
func New(self Identity, opts ...Option) *Set {
	s := &Set{
		self: self, interval: _heartbeatInterval, silenceTimeout: _silenceTimeout,
		now: time.Now, log: log.New(io.Discard),
		links: make(map[string]*link), errs: make(map[string]peerErrors), dialers: make(map[target]context.CancelFunc),
	}
	for _, o := range opts {
		o(s)
	}
	// An echo_us of zero means that no heartbeat was received, so sent_us must
	// never be zero.
	s.epoch = s.now().Add(-time.Second)
	return s
}

// Serve accepts connections and maintains those to the entries of SetPeers
// until ctx ends or the listener fails. It then closes all connections and
// waits for their goroutines. It returns nil if ctx ended, or the listener's
// error.
func (s *Set) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.ctx = ctx
	s.updateDialers()
	s.mu.Unlock()
	s.wg.Go(func() { s.runHeartbeats(ctx) })
	context.AfterFunc(ctx, func() { _ = l.Close() })
	err := s.accept(ctx, l)
	cancel()
	s.closeAll()
	s.wg.Wait()
	return err
}

// handshake runs hello on a connection and opens a link on it. It closes the
// connection on any error.
func (s *Set) handshake(ctx context.Context, c net.Conn, outbound bool, hello func() (Identity, error)) (*link, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	k, err := func() (*link, error) {
		if err := c.SetDeadline(time.Now().Add(_handshakeTimeout)); err != nil {
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

// serve runs an installed link until it ends, and removes it.
func (s *Set) serve(k *link) {
	s.log.Info("connected", "entry", k.remote.Entry, "outbound", k.outbound)
	err := k.run(s)
	s.remove(k, err)
	s.log.Info("disconnected", "entry", k.remote.Entry, "err", err)
}

// Peers returns the status of all connected peers and of the peers of SetPeers,
// sorted by name. Peers whose name isn't known yet are left out.
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
		all = append(all, Status{entry: p.Entry, errs: s.errs[p.Entry]})
	}
	slices.SortFunc(all, func(a, b Status) int { return strings.Compare(a.entry, b.entry) })
	return all
}
