package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"fescuelanding/fleet/wait"
)

const (
	_dialTimeout  = time.Second
	_firstBackoff = 50 * time.Millisecond
	_maxBackoff   = time.Second
	// A connection that was open for this long resets the backoff.
	_stableAfter = 2 * time.Second
)

// SetPeers replaces the list of entries to stay connected with. The list may
// contain this entry itself. An established connection is kept until it fails,
// even if its entry has left the list or has a new address.
func (s *Set) SetPeers(peers []Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.peers, peers) {
		return
	}
	s.peers = slices.Clone(peers)
	for name := range s.errs {
		if !s.isPeer(name) {
			delete(s.errs, name)
		}
	}
	s.updateDialers()
}

// isPeer reports whether the list of SetPeers contains a peer whose entry name
// or address equals name. The errors of a peer whose entry isn't known are
// stored under its address.
func (s *Set) isPeer(name string) bool {
	return slices.ContainsFunc(s.peers, func(p Peer) bool { return p.Entry == name || p.Address == name })
}

// updateDialers starts and stops dialers, so that one runs for each peer of
// SetPeers other than this entry. A peer without an entry name is skipped if its
// address is also listed with one.
func (s *Set) updateDialers() {
	if s.ctx == nil || s.ctx.Err() != nil {
		return
	}
	want := make(map[target]bool)
	named := make(map[string]bool)
	for _, p := range s.peers {
		named[p.Address] = named[p.Address] || p.Entry != ""
	}
	for _, p := range s.peers {
		if p.Entry != s.self.Entry && (p.Entry != "" || !named[p.Address]) {
			want[target{p.Entry, p.Address}] = true
		}
	}
	for t, cancel := range s.dialers {
		if !want[t] {
			cancel()
			delete(s.dialers, t)
		}
	}
	for t := range want {
		if s.dialers[t] == nil {
			ctx, cancel := context.WithCancel(s.ctx)
			s.dialers[t] = cancel
			s.wg.Go(func() { s.maintain(ctx, t) })
		}
	}
}

// target is what a dialer connects to. The entry is empty where only the
// address is known.
type target struct{ entry, address string }

// maintain connects to a peer, and reconnects with backoff, until ctx ends.
func (s *Set) maintain(ctx context.Context, t target) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.Multiplier = _firstBackoff, _maxBackoff, 2
	entry := t.entry
	for ctx.Err() == nil {
		if k := s.link(entry); k != nil {
			s.awaitEnd(ctx, k)
			if s.now().Sub(k.connectedAt) > _stableAfter {
				b.Reset()
			}
		} else if name, err := s.connect(ctx, t); err != nil {
			s.recordFailure(t, err)
		} else {
			entry = name
			continue
		}
		wait.For(ctx, b.NextBackOff())
	}
}

func (s *Set) awaitEnd(ctx context.Context, k *link) {
	select {
	case <-ctx.Done():
	case <-k.done:
	}
}

// connect dials a peer and returns its name once there is a link to it,
// whichever side dialled it. If this side refuses the new connection as a
// duplicate, the existing link stays in use. A new link is served in the
// background.
func (s *Set) connect(ctx context.Context, t target) (string, error) {
	c, err := s.dial(ctx, t.address)
	if err != nil {
		return "", fmt.Errorf("dial %s: %w", t.address, err)
	}
	var remote Identity
	k, err := s.handshake(ctx, c, true, func() (Identity, error) {
		return dialHello(c, s.self, t.entry, func(r Identity) error {
			remote = r
			return s.admit(r, true)
		})
	})
	if err == nil {
		err = s.install(k)
	}
	switch {
	case isLocalDuplicate(err):
		return remote.Entry, nil
	case err != nil:
		return "", fmt.Errorf("handshake with %s: %w", t.address, err)
	}
	s.wg.Go(func() { s.serve(k) })
	return remote.Entry, nil
}

// isLocalDuplicate reports whether this side refused the connection because it
// already has a link to the entry.
func isLocalDuplicate(err error) bool {
	var r *RefusedError
	return errors.As(err, &r) && r.code == RefusalCode_REFUSAL_CODE_DUPLICATE && !r.remote
}

func (s *Set) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, _dialTimeout)
	defer cancel()
	if s.Dial != nil {
		return s.Dial(ctx, address)
	}
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// recordFailure stores why a connection attempt failed, and logs the error
// where it differs from the previous one.
func (s *Set) recordFailure(t target, err error) {
	name := t.entry
	if name == "" {
		name = t.address
	}
	s.mu.Lock()
	old := s.errs[name]
	if s.isPeer(name) {
		s.errs[name] = peerErrors{disconnect: old.disconnect, connect: err}
	}
	s.mu.Unlock()
	if old.connect == nil || old.connect.Error() != err.Error() {
		s.log.Warn("cannot connect to peer", "peer", name, "err", err)
	}
}
