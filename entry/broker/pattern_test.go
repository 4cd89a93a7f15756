package broker_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fescuelanding/entry/broker"
)

// The load pattern: five services, each with its own pool. In turn, each
// service offers five times its mean load for a few seconds; the others offer
// a twentieth of theirs meanwhile.
const (
	_pools           = 5
	_hostsOfPool     = 10
	_slotsOfHost     = 8
	_slotsOfPool     = _hostsOfPool * _slotsOfHost
	_entries         = 9
	_burst           = 4 * time.Second
	_cycle           = _pools * _burst
	_cycles          = 15
	_burstFactor     = 5.0
	_quietFactor     = 1.0 / 20
	_urgentRun       = 150 * time.Millisecond
	_urgentLoad      = 0.4 // mean load of urgent work, as a share of the pool
	_startWithin     = 1100 * time.Millisecond
	_urgentDeadline  = 2500 * time.Millisecond
	_relaxedRun      = 5 * time.Second
	_relaxedDeadline = 10 * time.Minute
	_relaxedMaxRun   = 2 * time.Minute
	_sigma           = 0.5 // of the logarithm of run times
	_teams           = 120
	_seeds           = 3
)

// job is one request of the load pattern.
type job struct {
	at      time.Duration
	run     time.Duration
	urgent  bool
	team    int
	isRetry bool // the retry of a refused job
	started time.Duration
	state   jobState
}

type jobState int

const (
	_waits jobState = iota
	_runs
	_inTime
	_late
	_refusedAtOnce
	_refusedLater
)

func (j *job) deadline() time.Duration {
	if j.urgent {
		return j.at + _urgentDeadline
	}
	return j.at + _relaxedDeadline
}

// record generates the arrivals of one pool.
func record(seed uint64, pool int, relaxedLoad float64) []*job {
	r := rand.New(rand.NewPCG(seed, uint64(pool)))
	js := draw(r, _cycles*_cycle, true, _urgentRun, func(t time.Duration) float64 {
		if int(t/_burst)%_pools == pool {
			return _urgentLoad * _burstFactor
		}
		return _urgentLoad * _quietFactor
	})
	js = append(js, draw(r, _cycles*_cycle, false, _relaxedRun, func(time.Duration) float64 { return relaxedLoad })...)
	slices.SortFunc(js, func(a, b *job) int { return int(a.at - b.at) })
	return js
}

func draw(r *rand.Rand, span time.Duration, urgent bool, run time.Duration, load func(time.Duration) float64) []*job {
	var js []*job
	for t := time.Duration(0); t < span; {
		l := load(t)
		if l == 0 {
			return js
		}
		t += time.Duration(r.ExpFloat64() * run.Seconds() / (l * _slotsOfPool) * float64(time.Second))
		d := time.Duration(float64(run) * math.Exp(r.NormFloat64()*_sigma-_sigma*_sigma/2))
		js = append(js, &job{at: t, run: d, urgent: urgent, team: r.IntN(_teams)})
	}
	return js
}

// queue is a scheduler of the jobs of a pool.
type queue struct {
	ask  func(now time.Duration, j int)
	done func(now time.Duration, j int)
	tick func(now time.Duration)
	next func() time.Duration
}

// replay drives a queue with the recorded jobs.
type replay struct {
	jobs    []*job
	retries bool
	ends    ends
	busy    time.Duration
	now     time.Duration
	pending []int
}

type end struct {
	at  time.Duration
	job int
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	n := len(*e) - 1
	x := (*e)[n]
	*e = (*e)[:n]
	return x
}

const _never = time.Duration(math.MaxInt64)

func (r *replay) run(q queue) {
	arrivals := &ends{}
	for i, j := range r.jobs {
		heap.Push(arrivals, end{at: j.at, job: i})
	}
	for {
		a, e, n := first(*arrivals), first(r.ends), q.next()
		r.now = min(a, e, n)
		switch {
		case r.now == _never:
			return
		case e == r.now:
			x := heap.Pop(&r.ends).(end)
			r.end(x)
			q.done(r.now, x.job)
		case a == r.now:
			q.ask(r.now, heap.Pop(arrivals).(end).job)
		default:
			q.tick(r.now)
		}
		for _, i := range r.pending {
			heap.Push(arrivals, end{at: r.jobs[i].at, job: i})
		}
		r.pending = r.pending[:0]
	}
}

func first(e ends) time.Duration {
	if len(e) == 0 {
		return _never
	}
	return e[0].at
}

func (r *replay) start(i int) {
	j := r.jobs[i]
	j.started, j.state = r.now, _runs
	heap.Push(&r.ends, end{at: r.now + j.run, job: i})
}

func (r *replay) end(e end) {
	j := r.jobs[e.job]
	j.state = _late
	if e.at <= j.deadline() {
		j.state = _inTime
	}
	r.busy += max(0, min(e.at, _cycles*_cycle)-j.started)
}

