package peer

import (
	"sync"
	"time"
)

// heartbeatState keeps what heartbeats tell about the other side of a connection.
type heartbeatState struct {
	mu   sync.Mutex
	last *Heartbeat
	// Arrival of the last heartbeat, and of the last frame of any kind.
	lastHeartbeat  time.Time
	lastFrame time.Time
	rtt   time.Duration
	silence time.Duration
}

// recordHeartbeat takes in a heartbeat that arrived now; epoch is the zero of this
// process's sent_us.
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

// recordFrame notes that the other side is alive without a heartbeat.
func (p *heartbeatState) recordFrame(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastFrame, p.silence = now, 0
}

// stamp stamps a heartbeat that is about to be sent.
func (p *heartbeatState) stamp(now, epoch time.Time, h *Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h.SentUs = now.Sub(epoch).Microseconds()
	if p.last != nil {
		h.EchoUs = p.last.GetSentUs()
		h.EchoHeldUs = now.Sub(p.lastHeartbeat).Microseconds()
	}
}

// addSilence adds running time of this process to the silence, and returns it.
func (p *heartbeatState) addSilence(ran time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silence += ran
	return p.silence
}

// fillStatus writes what is known into a status.
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

// runClock tells how long this process ran between two looks. A gap much
// longer than the interval means that it was paused, and counts as one
// interval only.
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
