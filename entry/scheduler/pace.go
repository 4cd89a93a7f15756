package scheduler

import (
	"time"

	"fescuelanding/fleet/permit"
)

// Long-running serving tasks have an objective for their tail latency.
// Best-effort tasks, which use the CPU left over by others on the host, raise it
// by amounts that change within seconds. They are therefore slowed quickly and
// sped up slowly.
const (
	// _slowAbove is the share of the target latency from which best-effort tasks
	// are slowed. From the full target on they are paused.
	_slowAbove = 0.85
	// _speedUpBelow is the share of the target latency below which they are sped
	// up.
	_speedUpBelow = 0.7
	// _paceStep is the percentage by which they are sped up each _paceInterval.
	_paceStep     = 25
	_paceInterval = time.Second
	// _pacePollWait is the wait of polls of a host that runs both kinds of tasks.
	_pacePollWait = 400 * time.Millisecond
)

// hasServingAndBestEffort reports whether the upstream runs both tasks with a target
// latency and best-effort tasks.
func (h *host) hasServingAndBestEffort() bool {
	serves, fills := false, false
	for _, r := range h.runs {
		serves = serves || r.task.step.def.GetTargetMs() > 0
		fills = fills || r.task.step.def.GetFills()
	}
	return serves && fills
}

// latencyRatio returns the highest ratio of tail latency to target latency.
func (h *host) latencyRatio() float64 {
	worst := 0.0
	for _, r := range h.runs {
		if t := r.task.step.def.GetTargetMs(); t > 0 && r.state == runRunning {
			worst = max(worst, float64(r.gauge)/float64(t))
		}
	}
	return worst
}

// pace adjusts the speed limit of best-effort tasks on a host.
func (s *Scheduler) pace(now time.Time, h *host) {
	was := h.pace()
	percent := was
	switch v := h.latencyRatio(); {
	case v >= 1:
		percent = 0
	case v >= _slowAbove:
		percent = was / 2
	case v < _speedUpBelow && was < 100 && now.Sub(h.pacedAt) >= _paceInterval:
		percent = min(100, was+_paceStep)
	}
	if percent != was {
		h.slowed, h.pacedAt = 100-percent, now
		s.logNote("Speed limit of best-effort tasks changed.", "", "upstream", h.up.ID,
			"percent", percent, "was", was, "strain", h.latencyRatio())
	}
	for _, r := range h.runs {
		if r.task.step.def.GetFills() && r.state == runRunning && r.pace != percent {
			r.pace = percent
			s.emit(Pace{
				Host: h.up.ID, Target: h.target, Task: r.task.name, Run: r.number, Token: s.set.Token, Percent: percent,
				Permit: permit.New(now, _orderLife), Timeout: s.flow.timeout(_orderTimeout),
			})
		}
	}
}

// paceAnswered handles the answer to a change of pace.
func (s *Scheduler) paceAnswered(o Pace, err error) {
	h := s.hosts.get(o.Host)
	if err == nil || h == nil {
		return
	}
	if r := h.findRun(o.Task, o.Run); r != nil {
		// The speed limit in force is unknown; the next poll sets it again.
		r.pace = _paceUnknown
		s.logNote("Setting a run's speed limit failed; it is set again after the next poll.", "", "task", o.Task, "upstream", o.Host, "err", err)
	}
}

// _paceUnknown marks a run whose speed limit may or may not have been set.
const _paceUnknown = -1
