package broker

import (
	"slices"
	"strings"
	"time"
)

// hosts are the pool's hosts, with the number of slots taken per host and
// rack.
type hosts struct {
	all          []*host
	byName       map[string]*host
	racks        map[string]int
	minAvailable int
}

// host is a host of the pool.
type host struct {
	Host
	taken  int
	health health
}

// serves reports whether the host is in service and not ejected.
func (h *host) serves() bool {
	return h.State == Serving && !h.health.ejected
}

// available reports whether the host has a free slot for a new request. On
// probation it runs one request at a time.
func (h *host) available() bool {
	if h.health.probation && h.taken > 0 {
		return false
	}
	return h.serves() && h.taken < h.Slots
}

// set replaces the pool's hosts; taken returns the number of slots in use
// on a host.
func (s *hosts) set(now time.Time, hs []Host, taken func(name string) int) {
	old := s.byName
	s.byName = make(map[string]*host, len(hs))
	s.all = s.all[:0:0]
	s.racks = make(map[string]int)
	for _, h := range hs {
		k := old[h.Name]
		if k == nil {
			k = &host{}
		}
		k.Host = h
		k.taken = taken(h.Name)
		s.racks[h.Rack] += k.taken
		s.byName[h.Name] = k
		s.all = append(s.all, k)
	}
	slices.SortFunc(s.all, func(a, b *host) int { return strings.Compare(a.Name, b.Name) })
	s.restoreMinAvailable(now)
}

func (s *hosts) empty() bool {
	return len(s.all) == 0
}

// serving returns the number of hosts that serve.
func (s *hosts) serving() int {
	n := 0
	for _, h := range s.all {
		if h.serves() {
			n++
		}
	}
	return n
}

// slots returns the number of slots of the hosts that serve.
func (s *hosts) slots() int {
	n := 0
	for _, h := range s.all {
		if h.serves() {
			n += h.Slots
		}
	}
	return n
}

// unused returns the number of free slots on available hosts.
func (s *hosts) unused() int {
	n := 0
	for _, h := range s.all {
		if h.available() {
			n += h.Slots - h.taken
		}
	}
	return n
}

func (s *hosts) acquire(name string) {
	if h := s.byName[name]; h != nil {
		h.taken++
		s.racks[h.Rack]++
	}
}

func (s *hosts) release(name string) {
	if h := s.byName[name]; h != nil {
		h.taken--
		s.racks[h.Rack]--
	}
}

// allTried reports whether every serving host is in the list of tried ones.
func (s *hosts) allTried(tried []string) bool {
	if len(tried) == 0 {
		return false
	}
	for _, h := range s.all {
		if h.serves() && !slices.Contains(tried, h.Name) {
			return false
		}
	}
	return true
}

// rank orders the hosts that could run a request; the smallest wins.
type rank struct {
	// triedRack is 1 if an earlier attempt used a host of the same rack.
	triedRack int
	// probe is 1 if the host is on probation and the request isn't an
	// idempotent first attempt.
	probe int
	// load is the share of slots taken, plus the failure score.
	load float64
	// rack is the number of slots taken in the host's rack.
	rack int
}

func (a rank) less(b rank) bool {
	switch {
	case a.triedRack != b.triedRack:
		return a.triedRack < b.triedRack
	case a.probe != b.probe:
		return a.probe < b.probe
	case a.load != b.load:
		return a.load < b.load
	default:
		return a.rack < b.rack
	}
}

// pickHost returns the host for a request, or nil if none can take it now.
func (s *hosts) pickHost(r *request) *host {
	racks := s.triedRacks(r.Exclude)
	var (
		best  *host
		bestR rank
	)
	for _, h := range s.all {
		if !h.available() || slices.Contains(r.Exclude, h.Name) {
			continue
		}
		if k := s.rank(h, r, racks); best == nil || k.less(bestR) {
			best, bestR = h, k
		}
	}
	return best
}

func (s *hosts) triedRacks(tried []string) []string {
	var rs []string
	for _, n := range tried {
		if h := s.byName[n]; h != nil {
			rs = append(rs, h.Rack)
		}
	}
	return rs
}

func (s *hosts) rank(h *host, r *request, racks []string) rank {
	k := rank{load: float64(h.taken)/float64(h.Slots) + h.health.score, rack: s.racks[h.Rack]}
	if slices.Contains(racks, h.Rack) {
		k.triedRack = 1
	}
	if h.health.probation {
		k.probe = h.health.probeRank(r)
	}
	return k
}
