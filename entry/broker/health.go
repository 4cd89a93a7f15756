package broker

import "time"

const (
	// _scoreStep is the weight of one outcome in a host's failure score.
	_scoreStep = 1.0 / 8
	// _ejectScore is reached by five failures in a row.
	_ejectScore = 0.45
	// _ejectRatio is how many times worse than the others an ejected host is.
	_ejectRatio  = 2.0
	_minEjection = 5 * time.Second
	_maxEjection = 5 * time.Minute
	// _minLeave is the time after which an upstream that left is probed.
	_minLeave = 30 * time.Second
	// _probes is the number of answers that end a probation.
	_probes = 3
)

// health is what a host's outcomes say about it.
type health struct {
	// score is the share of failures, the latest outcomes weighing most.
	score     float64
	ejected   bool
	until     time.Time
	times     int
	probation bool
	passed    int
	// leaving marks an ejection that the upstream itself asked for.
	leaving bool
}

func (h *health) succeed() {
	h.score -= h.score * _scoreStep
	if !h.probation {
		return
	}
	if h.passed++; h.passed >= _probes {
		h.probation = false
		h.score = 0
	}
}

func (h *health) fail() {
	h.score += (1 - h.score) * _scoreStep
}

// pardon undoes a failure that turned out to be the request's own fault.
func (h *health) pardon() {
	h.score = max(0, (h.score-_scoreStep)/(1-_scoreStep))
}

// eject takes the host out for a time that doubles with each ejection that
// follows soon after the last one.
func (h *health) eject(now time.Time) {
	if now.Sub(h.until) > _maxEjection {
		h.times = 0
	}
	d := min(_minEjection<<min(h.times, 10), _maxEjection)
	h.times++
	h.ejected, h.probation, h.passed = true, false, 0
	h.until = now.Add(d)
}

// probe lets the host take one request at a time again.
func (h *health) probe() {
	h.ejected, h.leaving, h.probation, h.passed = false, false, true, 0
	h.score = _ejectScore / 2
}

// probeRank prefers idempotent first attempts as probes: they can be run again
// elsewhere.
func (h *health) probeRank(r *request) int {
	if r.Idempotent && !r.retry() {
		return 0
	}
	return 1
}

// failed notes a failure on a host and ejects it where it is much worse than
// the others and the budget allows.
func (s *hosts) failed(now time.Time, h *host) {
	h.health.fail()
	if h.health.ejected {
		return
	}
	if h.health.probation || (h.health.score >= _ejectScore && h.health.score >= _ejectRatio*s.others(h)) {
		s.eject(now, h)
	}
}

func (s *hosts) eject(now time.Time, h *host) {
	if h.State != Serving || s.serving() <= max(s.minAvailable, 1) {
		return
	}
	h.health.eject(now)
}

// leave takes a host out that asked for no further requests. No budget keeps
// it: it would decline them. It is probed later, in case it has come back.
func (s *hosts) leave(now time.Time, h *host) {
	if h.health.leaving {
		return
	}
	h.health.eject(now)
	h.health.leaving = true
	h.health.until = now.Add(max(h.health.until.Sub(now), _minLeave))
}

// others returns the mean score of the other hosts that serve.
func (s *hosts) others(h *host) float64 {
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

// tick lets hosts return whose ejection is over.
func (s *hosts) tick(now time.Time) {
	for _, h := range s.all {
		if h.health.ejected && !now.Before(h.health.until) {
			h.health.probe()
		}
	}
}

// restore lets ejected hosts return early where the pool has lost so many
// others that the ejection would break its budget.
func (s *hosts) restore(now time.Time) {
	s.tick(now)
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

// next returns when the next ejection is over.
func (s *hosts) next() time.Time {
	var t time.Time
	for _, h := range s.all {
		if h.health.ejected {
			t = earliest(t, h.health.until)
		}
	}
	return t
}
