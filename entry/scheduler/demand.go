package scheduler

import (
	"slices"
	"time"

	"fescuelanding/entry/link"
)

const (
	// _demandSpan is the period over which demand is measured. It covers several
	// jobs, but is much shorter than a load peak of a queue, which lasts seconds.
	_demandSpan = 600 * time.Millisecond
	// _firstSeenRetention is how long the time of a job's first attempt is kept.
	// It is longer than callers retry a refused job.
	_firstSeenRetention = 30 * time.Second
)

// demand is the work submitted recently.
type demand struct{ samples []demandSample }

type demandSample struct {
	at   time.Time
	work float64
}

// add records submitted work in millicore-seconds.
func (d *demand) add(now time.Time, work float64) {
	d.trim(now)
	d.samples = append(d.samples, demandSample{now, work})
}

func (d *demand) trim(now time.Time) {
	for len(d.samples) > 0 && now.Sub(d.samples[0].at) > _demandSpan {
		d.samples = d.samples[1:]
	}
}

// rate returns the submitted work per second, in millicores.
func (d *demand) rate(now time.Time) float64 {
	d.trim(now)
	w := 0.0
	for _, a := range d.samples {
		w += a.work
	}
	return w / _demandSpan.Seconds()
}

// firstSeen stores when jobs were first submitted. A refused job may be submitted
// again, and its caller measures latency from the first attempt.
type firstSeen struct {
	at    map[string]time.Time
	order []string
}

// record returns when a job was first submitted, and whether this is its first
// attempt.
func (f *firstSeen) record(now time.Time, id string) (first time.Time, fresh bool) {
	if t, ok := f.at[id]; ok {
		return t, false
	}
	if f.at == nil {
		f.at = make(map[string]time.Time)
	}
	for len(f.order) > 0 && now.Sub(f.at[f.order[0]]) > _firstSeenRetention {
		delete(f.at, f.order[0])
		f.order = f.order[1:]
	}
	f.at[id] = now
	f.order = append(f.order, id)
	return now, true
}

// arrival is capacity, in millicores, that joins the pool at a known time.
type arrival struct {
	at  time.Time
	cpu float64
}

// handlePlan applies the planner's plan and replies with the pool's load. Plans
// of an earlier planner and reordered ones are rejected.
func (s *Scheduler) handlePlan(now time.Time, e LoadRequested) {
	if e.Token < s.plannerToken || e.Token == s.plannerToken && e.Sequence <= s.planSequence {
		s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_GONE})
		return
	}
	s.plannerToken, s.planSequence = e.Token, e.Sequence
	s.setArrivals(now, e.Arrivals)
	s.endIncarnations(now, e.Gone)
	for _, h := range s.hosts.order {
		h.waveDue = slices.Contains(e.Due, h.up.ID)
	}
	l := s.poolLoad(now)
	l.Vacant = s.vacate(now, e.Vacate)
	s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_OK, Load: l})
}

func (s *Scheduler) setArrivals(now time.Time, l []*link.Arrival) {
	s.arrivals = s.arrivals[:0]
	for _, a := range l {
		s.arrivals = append(s.arrivals, arrival{
			now.Add(time.Duration(a.GetInMs()) * time.Millisecond), float64(a.GetMilliCpu()),
		})
	}
}

// poolLoad returns the capacity, demand and hosts of the pool for the planner.
func (s *Scheduler) poolLoad(now time.Time) *link.PoolLoad {
	l := &link.PoolLoad{Demand: int64(s.demand.rate(now))}
	b := s.backlog(now)
	l.Backlog = int64(b.waiting + b.running)
	for _, h := range s.hosts.order {
		id := h.up.ID
		_, unpolled := s.unpolled[id]
		if !h.gone && (unpolled || h.failedPolls > 0 && (!h.listed || len(h.runs) > 0)) {
			l.Doubtful = append(l.Doubtful, h.load(now))
		}
		if h.gone || !h.listed || h.up.Draining {
			continue
		}
		l.Capacity += h.up.Capacity.MilliCPU
		l.Hosts = append(l.Hosts, h.load(now))
	}
	for _, j := range s.active {
		for _, d := range j.def.GetSteps() {
			if d.GetLongRunning() && !d.GetFills() {
				l.Lasting += int64(d.GetCount()) * d.GetMilliCpu()
			}
			if n := d.GetAntiAffinity(); n > 0 && d.GetLongRunning() {
				l.Spread = max(l.Spread, (d.GetCount()+n-1)/n)
			}
		}
	}
	l.Spread = max(l.Spread, s.gangHosts(l.GetLasting()))
	return l
}

// gangHosts returns how many hosts the largest gang that hasn't ended needs at a time,
// beside long-running tasks that request the given CPU in millicores. A pool with fewer
// could never start it.
func (s *Scheduler) gangHosts(longRunning int64) int32 {
	var cpu int64
	for _, h := range s.hosts.order {
		cpu = max(cpu, h.up.Capacity.MilliCPU)
	}
	var most int32
	for _, j := range s.active {
		for _, d := range j.def.GetSteps() {
			if each := d.GetMilliCpu(); d.GetGang() && each > 0 && each <= cpu {
				fit := int32(cpu / each)
				most = max(most, (d.GetCount()+fit-1)/fit)
			}
		}
	}
	if most == 0 {
		return 0
	}
	return most + int32((longRunning+cpu-1)/cpu)
}
