package peer

import (
	"context"
	"fmt"
	"net"
)

// _maxLinks bounds the connections that others opened.
const _maxLinks = 128

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
