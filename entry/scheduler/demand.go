package scheduler

import (
	"math"
	"slices"
	"time"

	"fescuelanding/entry/link"
)

const (
	// _demandSpan is the period over which the current demand is measured. It covers several
	// jobs, but is much shorter than a load peak of a queue, which lasts seconds.
	_demandSpan = 600 * time.Millisecond
	// _trendSpan is the period over which the slope of demand is measured.
	_trendSpan = 1500 * time.Millisecond
	// _steadyJobs is the number of jobs from which a rate is steady enough to plan with.
	_steadyJobs = 25
	// _maxChain limits the duration of a job that the forecast counts with.
	_maxChain = 10 * time.Second
	// _maxRise limits the forecast, as a multiple of the current demand.
	_maxRise = 4.0
	// _firstSeenRetention is how long the time of a job's first attempt is kept.
	// It is longer than callers retry a refused job.
	_firstSeenRetention = 30 * time.Second
)

// demand is the work submitted recently.
type demand struct{ samples []demandSample }

// demandSample is a submitted job.
type demandSample struct {
	at time.Time
	// work is in millicore-seconds.
	work float64
	// chain is how long the job takes if nothing delays it.
	chain time.Duration
	// fresh is set at the job's first attempt, accepted once it was accepted.
	fresh, accepted bool
}

// add records a submitted job.
func (d *demand) add(now time.Time, x demandSample) {
	d.trim(now)
	x.at, x.chain = now, min(max(x.chain, _demandSpan/2), _maxChain)
	d.samples = append(d.samples, x)
}

func (d *demand) trim(now time.Time) {
	for len(d.samples) > 0 && now.Sub(d.samples[0].at) > _maxChain {
		d.samples = d.samples[1:]
	}
}

// rate returns the submitted work per second, in millicores.
func (d *demand) rate(now time.Time) float64 {
	w := 0.0
	for _, x := range d.recent(now, _demandSpan) {
		if x.fresh {
			w += x.work
		}
	}
	return w / _demandSpan.Seconds()
}

// recent returns the samples of the last period.
func (d *demand) recent(now time.Time, span time.Duration) []demandSample {
	n := len(d.samples)
	for n > 0 && now.Sub(d.samples[n-1].at) <= span {
		n--
	}
	return d.samples[n:]
}

// trend returns the slope of demand, in millicores per second. The part of it that the
// random times and sizes of jobs would explain is left out.
func (d *demand) trend(now time.Time) float64 {
	t := _trendSpan.Seconds()
	moment, variance := 0.0, 0.0
	for _, x := range d.recent(now, _trendSpan) {
		if x.fresh {
			m := t/2 - now.Sub(x.at).Seconds()
			moment += x.work * m
			variance += x.work * x.work * m * m
		}
	}
	if moment == 0 {
		return 0
	}
	slope := 12 * moment / (t * t * t)
	return slope * moment * moment / (moment*moment + variance)
}

// forecast is the CPU that jobs are expected to use, and its standard deviation, both in
// millicores.
type forecast struct{ cpu, deviation float64 }

// expected predicts the CPU that jobs will use after a period if nothing delays them: that
// of the jobs accepted by then, each spread evenly over its duration, and that of jobs yet to
// come, which arrive independently of one another.
func (d *demand) expected(now time.Time, ahead time.Duration) forecast {
	cpu, work, squares, chained := 0.0, 0.0, 0.0, 0.0
	for _, x := range d.samples {
		if age := now.Sub(x.at); x.accepted && age+ahead < x.chain {
			cpu += x.work / x.chain.Seconds()
		}
	}
	for _, x := range d.recent(now, _trendSpan) {
		work += x.work
		squares += x.work * x.work
		chained += x.work * x.chain.Seconds()
	}
	if work == 0 {
		return forecast{cpu: cpu}
	}
	chain := chained / work
	// Jobs that arrive from now on use CPU after the period if they last until then.
	from := max(0, ahead.Seconds()-chain)
	to := ahead.Seconds()
	rate, span := d.steadyRate(now)
	mean := rate + d.trend(now)*((from+to)/2+span.Seconds()/2)
	mean = min(max(0, mean), _maxRise*rate)
	later := mean * (to - from) / chain
	// A job of the mean size, weighted by size, uses squares/work/chain of CPU.
	return forecast{cpu + later, math.Sqrt(later * squares / work / chain)}
}

// steadyRate returns the submitted work per second, in millicores, measured over the shortest
// period with _steadyJobs jobs of equal size or as many of different sizes as vary no more. The
// period is between _demandSpan and _trendSpan.
func (d *demand) steadyRate(now time.Time) (rate float64, span time.Duration) {
	work, squares := 0.0, 0.0
	l := d.recent(now, _trendSpan)
	for i := len(l) - 1; i >= 0; i-- {
		x := l[i]
		if span = now.Sub(x.at); span >= _demandSpan && work*work >= _steadyJobs*squares {
			return work / span.Seconds(), span
		}
		if x.fresh {
			work += x.work
			squares += x.work * x.work
		}
	}
	return work / _trendSpan.Seconds(), _trendSpan
}

// firstSeen stores when jobs were first submitted. A refused job may be submitted
// again, and its caller measures latency from the first attempt.
type firstSeen struct {
	at    map[string]*attempts
	order []string
}

// attempts is what is known of a job's attempts.
type attempts struct {
	first time.Time
	// tries counts them.
	tries int
	// surplus is set if the job exceeded its workspace's entitlement at the first.
	surplus bool
}

// record counts an attempt to submit a job.
func (f *firstSeen) record(now time.Time, id string) *attempts {
	if a := f.at[id]; a != nil {
		a.tries++
		return a
	}
	if f.at == nil {
		f.at = make(map[string]*attempts)
	}
	for len(f.order) > 0 && now.Sub(f.at[f.order[0]].first) > _firstSeenRetention {
		delete(f.at, f.order[0])
		f.order = f.order[1:]
	}
	a := &attempts{first: now, tries: 1}
	f.at[id] = a
	f.order = append(f.order, id)
	return a
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
	s.applyShares(now, e)
	s.endIncarnations(now, e.Gone)
	for _, h := range s.hosts.order {
		h.waveDue = slices.Contains(e.Due, h.up.ID)
	}
	l := s.poolLoad(now, e.Ahead)
	s.leaveDueHosts(now)
	l.Vacant = s.vacate(now, e)
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

// poolLoad returns the capacity, demand and hosts of the pool for the planner. ahead is how
// long it takes until an ordered host serves.
func (s *Scheduler) poolLoad(now time.Time, ahead time.Duration) *link.PoolLoad {
	b := s.backlog(now)
	f := s.demand.expected(now, ahead)
	l := &link.PoolLoad{
		Demand: int64(s.demand.rate(now)), Expected: int64(f.cpu), Deviation: int64(f.deviation),
		Backlog: int64(b.waiting + b.running), Waiting: int64(b.ready), Busy: int64(b.busy),
	}
	for _, h := range s.hosts.order {
		id := h.up.ID
		_, unpolled := s.unpolled[id]
		if unpolled || h.failedPolls > 0 && (!h.gone && !h.listed || len(h.runs) > 0) {
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
	s.keepForAdvice(now, l)
	s.reportUsage(now, l)
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
				fit, n := cpu/each, int64(d.GetCount())
				most = max(most, int32((n-1)/fit+1))
			}
		}
	}
	if most == 0 {
		return 0
	}
	hosts := longRunning / cpu
	if longRunning%cpu > 0 {
		hosts++
	}
	return most + int32(min(hosts, math.MaxInt16))
}
