package peer

import (
	"sync"
	"time"
)

// heartbeatState is the state of the other side of a connection, as received
// in its heartbeats.
type heartbeatState struct {
	mu   sync.Mutex
	last *Heartbeat
	// Times of arrival of the last heartbeat, and of the last control frame of
	// any type.
	lastHeartbeat time.Time
	lastFrame     time.Time
	rtt           time.Duration
	silence       time.Duration
}

// recordHeartbeat stores a heartbeat that arrived at now and measures the round
// trip. epoch is the time from which this process counts sent_us.
func (p *heartbeatState) recordHeartbeat(now, epoch time.Time, h *Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last, p.lastHeartbeat, p.lastFrame, p.silence = h, now, now, 0
	if h.GetEchoUs() == 0 {
		return
	}
	held := time.Duration(h.GetEchoHeldUs()) * time.Microsecond
	sent := epoch.Add(time.Duration(h.GetEchoUs()) * time.Microsecond)
	if rtt := now.Sub(sent) - held; rtt >= 0 {
		p.rtt = rtt
	}
}

// recordFrame resets the silence when the connection is opened and on the
// arrival of a control frame other than a heartbeat.
func (p *heartbeatState) recordFrame(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastFrame, p.silence = now, 0
}

// stamp sets the time fields of a heartbeat that is about to be sent.
func (p *heartbeatState) stamp(now, epoch time.Time, h *Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h.SentUs = now.Sub(epoch).Microseconds()
	if p.last != nil {
		h.EchoUs = p.last.GetSentUs()
		h.EchoHeldUs = now.Sub(p.lastHeartbeat).Microseconds()
	}
}

// addSilence adds time during which this process ran to the silence and returns
// the sum.
func (p *heartbeatState) addSilence(ran time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silence += ran
	return p.silence
}

// fillStatus sets the fields of a status that come from heartbeats.
func (p *heartbeatState) fillStatus(s *Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.lastReceived, s.rtt = p.lastFrame, p.rtt
	if p.last != nil {
		s.appliedOffset = p.last.GetAppliedOffset()
		s.proofAge = time.Duration(p.last.GetProofAgeMs()) * time.Millisecond
		s.ready = p.last.GetReady()
	}
}

// runClock measures how long this process ran between two calls of elapsed. A
// gap of more than two intervals means that the process was paused, and counts
// as one interval.
type runClock struct {
	interval time.Duration
	last     time.Time
}

func (c *runClock) elapsed(now time.Time) time.Duration {
	d := now.Sub(c.last)
	if c.last.IsZero() || d < 0 || d > 2*c.interval {
		d = c.interval
	}
	c.last = now
	return d
}
