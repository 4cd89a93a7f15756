package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"fescuelanding/entry/internal/intake"
	"fescuelanding/entry/internal/slots"
	"fescuelanding/entry/peer"
)

// Time-outs of requests to the dispatcher and the planner, whose queues may be long.
const (
	_statusTimeout  = 200 * time.Millisecond
	_explainTimeout = time.Second
)

// Status is the JSON body of /status.
type Status struct {
	Entry         string         `json:"entry"`
	Incarnation   uint64         `json:"incarnation"`
	DataCentre    string         `json:"dataCentre"`
	AppliedOffset uint64         `json:"appliedOffset"`
	Ready         bool           `json:"ready"`
	Fresh         bool           `json:"fresh"`
	Holds         int            `json:"holds"`
	Planner       string         `json:"planner"`
	Pools         []slots.Status `json:"pools"`
	Peers         []PeerStatus   `json:"peers"`
}

// PeerStatus is the part of Status about one peer.
type PeerStatus struct {
	Entry         string `json:"entry"`
	Connected     bool   `json:"connected"`
	Ready         bool   `json:"ready"`
	AppliedOffset uint64 `json:"appliedOffset"`
	RTTMicros     int64  `json:"rttMicros"`
	Problem       string `json:"problem,omitempty"`
}

// serveAdmin starts the server for status, explanations, readiness, liveness,
// metrics and profiles.
func (d *Daemon) serveAdmin(l net.Listener) *http.Server {
	m := http.NewServeMux()
	m.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(d.status(time.Now()))
	})
	m.HandleFunc("GET /explain", d.explain)
	m.HandleFunc("GET /debug/pprof/", pprof.Index)
	m.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	m.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready(time.Now()) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	m.HandleFunc("GET /live", func(http.ResponseWriter, *http.Request) {})
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	s := &http.Server{
		Handler: m, ReadHeaderTimeout: _headerTimeout, IdleTimeout: _idleTimeout, MaxHeaderBytes: _maxAdminHeaderBytes,
	}
	b := &intake.Budget{Name: "admin", MaxBytes: _adminBytes, MaxConns: _adminConns, Log: d.warn}
	d.spawn(func() {
		if err := b.Serve(s, l); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("Admin server failed; probes, status and metrics are unavailable until the entry is restarted.", "err", err)
		}
	})
	return s
}

// status returns the entry's current status, without the pools if the dispatcher
// doesn't answer in time.
func (d *Daemon) status(now time.Time) Status {
	v := d.table.View()
	s := Status{
		Entry: d.self.Name, Incarnation: d.self.Incarnation, DataCentre: d.settings.DataCentre(),
		AppliedOffset: d.follower.Offset(), Ready: d.ready(now), Fresh: d.table.IsFresh(now),
		Holds: d.table.Len(), Peers: []PeerStatus{},
	}
	if o, ok := v.Planner(); ok {
		s.Planner = o.Entry()
	}
	ctx, cancel := context.WithTimeout(context.Background(), _statusTimeout)
	defer cancel()
	if l, err := d.dispatcher.Status(ctx); err == nil {
		s.Pools = l
	}
	for _, p := range d.peers.Peers() {
		s.Peers = append(s.Peers, peerStatus(p))
	}
	return s
}

// connectionProblem returns why a peer isn't connected: the error of the last
// dial, else the reason for which the last connection was lost.
func connectionProblem(p peer.Status) string {
	switch {
	case p.ConnectErr() != nil:
		return p.ConnectErr().Error()
	case p.DisconnectErr() != nil:
		return p.DisconnectErr().Error()
	default:
		return "not dialled yet"
	}
}

func peerStatus(p peer.Status) PeerStatus {
	s := PeerStatus{
		Entry: p.Entry(), Connected: p.Connected(), Ready: p.Ready(),
		AppliedOffset: p.AppliedOffset(), RTTMicros: p.RTT().Microseconds(),
	}
	if !p.Connected() {
		s.Problem = connectionProblem(p)
	}
	return s
}

// Explanation is the JSON body of /explain?host=NAME. It says why a host is in
// its present state and what the planner intends for it; see
// plan.Explanation for the meaning of the fields.
type Explanation struct {
	Host  string `json:"host"`
	Pool  string `json:"pool"`
	Duty  string `json:"duty"`
	Want  string `json:"want"`
	Step  string `json:"step"`
	Rule  string `json:"rule"`
	Why   string `json:"why"`
	Frees string `json:"frees"`
	// Planner says whether this entry is the planner. If it isn't, the explanation
	// may differ from the planner's, which may have observed the host for longer.
	Planner bool `json:"planner"`
	// Text is the explanation in one line.
	Text string `json:"text"`
}

// explain serves the explanation of a host's state.
func (d *Daemon) explain(w http.ResponseWriter, q *http.Request) {
	n := q.URL.Query().Get("host")
	if _, ok := d.table.View().Host(n); !ok {
		http.Error(w, "unknown host", http.StatusNotFound)
		return
	}
	ctx, cancel := context.WithTimeout(q.Context(), _explainTimeout)
	defer cancel()
	e, err := d.planner.Explain(ctx, n)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, plans := d.mayPlan()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Explanation{
		Host: e.Host(), Pool: e.Pool(), Duty: e.Duty().String(), Want: e.Want(), Step: e.Step(),
		Rule: e.Rule().String(), Why: e.Why(), Frees: e.Frees(), Planner: plans, Text: e.String(),
	})
}
