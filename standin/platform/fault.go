package platform

import "time"

// Mode is how the stand-in handles calls.
type Mode string

const (
	// ModeNone serves calls normally.
	ModeNone Mode = ""
	// ModeRefuse answers 503 and performs nothing.
	ModeRefuse Mode = "refuse"
	// ModeHang accepts calls, does not perform them and never answers.
	ModeHang Mode = "hang"
	// ModeSlow waits for DelayMs, then performs the call even if the client has
	// disconnected.
	ModeSlow Mode = "slow"
	// ModeStale answers reads and the list of hosts with the state at the time
	// the mode was set. Appends still take effect.
	ModeStale Mode = "stale"
)

// Fault is the fault injected for the clients of one via name.
type Fault struct {
	// Via selects the clients that call under /via/NAME; empty selects every
	// client that has no fault of its own.
	Via  string `json:"via"`
	Mode Mode   `json:"mode"`
	// DelayMs is the delay of ModeSlow, in milliseconds.
	DelayMs int64 `json:"delayMs"`
	// LoseAnswers is the number of further appends that take effect but whose
	// connection is closed without an answer.
	LoseAnswers int `json:"loseAnswers"`

	// The state that ModeStale serves: the head of each stream, and the time, at
	// which the fault was set.
	heads map[string]uint64
	since time.Time
}

// setFault replaces the fault of a via name. The zero mode makes its calls
// succeed again.
func (s *Server) setFault(f Fault, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults == nil {
		s.faults = make(map[string]*Fault)
	}
	f.since = now
	f.heads = make(map[string]uint64)
	for n, t := range s.streams {
		f.heads[n] = t.head()
	}
	s.faults[f.Via] = &f
	if s.faultChanged != nil {
		close(s.faultChanged)
		s.faultChanged = nil
	}
}

// fault returns the fault that applies to a via name, and a channel that is
// closed when any fault changes.
func (s *Server) fault(via string) (Fault, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultChanged == nil {
		s.faultChanged = make(chan struct{})
	}
	if f := s.faultOf(via); f != nil {
		return *f, s.faultChanged
	}
	return Fault{}, s.faultChanged
}

func (s *Server) faultOf(via string) *Fault {
	if f, ok := s.faults[via]; ok {
		return f
	}
	return s.faults[""]
}

// loseAnswer reports whether the answer to this append is to be lost, and if so
// decrements the number still to be lost.
func (s *Server) loseAnswer(via string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faultOf(via)
	if f == nil || f.LoseAnswers == 0 {
		return false
	}
	f.LoseAnswers--
	return true
}
