package peer

import (
	"context"
)

// Send queues a one-way message without waiting. If it returns an error
// (ErrNotConnected, ErrQueueFull or ErrTooLarge), nothing was sent. A queued
// message may still be lost if the connection fails.
func (s *Set) Send(entry string, m Message) error {
	k := s.link(entry)
	if k == nil {
		return ErrNotConnected
	}
	return k.post(0, false, m)
}

// SendAll sends a one-way message to every connected peer and returns the
// number of peers for which it was queued.
func (s *Set) SendAll(m Message) int {
	n := 0
	for _, p := range s.Peers() {
		if p.Connected() && s.Send(p.Entry(), m) == nil {
			n++
		}
	}
	return n
}

// Call sends a message and waits for its reply. If it returns ErrNotConnected,
// ErrQueueFull or ErrTooLarge, nothing was sent. If it returns ErrDisconnected,
// a *FaultError or the context's error, the message may have been handled.
func (s *Set) Call(ctx context.Context, entry string, m Message) (Message, error) {
	k := s.link(entry)
	if k == nil {
		return nil, ErrNotConnected
	}
	return k.call(ctx, m)
}
