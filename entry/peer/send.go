package peer

import (
	"context"
)

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