func (r *replay) refuse(i int, retryAfter time.Duration) {
	j := r.jobs[i]
	j.state = _refusedAtOnce
	if r.now > j.at {
		j.state = _refusedLater
	}
	if r.retries && !j.isRetry && retryAfter > 0 {
		k := &job{at: r.now + retryAfter, run: j.run, urgent: j.urgent, team: j.team, isRetry: true}
		r.jobs = append(r.jobs, k)
		r.pending = append(r.pending, len(r.jobs)-1)
	}
}

var _epoch = time.Unix(1_000_000, 0)

// brokerQueue schedules with the broker.
func brokerQueue(r *replay, teams int) queue {
	var b broker.Broker
	b.SetLimits(_epoch, patternLimits(teams))
	b.SetHosts(_epoch, patternHosts(_hostsOfPool))
	slots := make(map[int]uint64)
	apply := func(os []broker.Op) {
		for _, o := range os {
			switch o := o.(type) {
			case broker.Grant:
				slots[int(o.Request)] = o.Slot
				r.start(int(o.Request))
			case broker.Refuse:
				r.refuse(int(o.Request), o.RetryAfter)
			default:
				panic(fmt.Sprintf("unexpected %T", o))
			}
		}
	}
	return queue{
		ask: func(now time.Duration, i int) {
			apply(b.Ask(_epoch.Add(now), askOf(i, r.jobs[i], teams)))
		},
		done: func(now time.Duration, i int) {
			apply(b.Done(_epoch.Add(now), slots[i], broker.Result{Outcome: broker.Answered, Run: r.jobs[i].run}))
		},
		tick: func(now time.Duration) { apply(b.Tick(_epoch.Add(now))) },
		next: func() time.Duration {
			if t := b.Next(); !t.IsZero() {
				return max(t.Sub(_epoch), r.now)
			}
			return _never
		},
	}
}

func askOf(i int, j *job, teams int) broker.Ask {
	a := broker.Ask{
		Request: uint64(i), Entry: broker.Entry{Name: "e1", Incarnation: 1},
		Service: "service", Class: "relaxed", Team: fmt.Sprintf("team%d", j.team%teams),
		Idempotent: true, Deadline: _epoch.Add(j.deadline()),
	}
	if j.urgent {
		a.Class = "urgent"
	}
	return a
}

func patternLimits(teams int) broker.Limits {
	l := broker.Limits{MinAvailable: 8, Classes: []broker.Class{
		{Name: "urgent", Urgency: broker.Urgent, StartWithin: _startWithin, Deadline: _urgentDeadline, MaxRun: 10 * time.Second},
		{Name: "relaxed", Deadline: _relaxedDeadline, MaxRun: _relaxedMaxRun},
	}}
	for i := range teams {
		l.Teams = append(l.Teams, broker.Team{Name: fmt.Sprintf("team%d", i), Weight: 1 + i%3})
	}
	return l
}

func patternHosts(n int) []broker.Host {
	var hs []broker.Host
	for i := range n {
		hs = append(hs, broker.Host{
			Name: fmt.Sprintf("host%d", i), Rack: fmt.Sprintf("rack%d", i/4),
			Slots: _slotsOfHost, State: broker.Serving,
		})
	}
	return hs
}

// fifoQueue serves jobs in order of arrival from fixed shares of the slots.
// It skips jobs whose deadline has passed.
func fifoQueue(r *replay, shares []int) queue {
	free := slices.Clone(shares)
	waits := make([][]int, len(shares))
	share := func(i int) int { return i % len(shares) }
	serve := func(s int) {
		for free[s] > 0 && len(waits[s]) > 0 {
			i := waits[s][0]
			waits[s] = waits[s][1:]
			if r.now > r.jobs[i].deadline() {
				r.refuse(i, 0)
				continue
			}
			free[s]--
			r.start(i)
		}
	}
	return queue{
		ask: func(_ time.Duration, i int) {
			waits[share(i)] = append(waits[share(i)], i)
			serve(share(i))
		},
		done: func(_ time.Duration, i int) {
			free[share(i)]++
			serve(share(i))
		},
		tick: func(time.Duration) {},
		next: func() time.Duration { return _never },
	}
}

func staticShares() []int {
	s := make([]int, _entries)
	for i := range _slotsOfPool {
		s[i%_entries]++
	}
	return s
}

