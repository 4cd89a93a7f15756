package platform

import (
	"encoding/json"
	"net/http"
	"time"
)

// lease is a holder's exclusive right to run a task until a given time.
type lease struct {
	holder string
	until  time.Time
}

type leaseRequest struct {
	Holder string `json:"holder"`
	TTLMs  int64  `json:"ttlMs"`
}

type leaseAnswer struct {
	Holder      string `json:"holder"`
	UntilUnixMs int64  `json:"untilUnixMs"`
}

func (s *Server) serveLease(w http.ResponseWriter, c call) {
	var q leaseRequest
	if err := json.Unmarshal(c.body, &q); err != nil || q.Holder == "" || q.TTLMs <= 0 {
		http.Error(w, "want holder and ttlMs", http.StatusBadRequest)
		return
	}
	l, ok := s.lease(c.PathValue("task"), q, time.Now())
	if !ok {
		w.WriteHeader(http.StatusConflict)
	}
	answer(w, leaseAnswer{Holder: l.holder, UntilUnixMs: l.until.UnixMilli()})
}

// lease grants or renews the lease on a task. If another holder has it, lease
// returns that lease and false.
func (s *Server) lease(task string, q leaseRequest, now time.Time) (lease, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.leases[task]; ok && l.holder != q.Holder && now.Before(l.until) {
		return l, false
	}
	if s.leases == nil {
		s.leases = make(map[string]lease)
	}
	l := lease{holder: q.Holder, until: now.Add(time.Duration(q.TTLMs) * time.Millisecond)}
	s.leases[task] = l
	return l, true
}
