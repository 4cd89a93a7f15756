package scheduler

import (
	"slices"
	"time"

	"fescuelanding/entry/link"
)

const (
	// _demandSpan is how far back demand is measured: short against the seconds
	// for which a queue's turn lasts, long enough for some jobs.
	_demandSpan = 600 * time.Millisecond
	// _firstSeenFor is how long a refused job's first attempt is remembered:
	// longer than callers go on trying.
	_firstSeenFor = 30 * time.Second
)

// demand is the work that was handed in lately.
type demand struct{ arrivals []offered }

type offered struct {
	at   time.Time
	work float64
}

// note takes in work, in thousandths of a core times seconds.
func (d *demand) note(now time.Time, work float64) {
	d.trim(now)
	d.arrivals = append(d.arrivals, offered{now, work})
}

func (d *demand) trim(now time.Time) {
	for len(d.arrivals) > 0 && now.Sub(d.arrivals[0].at) > _demandSpan {
		d.arrivals = d.arrivals[1:]
	}
}

// rate returns the work by the second, in thousandths of a core.
func (d *demand) rate(now time.Time) float64 {
	d.trim(now)
	w := 0.0
	for _, a := range d.arrivals {
		w += a.work
	}
	return w / _demandSpan.Seconds()
}

// firstSeen remembers when jobs that were refused came first, as their callers
// count from then.
type firstSeen struct {
	at    map[string]time.Time
	order []string
}

// note returns when a job came first, and whether that is now.
func (f *firstSeen) note(now time.Time, id string) (first time.Time, fresh bool) {
	if t, ok := f.at[id]; ok {
		return t, false
	}
	if f.at == nil {
		f.at = make(map[string]time.Time)
	}
	for len(f.order) > 0 && now.Sub(f.at[f.order[0]]) > _firstSeenFor {
		delete(f.at, f.order[0])
		f.order = f.order[1:]
	}
	f.at[id] = now
	f.order = append(f.order, id)
	return now, true
}

// arrival is room that will join at a time.
type arrival struct {
	at  time.Time
	cpu float64
}

// plan takes in what the planner tells and answers with the load.
func (s *Scheduler) plan(now time.Time, e LoadRequested) {
	if e.Token < s.planner || e.Token == s.planner && e.Sequence <= s.planned {
		s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_GONE})
		return
	}
	s.planner, s.planned = e.Token, e.Sequence
	s.announce(now, e.Arrivals)
	s.bereave(now, e.Gone)
	for _, h := range s.hosts.order {
		h.due = slices.Contains(e.Due, h.up.ID)
	}
	l := s.measure(now)
	l.Vacant = s.vacate(now, e.Vacate)
	s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_OK, Load: l})
}

func (s *Scheduler) announce(now time.Time, l []*link.Arrival) {
	s.arrivals = s.arrivals[:0]
	for _, a := range l {
		s.arrivals = append(s.arrivals, arrival{
			now.Add(time.Duration(a.GetInMs()) * time.Millisecond), float64(a.GetMilliCpu()),
		})
	}
}

// measure sums up the pool for the planner.
func (s *Scheduler) measure(now time.Time) *link.PoolLoad {
	l := &link.PoolLoad{Demand: int64(s.demand.rate(now))}
	b := s.backlog(now)
	l.Backlog = int64(b.waiting + b.running)
	for _, h := range s.hosts.order {
		id := h.up.ID
		_, unheard := s.unheard[id]
		if !h.gone && (unheard || h.failed > 0 && (!h.listed || len(h.runs) > 0)) {
			l.Doubtful = append(l.Doubtful, &link.HostLoad{Upstream: id, Machine: h.up.Machine})
		}
		if h.gone || !h.listed || h.up.Draining {
			continue
		}
		l.Capacity += h.up.Capacity.MilliCPU
		l.Hosts = append(l.Hosts, &link.HostLoad{
			Upstream: id, Machine: h.up.Machine, Runs: int32(len(h.runs)), Lasting: int32(h.lasting()),
		})
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
	return l
}
