package broker

import "time"

const (
	// _outcomeWeight is the weight of one outcome in a host's failure score.
	_outcomeWeight = 1.0 / 8
	// _ejectScore is reached after five failures in a row.
	_ejectScore = 0.45
	// A host is ejected only if its score is at least _ejectRatio times the
	// mean score of the other hosts.
	_ejectRatio  = 2.0
	_minEjection = 5 * time.Second
	_maxEjection = 5 * time.Minute
	// _minLeave is how long a host whose upstream is leaving stays ejected
	// before it is probed.
	_minLeave = 30 * time.Second
	// _probes is the number of answers that end a probation.
	_probes = 3
)

// health is the state of a host derived from the outcomes of its runs.
type health struct {
	// score is the share of failures, an exponentially weighted mean.
	score        float64
	ejected      bool
	until        time.Time
	ejections    int
	probation    bool
	probesPassed int
	// leaving marks an ejection that the upstream itself requested.
	leaving bool
}

func (h *health) recordSuccess() {
	h.score -= h.score * _outcomeWeight
	if !h.probation {
		return
	}
	if h.probesPassed++; h.probesPassed >= _probes {
		h.probation = false
		h.score = 0
	}
}

func (h *health) recordFailure() {
	h.score += (1 - h.score) * _outcomeWeight
}

// undoFailure reverses a recorded failure that turned out to be the fault of
// the request.
func (h *health) undoFailure() {
	h.score = max(0, (h.score-_outcomeWeight)/(1-_outcomeWeight))
}

// eject takes the host out of service. The time doubles with each ejection
// that soon follows the previous one.
func (h *health) eject(now time.Time) {
	if now.Sub(h.until) > _maxEjection {
		h.ejections = 0
	}
	d := min(_minEjection<<min(h.ejections, 10), _maxEjection)
	h.ejections++
	h.ejected, h.probation, h.probesPassed = true, false, 0
	h.until = now.Add(d)
}

// probe returns the host to service on probation, with one request at a time.
func (h *health) probe() {
	h.ejected, h.leaving, h.probation, h.probesPassed = false, false, true, 0
	h.score = _ejectScore / 2
}

// probeRank prefers idempotent first attempts as probes, because they can run
// again on another host.
func (h *health) probeRank(r *request) int {
	if r.Idempotent && !r.retry() {
		return 0
	}
	return 1
}

// recordFailure records a failure on a host. It ejects the host if it is on
// probation or much worse than the others, and if enough hosts keep serving.
func (s *hosts) recordFailure(now time.Time, h *host) {
	h.health.recordFailure()
	if h.health.ejected {
		return
	}
	if h.health.probation || (h.health.score >= _ejectScore && h.health.score >= _ejectRatio*s.meanScoreOfOthers(h)) {
		s.eject(now, h)
	}
}

func (s *hosts) eject(now time.Time, h *host) {
	if h.State != Serving || s.serving() <= max(s.minAvailable, 1) {
		return
	}
	h.health.eject(now)
}

// ejectLeaving ejects a host whose upstream asked for no further requests.
// MinAvailable doesn't apply, because the upstream would decline them anyway.
// The host is probed later, in case it serves again.
func (s *hosts) ejectLeaving(now time.Time, h *host) {
	if h.health.leaving {
		return
	}
	h.health.eject(now)
	h.health.leaving = true
	h.health.until = now.Add(max(h.health.until.Sub(now), _minLeave))
}

// meanScoreOfOthers returns the mean failure score of the other serving
// hosts. If there are none it returns 1, the highest score, so that a
// lone host is never ejected for its score.
func (s *hosts) meanScoreOfOthers(h *host) float64 {
	sum, n := 0.0, 0
	for _, o := range s.all {
		if o != h && o.serves() {
			sum += o.health.score
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// endEjections puts hosts on probation whose ejection time is over.
func (s *hosts) endEjections(now time.Time) {
	for _, h := range s.all {
		if h.health.ejected && !now.Before(h.health.until) {
			h.health.probe()
		}
	}
}

// restoreMinAvailable ends ejections early while fewer than MinAvailable hosts
// serve, as after the loss of other hosts. Hosts that are leaving stay ejected.
func (s *hosts) restoreMinAvailable(now time.Time) {
	s.endEjections(now)
	for s.serving() < max(s.minAvailable, 1) {
		var first *host
		for _, h := range s.all {
			if h.State == Serving && h.health.ejected && !h.health.leaving && (first == nil || h.health.until.Before(first.health.until)) {
				first = h
			}
		}
		if first == nil {
			return
		}
		first.health.probe()
	}
}

// next returns when the next ejection ends.
func (s *hosts) next() time.Time {
	var t time.Time
	for _, h := range s.all {
		if h.health.ejected {
			t = earliest(t, h.health.until)
		}
	}
	return t
}
