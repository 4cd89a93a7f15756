package scheduler

import "time"

const (
	// _trialPatience is how long a suspect waits for a trial. After that it starts like any other
	// task, unless more than _patientCrashes upstreams have crashed under it: most suspects are
	// so by chance, and a full pool may have no upstream for a trial.
	_trialPatience  = 1500 * time.Millisecond
	_patientCrashes = 1
	// _trialShare is the share of the upstreams that may have a run on trial at once.
	_trialShare = 0.5
	// _costBesideTrial is for each run that would be lost if a suspect crashed the upstream, and
	// _costServingBesideTrial for a long-running one.
	_costBesideTrial        = 0.2
	_costServingBesideTrial = 3.0
)

// trial returns for how long the next run of a task has to be on trial; zero if it starts like any
// other.
func (p *pass) trial(t *task) time.Duration {
	c := t.suspicion()
	if c.upstreams <= _patientCrashes && p.now.Sub(t.waitingSince) >= _trialPatience {
		return 0
	}
	return c.trial()
}

// admits reports whether a run of a task may start on an upstream beside the others there, given
// for how long it has to be on trial. A task that is already to blame for a crash gets no company
// that may be what crashed the upstream.
func (p *pass) admits(t *task, h *host, trial time.Duration) bool {
	switch {
	case trial == 0:
		return true
	case t.suspicion().blamed > 0:
		trial = _trustTime
	}
	return h.settled(trial)
}

// mayTry reports whether another upstream may have a run on trial.
func (p *pass) mayTry() bool {
	return float64(p.trials) < max(1, _trialShare*float64(len(p.hosts)))
}

// trialCost is the cost of a trial on an upstream: what would be lost in a crash.
func (t *task) trialCost(h *host) float64 {
	c := _costBesideTrial*float64(len(h.runs)) + _costServingBesideTrial*float64(h.longRunning())
	if h.up.Machine == t.crashes.machine {
		c += _costFailedHere
	}
	return c
}
