package upstream

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// Server is the control API of the executors of one process.
type Server struct {
	executors []*Executor
	tally     *tally
	mux       http.ServeMux
}

// NewServer returns the control API of the executors. From then on they count
// their runs in one common tally. Call it before the executors serve.
func NewServer(executors ...*Executor) *Server {
	s := &Server{executors: executors, tally: &tally{}}
	for _, e := range executors {
		e.tally = s.tally
	}
	s.mux.HandleFunc("POST /control/fault", s.controlFault)
	s.mux.HandleFunc("GET /control/stats", s.stats)
	s.mux.HandleFunc("GET /control/runs", s.runs)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// faultRequest sets a fault. An empty Executor selects all of them; a Count of
// zero applies the fault to all requests until the next faultRequest.
type faultRequest struct {
	Executor string `json:"executor"`
	Fault    Fault  `json:"fault"`
	Count    int    `json:"count"`
}

func (s *Server) controlFault(w http.ResponseWriter, r *http.Request) {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	var q faultRequest
	if err := d.Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !q.Fault.known() {
		http.Error(w, fmt.Sprintf("unknown fault %q", q.Fault), http.StatusBadRequest)
		return
	}
	found := false
	for _, e := range s.executors {
		if q.Executor == "" || q.Executor == e.name {
			e.setFault(faultRule{fault: q.Fault, remaining: q.Count, limited: q.Count > 0})
			found = true
		}
	}
	if !found {
		http.Error(w, fmt.Sprintf("no executor %q", q.Executor), http.StatusNotFound)
		return
	}
	answer(w, q)
}

// Stats is the answer of GET /control/stats.
type Stats struct {
	// Total has the sums over the executors, and the largest of each maximum.
	Total     Gauge            `json:"total"`
	Executors map[string]Gauge `json:"executors"`
	// KeysRunTwice is the number of idempotency keys with more than one run.
	KeysRunTwice int `json:"keysRunTwice"`
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	a := Stats{Executors: make(map[string]Gauge)}
	for _, e := range s.executors {
		g := e.readGauge()
		a.Executors[e.name] = g
		a.Total = a.Total.plus(g)
	}
	for _, n := range s.tally.read().Keys {
		if n > 1 {
			a.KeysRunTwice++
		}
	}
	answer(w, a)
}

func (s *Server) runs(w http.ResponseWriter, _ *http.Request) {
	answer(w, s.tally.read())
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
