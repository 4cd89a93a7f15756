package emulator

import (
	"fmt"
	"hash/fnv"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/entry/scheduler"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

const (
	// _loadStart is when a load begins, after entries and planner have started.
	_loadStart = 6 * time.Second
	// _loadAttempts is how often a caller submits a job that is refused.
	_loadAttempts = 5
	// _loadPoll is the time between a caller's requests for the state of a job.
	_loadPoll = 100 * time.Millisecond
	// _sampleInterval is the time between two counts of the hosts in pools.
	_sampleInterval = 100 * time.Millisecond
	// _maxLateness is the multiple of its objective up to which a job counts as late
	// rather than as failed.
	_maxLateness = 3
)

// Replay plays a load and returns its result. The seed draws latencies and what the
// file leaves open. Trace receives a line for each event, if it isn't nil.
func Replay(l *Load, seed uint64, trace io.Writer) Result {
	w := New(Settings{Seed: seed, FaultFree: true, Trace: trace})
	w.setLoad(l)
	last := time.Duration(0)
	for i, j := range l.jobs {
		w.planLoadJob(i, j)
		last = max(last, j.at)
	}
	for _, f := range l.faults {
		w.after(_loadStart+f.from, func() { w.beginLoadFault(f) })
	}
	for _, u := range w.upstreams {
		if u.host.pool != _spare {
			u.beginIncarnation(u.machine + "-0")
		}
		w.heartbeat(u)
	}
	for _, e := range w.entries {
		w.after(w.between(0, 300*time.Millisecond), e.start)
	}
	w.after(_loadStart, w.sampleHosts)
	w.run(_loadStart + last + _drainTime)
	w.ledger.checkAtEnd()
	return w.result()
}

// setLoad replaces the world's pools, queues and hosts by those of a load.
func (w *World) setLoad(l *Load) {
	w.load = l
	w.enforcesCapacity = true
	w.pools, w.queues, w.upstreams = nil, make(map[string]platform.Queue), nil
	n := 0
	add := func(pool string, cpu int64, count int) {
		for range count {
			w.addUpstream(fmt.Sprintf("m%d", n), false)
			u := w.upstreams[n]
			u.host, u.report.Pool = hostIn(pool), pool
			u.report.Capacity = platform.Capacity{MilliCPU: cpu, MemoryMB: 128000}
			n++
		}
	}
	for _, p := range l.pools {
		w.pools = append(w.pools, p.name)
		w.queues[p.name] = platform.Queue{Name: "q-" + p.name, Pool: p.name, Attempts: 4, Stretch: p.stretch, Target: p.target}
		add(p.name, p.cpu, p.hosts)
	}
	add(_spare, l.pools[0].cpu, l.standby)
}

func (w *World) planLoadJob(i int, a loadJob) {
	j := &jobRecord{runTimes: a.runTimes, def: &work.Job{
		Id: fmt.Sprintf("%016x", i+1), Queue: w.queueOf(a.pool).Name, Pool: a.pool, Spec: fmt.Sprintf("job %d", i), Steps: a.steps,
	}}
	w.ledger.jobs[j.def.GetId()] = j
	w.after(_loadStart+a.at, func() { w.submitLoadJob(j, w.now, 1) })
}

// submitLoadJob submits a job and repeats that after a refusal, at the time that the
// refusal gives.
func (w *World) submitLoadJob(j *jobRecord, first time.Duration, attempt int) {
	w.callOwner(j.def.GetPool(), func(r scheduler.Ref) scheduler.Event {
		return scheduler.Submitted{Ref: r, Job: j.def}
	}, func(a *link.Answer, _ bool) {
		switch a.GetOutcome() {
		case link.Outcome_OUTCOME_OK:
			j.maybeAccepted, j.accepted = true, w.now
			w.awaitEnd(j, first)
		case link.Outcome_OUTCOME_OVERLOADED, link.Outcome_OUTCOME_UNAVAILABLE:
			j.refused = true
			if attempt < _loadAttempts {
				d := time.Duration(max(1, a.GetRetryAfterMs())) * time.Millisecond
				w.after(d+w.between(0, 50*time.Millisecond), func() { w.submitLoadJob(j, first, attempt+1) })
			}
		default:
			j.maybeAccepted = true
			if attempt < _loadAttempts {
				w.after(w.between(50*time.Millisecond, 200*time.Millisecond), func() { w.submitLoadJob(j, first, attempt+1) })
			}
		}
	})
}

// awaitEnd polls the state of an accepted job until it has ended.
func (w *World) awaitEnd(j *jobRecord, first time.Duration) {
	w.callOwner(j.def.GetPool(), func(r scheduler.Ref) scheduler.Event {
		return scheduler.StateRequested{Ref: r, ID: j.def.GetId()}
	}, func(a *link.Answer, _ bool) {
		if a.GetOutcome() == link.Outcome_OUTCOME_OK {
			w.checkState(j, a.GetState())
		}
		if ended(j.lastState) {
			j.took = w.now - first
			return
		}
		w.after(_loadPoll, func() { w.awaitEnd(j, first) })
	})
}

func (w *World) beginLoadFault(f loadFault) {
	d := f.to - f.from
	switch f.kind {
	case "lateCalls":
		w.lateCalls, w.lateCallsUntil = f.share, w.now+d
	case "storeDown":
		w.storeDown(d, nil)
	case "crash":
		for i, u := range w.upstreams {
			if float64(i%100) < 100*f.share {
				w.crash(u, d, false)
			}
		}
	case "wave":
		v := platform.Wave{Number: 1, TimeLimit: d}
		for i, u := range w.upstreams {
			if i%2 == 0 && float64(len(v.Machines)) < f.share*float64(len(w.upstreams)) {
				v.Machines = append(v.Machines, u.machine)
			}
		}
		v.MaxDown = max(1, len(v.Machines)/2)
		w.declaredWave = v
	}
}

// sampleHosts counts the hosts of the pools periodically.
func (w *World) sampleHosts() {
	for _, u := range w.upstreams {
		if u.host.pool != _spare {
			w.hostTime += _sampleInterval
		}
	}
	w.after(_sampleInterval, w.sampleHosts)
}

// runTime returns how long a task of a load takes: the step's mean, varied by up to a
// quarter.
func (j *jobRecord) runTime(t platform.TaskName) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.String())) // A hash never fails.
	return time.Duration(float64(j.runTimes[t.Step]) * (0.75 + 0.5*float64(h.Sum32()%1000)/1000))
}

