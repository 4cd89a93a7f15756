package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// Stats is the answer of GET /control/stats: the appends and reads served, and
// the head and first offset of each stream.
type Stats struct {
	Appends int               `json:"appends"`
	Reads   int               `json:"reads"`
	Heads   map[string]uint64 `json:"heads"`
	Firsts  map[string]uint64 `json:"firsts"`
}

type appendRateRequest struct {
	PerSecond float64 `json:"perSecond"`
	Burst     int     `json:"burst"`
}

type lagRequest struct {
	LagMs int64 `json:"lagMs"`
}

func (s *Server) controlFaults(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !decode(w, r, &f) {
		return
	}
	switch f.Mode {
	case ModeNone, ModeRefuse, ModeHang, ModeSlow, ModeStale:
		s.setFault(f, time.Now())
		answer(w, f)
	default:
		http.Error(w, fmt.Sprintf("unknown mode %q", f.Mode), http.StatusBadRequest)
	}
}

func (s *Server) controlRetention(w http.ResponseWriter, r *http.Request) {
	var n Retention
	if !decode(w, r, &n) {
		return
	}
	s.mu.Lock()
	s.retention = n
	s.mu.Unlock()
	answer(w, n)
}

func (s *Server) controlAppendRate(w http.ResponseWriter, r *http.Request) {
	var q appendRateRequest
	if !decode(w, r, &q) {
		return
	}
	s.mu.Lock()
	s.limiter = rate.NewLimiter(rate.Limit(q.PerSecond), q.Burst)
	s.mu.Unlock()
	answer(w, q)
}

func (s *Server) controlHosts(w http.ResponseWriter, r *http.Request) {
	var l []Host
	if !decode(w, r, &l) {
		return
	}
	for _, h := range l {
		s.SetHost(h, time.Now())
	}
	answer(w, l)
}

// SetHost sets the state of a host on the live list; an empty state removes it.
func (s *Server) SetHost(h Host, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.set(h, now)
}

func (s *Server) controlLag(w http.ResponseWriter, r *http.Request) {
	var q lagRequest
	if !decode(w, r, &q) {
		return
	}
	s.mu.Lock()
	s.hosts.lag = time.Duration(q.LagMs) * time.Millisecond
	s.mu.Unlock()
	answer(w, q)
}

func (s *Server) controlStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	a := Stats{
		Appends: s.appends, Reads: s.reads,
		Heads: make(map[string]uint64), Firsts: make(map[string]uint64),
	}
	for n, t := range s.streams {
		t.expire(s.retention, time.Now())
		a.Heads[n] = t.head()
		a.Firsts[n] = t.first()
	}
	s.mu.Unlock()
	answer(w, a)
}

// decode reads the JSON body of a control call. It rejects unknown fields,
// since a misspelt field would otherwise have no effect without an error.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
