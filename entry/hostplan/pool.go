package hostplan

import (
	"cmp"
	"math"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

const (
	// _packing is the ratio of planned capacity to expected CPU; it exceeds 1 because
	// tasks don't pack into hosts without gaps.
	_packing = 1.1
	// _deviations is how many standard deviations are added to the expected CPU. A pool with
	// few large jobs needs more room in proportion.
	_deviations = 2.5
	// _cycleHeadroom is the ratio of planned capacity to the demand of a former period.
	_cycleHeadroom = 1.25
	// _minHosts stay in a pool without demand so that it can serve the start of a
	// peak.
	_minHosts = 2
	// _waitingTargetS is the time within which waiting tasks should be done, in seconds.
	_waitingTargetS = 1.0
	// _forecastLead is how long before a forecast peak a pool should have its hosts.
	_forecastLead = 700 * time.Millisecond
	// _ownerLearns is how long an owner takes to see the demand of its pool. It measures demand from
	// what is submitted to it, over that time, and knows nothing of its predecessor's.
	_ownerLearns = 1500 * time.Millisecond
)

// poolState is the planner's state of one pool.
type poolState struct {
	name    string
	standby bool
	// load is the last load that the owner reported. It is current if the owner
	// answered the last request.
	load    *link.PoolLoad
	current bool
	// hostCPU is the capacity of one host, in thousandths of a core. It is
	// zero until the pool has had one.
	hostCPU float64
	// hosts is the number of hosts that are in the pool or moving to it. Hosts in the
	// state MachineDown don't count.
	hosts int
	// unavailable is the number of these hosts that are in the state MachineUpkeep or
	// have an upkeep task.
	unavailable int
	// need is the number of hosts that the pool should have. minNeed of them are
	// required even without demand: for long-running tasks, for spreading tasks over
	// hosts, and to serve the start of a peak.
	need    int
	minNeed int
	// waveExtra is how many hosts the pool should have beyond need to replace those
	// that a wave takes down.
	waveExtra int
	firstSeen time.Time
	// owner is the fencing token of the pool's owner, which has reported since ownerSince.
	owner      int64
	ownerSince time.Time
	// formerNeed is the last need under an owner that had seen enough of the demand.
	formerNeed int
	// recentNeeds are the values of need within _standbyDelay.
	recentNeeds []needSample
	cycle       demandCycle
}

// runs returns the number of runs on an upstream, and of the long-running ones among
// them. A run is one execution of a task.
func (s *poolState) runs(upstream string) (all, longRunning int) {
	for _, h := range s.load.GetHosts() {
		if h.GetUpstream() == upstream {
			return int(h.GetRuns()), int(h.GetLasting())
		}
	}
	return 0, 0
}

// unused reports whether nothing runs in the pool. This holds for standby pools and
// for pools without a state (s is nil).
func (s *poolState) unused() bool { return s == nil || s.standby }

// updatePools derives the state of the pools from the current view.
func (p *Planner) updatePools(now time.Time) {
	seen := make(map[string]bool)
	for _, v := range p.view.Pools {
		seen[v.Name] = true
		s := p.pools[v.Name]
		if s == nil {
			s = &poolState{name: v.Name, firstSeen: now}
			p.pools[v.Name] = s
		}
		s.standby = v.Standby
		s.current = v.Load != nil
		if v.Load != nil {
			s.load = v.Load
			s.noteOwner(now, v.Load.GetOwner())
			if !s.ownerIsNew(now) {
				s.cycle.record(now, float64(v.Load.GetDemand()))
			}
		}
		s.hosts, s.unavailable = 0, 0
	}
	for name := range p.pools {
		if !seen[name] {
			delete(p.pools, name)
		}
	}
	least := 0.0
	for _, m := range p.view.Machines {
		p.countHost(m)
		if c := float64(m.Capacity.MilliCPU); c > 0 && (least == 0 || c < least) {
			least = c
		}
	}
	for _, s := range p.pools {
		s.updateNeed(now, p.settings.MoveTime, least)
	}
}

// countHost counts a host in its pool, or in its target pool while it moves.
func (p *Planner) countHost(m platform.Machine) {
	pool := m.Pool
	t := p.tasks[m.Name]
	if t != nil && t.targetPool != "" {
		pool = t.targetPool
	}
	s := p.pools[pool]
	if s == nil || m.State == platform.MachineDown {
		return
	}
	s.hosts++
	if s.hostCPU == 0 {
		s.hostCPU = float64(m.Capacity.MilliCPU)
	}
	if m.State == platform.MachineUpkeep || t != nil && t.wave != 0 {
		s.unavailable++
	}
}

// updateNeed computes how many hosts the pool should have; move is how long a host
// takes to move, and least the least capacity of all hosts.
func (s *poolState) updateNeed(now time.Time, move time.Duration, least float64) {
	hostCPU := s.hostCPU
	if s.hasWork() {
		hostCPU = cmp.Or(hostCPU, least)
	}
	if s.standby || s.load == nil || hostCPU <= 0 {
		s.need = 0
		return
	}
	expected := float64(s.load.GetExpected())*_packing + float64(s.load.GetDeviation())*_deviations
	expected = max(expected, s.cycle.forecast(now, move+_forecastLead)*_cycleHeadroom)
	present := float64(s.load.GetBusy()) + float64(s.load.GetWaiting())/_waitingTargetS
	longRunning := float64(s.load.GetLasting())
	s.need = int(math.Ceil((longRunning + max(expected, present)) / hostCPU))
	longRunningHosts := 0
	for _, h := range s.load.GetHosts() {
		if h.GetLasting() > 0 {
			longRunningHosts++
		}
	}
	s.minNeed = max(longRunningHosts, s.leastHosts())
	s.need = max(s.need, s.minNeed)
	if s.ownerIsNew(now) {
		s.need = max(s.need, s.formerNeed)
	} else {
		s.formerNeed = s.need
	}
	s.recentNeeds = append(s.recentNeeds, needSample{now, s.need})
	for now.Sub(s.recentNeeds[0].at) > _standbyDelay {
		s.recentNeeds = s.recentNeeds[1:]
	}
}

// hasWork reports whether the pool has jobs, or gets some.
func (s *poolState) hasWork() bool {
	l := s.load
	return l.GetBacklog() > 0 || l.GetDemand() > 0 || l.GetExpected() > 0 || l.GetLasting() > 0
}

// leastHosts returns how many hosts the pool needs to spread the tasks of each step over them.
func (s *poolState) leastHosts() int { return max(int(s.load.GetSpread()), _minHosts) }

// noteOwner notes the owner that reported the load.
func (s *poolState) noteOwner(now time.Time, token int64) {
	if s.owner == token {
		return
	}
	if s.owner != 0 {
		s.ownerSince = now
	}
	s.owner = token
}

// ownerIsNew reports whether the pool changed hands so lately that its owner sees too little demand.
func (s *poolState) ownerIsNew(now time.Time) bool {
	return !s.ownerSince.IsZero() && now.Sub(s.ownerSince) < _ownerLearns
}

// target returns how many available hosts the pool should have.
func (s *poolState) target() int { return s.need + s.waveExtra }

// needSample is how many hosts a pool needed at a time.
type needSample struct {
	at    time.Time
	hosts int
}

// maxNeed returns the highest need of the pool from now-within until now.
func (s *poolState) maxNeed(now time.Time, within time.Duration) int {
	n := s.need
	for _, x := range s.recentNeeds {
		if now.Sub(x.at) <= within {
			n = max(n, x.hosts)
		}
	}
	return n
}
