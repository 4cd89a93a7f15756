package scheduler

import "time"

const (
	// _ejectAfter is how many consecutive failures eject an upstream. A single
	// failure can be the task's own fault.
	_ejectAfter = 3
	// _ejection is doubled with each consecutive ejection, up to _maxEjection.
	_ejection    = 3 * time.Second
	_maxEjection = 12 * time.Second
)

// health tracks the outcomes of runs on an upstream, whatever the upstream
// reports about itself.
type health struct {
	// streak counts failures since the last success.
	streak       int
	lastJob      string
	ejections    int
	ejectedUntil time.Time
	lastFailure  time.Time
}

func (e *health) recordSuccess() { e.streak, e.ejections = 0, 0 }

// recordFailure counts a failed run and reports whether the upstream is ejected
// now. Successive failures of one job count once, as the job may fail everywhere.
func (e *health) recordFailure(now time.Time, job string) bool {
	e.lastFailure = now
	if e.lastJob == job {
		return false
	}
	e.lastJob = job
	e.streak++
	if e.streak < _ejectAfter {
		return false
	}
	e.eject(now)
	return true
}

// eject ejects the upstream, unless it is ejected already: what ran on it may have failed for one
// cause.
func (e *health) eject(now time.Time) {
	if now.Before(e.ejectedUntil) {
		return
	}
	d := min(_ejection<<min(e.ejections, 4), _maxEjection)
	e.ejections++
	// The first failure after the ejection ejects again.
	e.streak = _ejectAfter - 1
	e.ejectedUntil = now.Add(d)
}
