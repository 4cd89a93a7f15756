package peer

import (
	"context"
	"time"
)

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
			go k.close(ErrHeartbeatTimeout)
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
	if s.NextHeartbeat != nil {
		h = s.NextHeartbeat(now)
	}
	k.pulse.echo(now, s.epoch, h)
	return &Envelope{Body: &Envelope_Heartbeat{h}}
}