// tally counts the results of the jobs of one class over all pools.
type tally struct {
	offered, inTime, late, refusedAtOnce, refusedLater int
	retried, retriedInTime                             int
	bound, boundRunsKnown                              int
	waits                                              *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{waits: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
}

func (t *tally) add(js []*job, urgent bool) {
	for _, j := range js {
		if j.urgent != urgent {
			continue
		}
		if j.isRetry {
			t.retried++
			if j.state == _inTime {
				t.retriedInTime++
			}
			continue
		}
		t.offered++
		switch j.state {
		case _inTime:
			t.inTime++
		case _late:
			t.late++
		case _refusedAtOnce:
			t.refusedAtOnce++
		default:
			t.refusedLater++
		}
		if j.state == _inTime || j.state == _late {
			_ = t.waits.RecordValue(int64((j.started-j.at)/time.Microsecond) + 1)
		}
	}
}

// bounds counts how many jobs an ideal scheduler finishes in time at most.
// Per cycle, it adds up the work that all slots can do from the first arrival
// of the burst until the last start deadline, with nothing else to run. Field
// bound counts the jobs that fit in order of arrival. Field boundRunsKnown
// counts those that fit if run times are known and the shortest jobs go first.
func (t *tally) bounds(js []*job, urgent bool, pool int) {
	byCycle := make(map[int][]*job)
	for _, j := range js {
		if j.urgent == urgent && !j.isRetry {
			// The pool's burst opens its cycle.
			k := int((j.at - time.Duration(pool)*_burst + _cycle) / _cycle)
			byCycle[k] = append(byCycle[k], j)
		}
	}
	for _, c := range byCycle {
		t.bound += fit(c, urgent, false)
		t.boundRunsKnown += fit(c, urgent, true)
	}
}

func fit(js []*job, urgent, runsKnown bool) int {
	var sum, in time.Duration
	begin := js[0].at
	for _, j := range js {
		sum += j.run
	}
	mean := sum / time.Duration(len(js))
	last := begin + _burst + _startWithin + mean
	if !urgent {
		last = begin + _cycle
	}
	capacity := time.Duration(_slotsOfPool) * (last - begin)
	js = slices.Clone(js)
	if urgent {
		js = slices.DeleteFunc(js, func(j *job) bool { return j.at > begin+_burst })
	}
	if runsKnown {
		slices.SortFunc(js, func(a, b *job) int { return int(a.run - b.run) })
	}
	for i, j := range js {
		if in += j.run; in > capacity {
			return i
		}
	}
	return len(js)
}

var _schedulers = []struct {
	name  string
	queue func(*replay) queue
}{
	{"broker", func(r *replay) queue { return brokerQueue(r, _teams) }},
	{"staticShares", func(r *replay) queue { return fifoQueue(r, staticShares()) }},
	{"fifo", func(r *replay) queue { return fifoQueue(r, []int{_slotsOfPool}) }},
}

// BenchmarkPattern reports the shares of jobs that ended in time, late or
// refused, by class.
func BenchmarkPattern(b *testing.B) {
	for _, load := range []float64{0, 0.25, 0.5, 1} {
		for _, w := range _schedulers {
			b.Run(fmt.Sprintf("relaxed=%v/%s", load, w.name), func(b *testing.B) {
				for range b.N {
					measure(b, load, w.queue)
				}
			})
		}
	}
}

func measure(b *testing.B, load float64, q func(*replay) queue) {
	urgent, relaxed := newTally(), newTally()
	var busy, span time.Duration
	for i := range _seeds * _pools {
		seed, pool := uint64(i/_pools+1), i%_pools
		js := record(seed, pool, load)
		urgent.bounds(js, true, pool)
		r := &replay{jobs: js, retries: true}
		r.run(q(r))
		urgent.add(r.jobs, true)
		relaxed.add(r.jobs, false)
		busy += r.busy
		span += _slotsOfPool * _cycles * _cycle
	}
	urgent.report(b, "urgent")
	relaxed.report(b, "relaxed")
	b.ReportMetric(100*float64(busy)/float64(span), "slotUse-%")
}

// BenchmarkSurprise sends one burst to a pool whose slots were full of
// relaxed work for so long that no burst is remembered.
func BenchmarkSurprise(b *testing.B) {
	const quiet = time.Hour
	for _, run := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
		for _, w := range _schedulers {
			b.Run(fmt.Sprintf("relaxedRun=%v/%s", run, w.name), func(b *testing.B) {
				r := rand.New(rand.NewPCG(1, 1))
				js := draw(r, quiet+2*_burst, false, run, func(time.Duration) float64 { return 1.1 })
				for _, j := range draw(r, _burst, true, _urgentRun, func(time.Duration) float64 { return _urgentLoad * _burstFactor }) {
					j.at += quiet
					js = append(js, j)
				}
				urgent := newTally()
				urgent.bounds(js, true, 0)
				p := &replay{jobs: js}
				p.run(w.queue(p))
				urgent.add(p.jobs, true)
				urgent.report(b, "urgent")
			})
		}
	}
}

func (t *tally) report(b *testing.B, class string) {
	if t.offered == 0 {
		return
	}
	share := func(n int, of int, name string) { b.ReportMetric(100*float64(n)/float64(max(of, 1)), class+name) }
	share(t.inTime, t.offered, "InTime-%")
	share(t.refusedAtOnce, t.offered, "RefusedAtOnce-%")
	share(t.refusedLater, t.offered, "RefusedLater-%")
	share(t.late, t.offered, "Late-%")
	if t.bound > 0 {
		b.ReportMetric(100*float64(t.bound)/float64(t.offered), class+"Bound-%")
		b.ReportMetric(100*float64(t.boundRunsKnown)/float64(t.offered), class+"BoundKnowing-%")
	}
	share(t.retriedInTime, t.retried, "BackInTime-%")
	for _, p := range []float64{50, 99, 99.9} {
		b.ReportMetric(float64(t.waits.ValueAtQuantile(p))/1000, fmt.Sprintf("%sWaitP%v-ms", class, p))
	}
}