// objective returns the latency objective of a job of a load.
func (w *World) objective(j *jobRecord) time.Duration {
	q, chain := w.queueOf(j.def.GetPool()), time.Duration(0)
	for i := range j.def.GetSteps() {
		chain += j.runTimes[i]
	}
	return time.Duration(q.Stretch*float64(chain)) + q.Target
}

// Result is the result of a replay.
type Result struct {
	pools      []poolResult
	hostTime   time.Duration
	moves      int
	violations []Violation
}

// poolResult counts the jobs of a pool by how they ended. A job is on time if its caller
// saw its end within the latency objective, measured from the first attempt; it is late
// within three times the objective. Long-running jobs don't count.
type poolResult struct {
	pool                          string
	jobs, onTime, late, unserved  int
	work, onTimeWork, refusedWork float64
}

func (w *World) result() Result {
	r := Result{hostTime: w.hostTime, moves: w.moves, violations: w.ledger.violations}
	for _, p := range w.pools {
		l := poolResult{pool: p}
		for _, id := range sortedKeys(w.ledger.jobs) {
			if j := w.ledger.jobs[id]; j.def.GetPool() == p && !j.longRunning() {
				l.add(j, w.objective(j))
			}
		}
		r.pools = append(r.pools, l)
	}
	return r
}

func (p *poolResult) add(j *jobRecord, objective time.Duration) {
	n := 0.0
	for i, d := range j.def.GetSteps() {
		n += float64(d.GetMilliCpu()) / 1000 * float64(d.GetCount()) * j.runTimes[i].Seconds()
	}
	p.jobs++
	p.work += n
	switch {
	case j.took > 0 && j.took <= objective:
		p.onTime++
		p.onTimeWork += n
	case j.took > 0 && j.took <= _maxLateness*objective:
		p.late++
	default:
		p.unserved++
		if j.accepted == 0 {
			p.refusedWork += n
		}
	}
}

// Violations returns the guarantees that the replay broke.
func (r Result) Violations() []Violation { return r.violations }

// Figures returns the totals of the result by name: jobs, onTime, late, unserved, work
// and onTimeWork in core-seconds, hostSeconds and moves.
func (r Result) Figures() map[string]int {
	m := map[string]int{"hostSeconds": int(r.hostTime.Seconds()), "moves": r.moves}
	for _, p := range r.pools {
		m["jobs"] += p.jobs
		m["onTime"] += p.onTime
		m["late"] += p.late
		m["unserved"] += p.unserved
		m["work"] += int(p.work)
		m["onTimeWork"] += int(p.onTimeWork)
	}
	return m
}

// String returns the result as a table.
func (r Result) String() string {
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "pool\tjobs\ton time\tlate\tunserved\twork\ton time\trefused\t")
	for _, p := range r.pools {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t\n", p.pool, p.jobs, p.onTime, p.late, p.unserved, p.work, p.onTimeWork, p.refusedWork)
	}
	_ = t.Flush() // A strings.Builder never fails.
	fmt.Fprintf(&b, "%.0f host-seconds in pools, %d moves\n", r.hostTime.Seconds(), r.moves)
	return b.String()
}
