package platform

import "time"

// Mode is how the stand-in treats calls.
type Mode string

const (
	// ModeNone serves calls.
	ModeNone Mode = ""
	// ModeRefuse answers 503 and performs nothing.
	ModeRefuse Mode = "refuse"
	// ModeHang accepts calls, performs nothing and never answers.
	ModeHang Mode = "hang"
	// ModeSlow waits for the delay, then performs the call even if the client
	// has given up.
	ModeSlow Mode = "slow"
	// ModeStale answers reads and lists as they were when the mode began.
	// Appends take effect.
	ModeStale Mode = "stale"
)

// Fault is what goes wrong for the clients of one via name.
type Fault struct {
	// Via names the clients concerned; empty means all that have no fault of
	// their own.
	Via  string `json:"via"`
	Mode Mode   `json:"mode"`
	// DelayMs is the delay of ModeSlow, in milliseconds.
	DelayMs int64 `json:"delayMs"`
	// LoseAnswers is the number of appends, from now on, that take effect but
	// whose connection is closed in place of an answer.
	LoseAnswers int `json:"loseAnswers"`

	heads map[string]uint64 // of each stream when the fault began
	since time.Time
}

// set replaces the fault of a via name, or removes it where it does nothing.
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

// fault returns the fault for a via name and a channel that is closed once any
// fault changes.
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

// loseAnswer takes one of the answers that are to be lost.
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
