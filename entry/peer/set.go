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
	_maxLinks          = 128
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
	Beat func(now time.Time) *Heartbeat
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

func (s *Set) accept(ctx context.Context, l net.Listener) error {
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = c.Close()
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept peer: %w", err)
		}
		// Places are given in the order of arrival.
		if !s.reserve() {
			s.wg.Go(func() { turnAway(c) })
			continue
		}
		s.wg.Go(func() { s.acceptConn(ctx, c) })
	}
}

// turnAway refuses a connection there is no place for.
func turnAway(c net.Conn) {
	_ = refuse(c, &RefusedError{code: RefusalCode_REFUSAL_CODE_FULL, detail: "too many connections"})
	linger(c)
}

func (s *Set) acceptConn(ctx context.Context, c net.Conn) {
	defer s.unreserve()
	k, err := s.handshake(ctx, c, false, func() (Identity, error) {
		return acceptHello(c, s.self, func(r Identity) error { return s.decide(r, false) })
	})
	if err != nil {
		s.log.Warn("refused a connection", "address", c.RemoteAddr(), "err", err)
		return
	}
	if err := s.install(k); err != nil {
		s.log.Warn("dropped a connection", "entry", k.remote.Entry, "err", err)
		return
	}
	s.serve(k)
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

// decide says whether a connection to remote would be kept.
func (s *Set) decide(remote Identity, outbound bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decideLocked(remote, outbound)
}

func (s *Set) decideLocked(remote Identity, outbound bool) error {
	old := s.links[remote.Entry]
	switch {
	case old == nil || old.closed():
		return nil
	case old.remote.Incarnation != remote.Incarnation:
		return s.decideProcess(old.remote)
	case old.outbound != outbound && s.preferred(remote) == outbound:
		return nil
	case !old.outbound && !outbound:
		// The dialler has lost the old one, or it wouldn't dial again.
		return nil
	}
	return &RefusedError{
		code:   RefusalCode_REFUSAL_CODE_DUPLICATE,
		detail: "connected already with " + remote.Entry,
	}
}

// decideProcess says whether another process of the entry may take the place of
// old. It may not while old is the registered one and connected: what was
// replaced and wakes late would otherwise cut its successor off.
func (s *Set) decideProcess(old Identity) error {
	registered := func(p Peer) bool { return p.Entry == old.Entry && p.Incarnation == old.Incarnation }
	if !slices.ContainsFunc(s.peers, registered) {
		return nil
	}
	return &RefusedError{
		code:   RefusalCode_REFUSAL_CODE_REPLACED,
		detail: "the registered process of " + old.Entry + " is connected",
	}
}

// preferred reports whether the connection that this side dialled is the one
// to keep; both sides come to the same.
func (s *Set) preferred(remote Identity) (outbound bool) { return s.self.Entry < remote.Entry }

// install makes k the link of its entry and closes the one before it, or
// closes k.
func (s *Set) install(k *link) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.decideLocked(k.remote, k.outbound)
	if s.ctx.Err() != nil {
		err = ErrStopped
	}
	if err != nil {
		go k.close(err)
		return err
	}
	if old := s.links[k.remote.Entry]; old != nil {
		go old.close(ErrReplaced)
	}
	s.links[k.remote.Entry] = k
	if t, ok := s.errs[k.remote.Entry]; ok {
		s.errs[k.remote.Entry] = trouble{lost: t.lost}
	}
	return nil
}

func (s *Set) remove(k *link, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links[k.remote.Entry] == k {
		delete(s.links, k.remote.Entry)
		if s.wanted(k.remote.Entry) {
			s.errs[k.remote.Entry] = trouble{lost: err}
		}
	}
}

func (s *Set) link(entry string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[entry]
}

// reserve counts a connection that others opened, within the limit.
func (s *Set) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending >= _maxLinks {
		return false
	}
	s.pending++
	return true
}

func (s *Set) unreserve() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending--
}

func (s *Set) closeAll() {
	s.mu.Lock()
	all := make([]*link, 0, len(s.links))
	for _, k := range s.links {
		all = append(all, k)
	}
	s.mu.Unlock()
	for _, k := range all {
		k.close(ErrStopped)
	}
}

// watch has each link send its heartbeat, and closes the silent ones.
func (s *Set) watch(ctx context.Context) {
	t := time.NewTicker(s.interval)
	defer t.Stop()
	c := runClock{interval: s.interval}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		s.tick(c.ran(s.now()))
	}
}

func (s *Set) tick(ran time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.links {
		if k.pulse.age(ran) > s.silentAfter {
			go k.close(ErrSilent)
			continue
		}
		select {
		case k.beat <- struct{}{}:
		default:
		}
	}
}

func (s *Set) heartbeat(k *link) *Envelope {
	now := s.now()
	h := new(Heartbeat)
	if s.Beat != nil {
		h = s.Beat(now)
	}
	k.pulse.echo(now, s.epoch, h)
	return &Envelope{Body: &Envelope_Heartbeat{h}}
}

// Send queues a one-way message and never waits. It returns ErrNotConnected,
// ErrFull or ErrTooLarge, and nothing was sent then; otherwise the message may
// still be lost with the connection.
func (s *Set) Send(entry string, m Message) error {
	k := s.link(entry)
	if k == nil {
		return ErrNotConnected
	}
	return k.post(0, false, m)
}

// SendAll sends a one-way message to every connected peer and returns the
// number of those whose lane took it.
func (s *Set) SendAll(m Message) int {
	n := 0
	for _, p := range s.Peers() {
		if p.Connected() && s.Send(p.Entry(), m) == nil {
			n++
		}
	}
	return n
}

// Call sends a message and waits for its reply. Where it returns
// ErrNotConnected, ErrFull or ErrTooLarge nothing was sent; with
// ErrDisconnected, a *FaultError or the context's error the message may have
// been handled.
func (s *Set) Call(ctx context.Context, entry string, m Message) (Message, error) {
	k := s.link(entry)
	if k == nil {
		return nil, ErrNotConnected
	}
	return k.call(ctx, m)
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
