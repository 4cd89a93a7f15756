package peer

import (
	"context"
	"fmt"
	"net"
)

// _maxInbound limits the connections opened by other entries, including those
// still in the handshake.
const _maxInbound = 128

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
		// The reservation is made here, not in the connection's goroutine, so
		// that connections are counted in the order of their arrival.
		if !s.reserveInbound() {
			s.wg.Go(func() { rejectFull(c) })
			continue
		}
		s.wg.Go(func() { s.acceptConn(ctx, c) })
	}
}

// rejectFull refuses a connection that exceeds _maxInbound.
func rejectFull(c net.Conn) {
	_ = sendRefusal(c, &RefusedError{code: RefusalCode_REFUSAL_CODE_FULL, detail: "too many connections"})
	linger(c)
}

func (s *Set) acceptConn(ctx context.Context, c net.Conn) {
	defer s.releaseInbound()
	k, err := s.handshake(ctx, c, false, func() (Identity, error) {
		return acceptHello(c, s.self, func(r Identity) error { return s.admit(r, false) })
	})
	if err != nil {
		s.log.Warn("handshake of incoming connection failed", "address", c.RemoteAddr(), "err", err)
		return
	}
	if err := s.install(k); err != nil {
		s.log.Warn("dropped connection after handshake", "entry", k.remote.Entry, "err", err)
		return
	}
	s.serve(k)
}

// reserveInbound counts a connection opened by another entry. It returns false
// where _maxInbound is reached.
func (s *Set) reserveInbound() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inbound >= _maxInbound {
		return false
	}
	s.inbound++
	return true
}

func (s *Set) releaseInbound() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inbound--
}
