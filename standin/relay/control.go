package relay

import (
	"encoding/json"
	"fmt"
	"net/http"
)

type modeRequest struct {
	Mode Mode `json:"mode"`
}

// ServeHTTP implements http.Handler with the control API.
func (r *Relay) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.Method + " " + q.URL.Path {
	case "POST /control/mode":
		r.control(w, q)
	case "GET /control/stats":
		answer(w, r.Stats())
	default:
		http.NotFound(w, q)
	}
}

func (r *Relay) control(w http.ResponseWriter, q *http.Request) {
	var m modeRequest
	d := json.NewDecoder(q.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch m.Mode {
	case ModeOpen, ModeKeep, ModeCut:
		r.SetMode(m.Mode)
		answer(w, m)
	default:
		http.Error(w, fmt.Sprintf("unknown mode %q", m.Mode), http.StatusBadRequest)
	}
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
