package scheduler

import "time"

// Long-running tasks that serve have a bound on their tail latency; tasks that
// fill what the others leave disturb them by amounts that change within seconds.
// Fillers are slowed quickly and let go slowly.
const (
	// _paceDown is the part of a target from which fillers beside it are slowed;
	// from the target on they stop.
	_slowAbove = 0.85
	// _paceUp is the part below which they may go faster.
	_speedUpBelow = 0.7
	// _paceStep is by how many percent they go faster, each _paceInterval.
	_paceStep     = 25
	_paceInterval = time.Second
	// _paceLook is how often a host is looked at on which both run.
	_pacePollWait = 400 * time.Millisecond
)

// shared reports whether tasks with a target and fillers run side by side.
func (h *host) servesAndFills() bool {
	serves, fills := false, false
	for _, r := range h.runs {
		serves = serves || r.task.step.def.GetTargetMs() > 0
		fills = fills || r.task.step.def.GetFills()
	}
	return serves && fills
}

// strain returns the worst tail beside its target.
func (h *host) strain() float64 {
	worst := 0.0
	for _, r := range h.runs {
		if t := r.task.step.def.GetTargetMs(); t > 0 && r.state == runRunning {
			worst = max(worst, float64(r.gauge)/float64(t))
		}
	}
	return worst
}

// pace sets how fast fillers on a host may work.
func (s *Scheduler) pace(now time.Time, h *host) {
	was := h.pace()
	share := was
	switch v := h.strain(); {
	case v >= 1:
		share = 0
	case v >= _slowAbove:
		share = was / 2
	case v < _speedUpBelow && was < 100 && now.Sub(h.pacedAt) >= _paceInterval:
		share = min(100, was+_paceStep)
	}
	if share != was {
		h.slowed, h.pacedAt = 100-share, now
		s.logNote("Fillers paced.", "", "upstream", h.up.ID, "percent", share, "was", was, "strain", h.strain())
	}
	for _, r := range h.runs {
		if r.task.step.def.GetFills() && r.state == runRunning && r.pace != share {
			r.pace = share
			s.emit(Pace{
				Host: h.up.ID, Target: h.target, Task: r.task.name, Run: r.number, Token: s.set.Token, Percent: share,
			})
		}
	}
}

// paced takes in the answer to a change of pace.
func (s *Scheduler) paceAnswered(o Pace, err error) {
	h := s.hosts.get(o.Host)
	if err == nil || h == nil {
		return
	}
	if r := h.findRun(o.Task, o.Run); r != nil {
		// What the run works at isn't known; the next look sets it again.
		r.pace = _paceUnknown
		s.logNote("Pace was not set.", "", "task", o.Task, "upstream", o.Host, "err", err)
	}
}

// _paceUnknown stands for a pace that may or may not have been set.
const _paceUnknown = -1
