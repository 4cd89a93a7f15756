package peer

import (
	"context"
	"time"
)

// runHeartbeats triggers a heartbeat on every link at each interval and closes
// links that exceeded the silence timeout, until ctx ends.
func (s *Set) runHeartbeats(ctx context.Context) {
	t := time.NewTicker(s.interval)
	defer t.Stop()
	c := runClock{interval: s.interval}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		s.tick(c.elapsed(s.now()))
	}
}

func (s *Set) tick(ran time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.links {
		if k.heartbeats.addSilence(ran) > s.silenceTimeout {
			go k.close(ErrHeartbeatTimeout)
			continue
		}
		select {
		case k.heartbeatDue <- struct{}{}:
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
	k.heartbeats.stamp(now, s.epoch, h)
	return &Envelope{Body: &Envelope_Heartbeat{h}}
}
