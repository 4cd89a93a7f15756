package peer

import (
	"sync"
	"time"
)

// pulse keeps what heartbeats tell about the other side of a connection.
type pulse struct {
	mu   sync.Mutex
	last *Heartbeat
	// Arrival of the last heartbeat, and of the last frame of any kind.
	beat  time.Time
	heard time.Time
	rtt   time.Duration
	quiet time.Duration
}

// hear takes in a heartbeat that arrived now; epoch is the zero of this
// process's sent_us.
func (p *pulse) hear(now, epoch time.Time, h *Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last, p.beat, p.heard, p.quiet = h, now, now, 0
	if h.GetEchoUs() == 0 {
		return
	}
	held := time.Duration(h.GetEchoHeldUs()) * time.Microsecond
	sent := epoch.Add(time.Duration(h.GetEchoUs()) * time.Microsecond)
	if rtt := now.Sub(sent) - held; rtt >= 0 {
		p.rtt = rtt
	}
}

// touch notes that the other side is alive without a heartbeat.
func (p *pulse) touch(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard, p.quiet = now, 0
}

// echo stamps a heartbeat that is about to be sent.
func (p *pulse) echo(now, epoch time.Time, h *Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h.SentUs = now.Sub(epoch).Microseconds()
	if p.last != nil {
		h.EchoUs = p.last.GetSentUs()
		h.EchoHeldUs = now.Sub(p.beat).Microseconds()
	}
}

// age adds running time of this process to the silence, and returns it.
func (p *pulse) age(ran time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quiet += ran
	return p.quiet
}

// fill writes what is known into a status.
func (p *pulse) fill(s *Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.heard, s.rtt = p.heard, p.rtt
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

func (c *runClock) ran(now time.Time) time.Duration {
	d := now.Sub(c.last)
	if c.last.IsZero() || d < 0 || d > 2*c.interval {
		d = c.interval
	}
	c.last = now
	return d
}
