package emulator

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"fescuelanding/fleet/work"
	"fescuelanding/platform"
	"fescuelanding/standin/site"
)

// _epoch is the time of day at which histories begin.
var _epoch = time.Unix(1_700_000_000, 0)

// Settings are the settings of a World. Zero values stand for the defaults.
type Settings struct {
	Seed uint64
	// Upstreams is the number of upstreams in the pool, Jobs the number of submitted jobs.
	Upstreams, Jobs int
	// SubmitPeriod is the time during which callers submit jobs and faults begin.
	SubmitPeriod time.Duration
	// KillOwner is when the owner of the pool is killed; zero for never.
	KillOwner time.Duration
	// FaultFree disables random faults, doubles the hosts' CPU and makes all jobs alike: two
	// steps of eight tasks.
	FaultFree bool
	// Limits adds a second pool, and workspaces whose limits hold over both.
	Limits bool
	// Crashing gives some jobs a task that crashes each upstream that starts it.
	Crashing bool
	// Splits adds splits of the network into two sides, and tasks that run for seconds.
	Splits bool
	// Cancels has half of the jobs cancelled, while their tasks run for seconds.
	Cancels bool
	// LateOrders has upstreams execute some orders late and others in time, with half of the jobs
	// long-running.
	LateOrders bool
	// PowerLoss cuts the power of all entries at once after the other faults, while callers go on.
	PowerLoss bool
	// SmallRecords has the store refuse all but small records and appends, so that the progress of
	// most jobs has several records.
	SmallRecords bool
	// Batches has owners fall behind their events at times, and handle several at once.
	Batches bool
	// AnswerWait is how long events of upstreams wait behind the requests of callers, while these press on the owners for
	// _pressTime after all faults; zero for not at all.
	AnswerWait time.Duration
	// Policy has the queue's policy decide on which upstreams a step may run.
	Policy bool
	// Moves adds two pools, and versions of the configuration that have the queue's route feed one of them or
	// remove it, while accepted jobs are submitted again.
	Moves bool
	// Restarts adds waves in which upstreams crash together and start again under their IDs, while some
	// tasks run for seconds and others wait for room.
	Restarts bool
	// StaleCalls has upstreams execute calls that were meant for a former incarnation, around such waves.
	StaleCalls bool
	// Stalls adds spells in which owners stand still while their clocks run on, and upstreams start again under
	// their IDs before they go on.
	Stalls bool
	// Exits has runs of long-running tasks end by themselves as done.
	Exits bool
	// Trace receives a line for each event, if set.
	Trace io.Writer
}

const (
	_entries      = 3
	_hostCPU      = 8000
	_upstreams    = 5
	_spares       = 3
	_jobs         = 24
	_submitPeriod = 12 * time.Second
	// _drainTime is the time after the last submission by which all accepted jobs must
	// have ended. It exceeds the longest fault plus the longest time for which entries and
	// callers wait after it.
	_drainTime = 48 * time.Second
	// _smallRecord and _smallCall are the store's limits with SmallRecords, in bytes.
	_smallRecord = 3 << 10
	_smallCall   = 4 << 10
)

// withDefaults replaces zero values by the defaults.
func (s Settings) withDefaults() Settings {
	if s.Restarts && s.Upstreams == 0 {
		s.Upstreams = _restartUpstreams
	}
	if s.Restarts && s.Jobs == 0 {
		s.Jobs = _restartJobs
	}
	if s.Upstreams == 0 {
		s.Upstreams = _upstreams
	}
	if s.Jobs == 0 {
		s.Jobs = _jobs
	}
	if s.SubmitPeriod == 0 {
		s.SubmitPeriod = _submitPeriod
	}
	return s
}

// World is one history: the emulated platform, its entries and its callers.
type World struct {
	clock
	settings Settings
	rand     *rand.Rand
	trace    io.Writer
	net      network
	store    *site.Store
	// pools are the pools in the order of their partitions. Each has one queue, in queues.
	pools  []string
	queues map[string]platform.Queue
	// enforcesCapacity is set if upstreams refuse runs beyond their capacity.
	enforcesCapacity bool
	upstreams        []*upstream
	hostLists        hostLists
	entries          []*entry
	ledger           ledger
	// listing holds the last report of each upstream, by upstream ID.
	listing map[string]listEntry
	gangs   map[gangKey]*gang
	fault   storeFault
	// crashedUntil is the end of the last crash of an upstream.
	crashedUntil time.Duration
	// killedAt is when the owner was killed, resumedAt when the next owner started a task.
	killedAt, resumedAt time.Duration
	// declaredWave is the operator's wave; its number is zero if there is none.
	declaredWave platform.Wave

	// load is the load that is replayed, or nil. Until lateCallsUntil, the share lateCalls
	// of the calls to upstreams has no answer and is executed late. hostTime is the time
	// that hosts have spent in pools, moves the number of hosts that moved.
	load           *Load
	lateCalls      float64
	lateCallsUntil time.Duration
	hostTime       time.Duration
	moves          int
	// limits are the limits of workspaces, or nil.
	limits *limits
	// crashes draws the tasks that crash their upstreams, or is nil.
	crashes *crashes
	// splits draws the splits of the network, or is nil.
	splits *splits
	// cancels draws which jobs are cancelled, or is nil.
	cancels *rand.Rand
	// lateOrders draws which orders are late, or is nil.
	lateOrders *lateOrders
	// restarts draws the waves of restarts, or is nil.
	restarts *restarts
	// stalls draws the spells in which owners stand still, or is nil.
	stalls *stalls
	// powerLoss draws the loss of power, or is nil.
	powerLoss *powerLoss
	// batches draws which events wait for others.
	batches *rand.Rand
	// rerouting draws the versions that move the route, or is nil.
	rerouting *rerouting
	// policy is the policy of the queue, or nil.
	policy *policy
}

// listEntry is an upstream's report with its time.
type listEntry struct {
	report platform.Upstream
	at     time.Duration
}

// storeFault holds the faults of the store, each with the time at which it ends.
type storeFault struct {
	downUntil time.Duration
	// answersLostUntil is the time until which half of the answers are lost.
	answersLostUntil time.Duration
	// lastEnd is the end of the last fault.
	lastEnd time.Duration
	// only holds the entries that the outage affects; nil for all.
	only map[string]bool
}

// New returns a world whose history hasn't begun.
func New(s Settings) *World {
	s = s.withDefaults()
	w := &World{
		settings: s, rand: rand.New(rand.NewPCG(s.Seed, 0)), batches: rand.New(rand.NewPCG(s.Seed, 7)), trace: s.Trace, store: site.NewStore(), listing: make(map[string]listEntry),
		gangs: make(map[gangKey]*gang), pools: []string{_pool},
		queues: map[string]platform.Queue{_pool: {Name: "sizes", Pool: _pool, Attempts: 3, Stretch: 50, Target: time.Minute}},
	}
	w.ledger = ledger{world: w, tasks: make(map[string]*taskRecord), jobs: make(map[string]*jobRecord)}
	w.enforcesCapacity = w.rand.IntN(2) == 0
	for i := range s.Upstreams {
		w.addUpstream(fmt.Sprintf("m%d", i), s.FaultFree)
	}
	for i := range _spares {
		w.addUpstream(fmt.Sprintf("s%d", i), s.FaultFree)
		w.upstreams[len(w.upstreams)-1].host.pool = _spare
	}
	for i := range _entries {
		w.entries = append(w.entries, &entry{world: w, name: fmt.Sprintf("e%d", i)})
	}
	if s.Limits {
		w.planLimits()
	}
	if s.Moves {
		w.planMoves()
	}
	if s.SmallRecords {
		w.store.LimitSizes(_smallRecord, _smallCall)
	}
	if s.Crashing {
		w.crashes = &crashes{rand.New(rand.NewPCG(s.Seed, 4))}
	}
	if s.Splits {
		w.splits = &splits{rand.New(rand.NewPCG(s.Seed, 5))}
	}
	if s.Cancels {
		w.cancels = newCancels(s.Seed)
	}
	if s.PowerLoss {
		w.powerLoss = newPowerLoss(s.Seed)
	}
	if s.Restarts {
		w.restarts = newRestarts(s.Seed)
	}
	if s.Stalls {
		w.stalls = newStalls(s.Seed)
	}
	if s.LateOrders {
		w.lateOrders = newLateOrders(s.Seed)
	}
	if s.Policy {
		w.policy = newPolicy(s.Seed)
		q := w.queues[_pool]
		q.Advice = w.policy.advice
		w.queues[_pool] = q
	}
	return w
}

func (w *World) addUpstream(machine string, large bool) {
	cpu := int64(_hostCPU)
	if large {
		cpu *= 2
	}
	u := &upstream{
		world: w, machine: machine, rate: 0.98 + 0.02*w.rand.Float64(),
		host: hostIn(_pool),
		report: platform.Upstream{
			Pool: _pool, Address: machine, Machine: machine, Labels: []string{"a", "r1-" + machine},
			Capacity: platform.Capacity{MilliCPU: cpu, MemoryMB: 32000},
		},
	}
	w.upstreams = append(w.upstreams, u)
}

// Run plays the history and returns the guarantees that it broke.
func (w *World) Run() []Violation {
	for _, u := range w.upstreams {
		if u.host.pool != _spare {
			u.beginIncarnation(u.machine + "-0")
		}
		w.heartbeat(u)
	}
	if w.rand.IntN(2) == 0 {
		w.declaredWave = w.wave()
	}
	for _, e := range w.entries {
		w.after(w.between(0, 300*time.Millisecond), e.start)
	}
	for i := range w.settings.Jobs {
		w.planJob(i)
	}
	if !w.settings.FaultFree {
		for range 1 + w.rand.IntN(6) {
			w.after(w.between(time.Second, w.settings.SubmitPeriod), w.drawFault())
		}
		w.planLongOutage()
		w.planListLag()
		w.planSplits()
		w.lateOrders.plan(w)
		w.restarts.plan(w)
		w.stalls.plan(w)
		w.powerLoss.plan(w)
		w.policy.plan(w)
	}
	if k := w.settings.KillOwner; k > 0 {
		w.after(k, func() {
			w.killedAt = w.now
			w.holder().applyFault(func(e *entry) { e.kill(_drainTime) })
		})
	}
	w.checkIdleTasks()
	w.checkCancelledJobs()
	end := w.settings.SubmitPeriod + _drainTime
	if w.splits != nil || w.restarts != nil || w.stalls != nil {
		end += _longDrain
	}
	w.run(end)
	w.powerLoss.check(&w.ledger, w.lastFaultEnd())
	w.ledger.checkAtEnd()
	return w.ledger.violations
}

// queueOf returns the queue of a pool.
func (w *World) queueOf(pool string) platform.Queue { return w.queues[pool] }

// FailoverTime returns the time from the kill of the owner to the first task that the
// next owner started, or zero if there was none.
func (w *World) FailoverTime() time.Duration { return max(0, w.resumedAt-w.killedAt) }

// planJob draws a job, the time of its submission and whether it is cancelled.
func (w *World) planJob(i int) {
	d := &work.Job{Id: fmt.Sprintf("%016x", i+1), Queue: w.queueOf(_pool).Name, Pool: _pool, Spec: fmt.Sprintf("job %d", i)}
	j := &jobRecord{def: d}
	if w.settings.FaultFree {
		w.planUniform(j)
		return
	}
	if w.rand.IntN(6) == 0 {
		j.failPercent = 30
	}
	for k := range 1 + w.rand.IntN(3) {
		p := &work.Step{
			Count: int32(1 + w.rand.IntN(5)), MilliCpu: int64(500 + w.rand.IntN(2500)), MemoryMb: 64,
			EstimateMs: int64(100 + w.rand.IntN(1500)),
		}
		if k > 0 {
			p.After = []int32{int32(k - 1)}
		}
		d.Steps = append(d.Steps, p)
	}
	if w.rand.IntN(8) == 0 {
		d.Steps = d.Steps[:1]
		p := d.Steps[0]
		p.LongRunning, p.MilliCpu, p.Count = true, 500, min(p.GetCount(), 4)
		p.AntiAffinity, p.MayMiss = 1, 1
	}
	if w.rand.IntN(6) == 0 {
		p := d.Steps[w.rand.IntN(len(d.Steps))]
		p.Gang = !p.LongRunning
	}
	if w.rand.IntN(8) == 0 && !d.Steps[0].LongRunning {
		d.FirstRunUnixMs = w.unixMs() + w.between(time.Second, w.settings.SubmitPeriod).Milliseconds()
		d.IntervalMs, d.Occurrences = w.between(time.Second, 3*time.Second).Milliseconds(), 2
	}
	w.limitJob(d)
	w.splitJob(d)
	w.lateOrders.planJob(d)
	w.restarts.planJob(d)
	w.stalls.planJob(d)
	w.policy.planJob(d)
	w.planCrash(j)
	w.ledger.jobs[d.GetId()] = j
	at := w.between(800*time.Millisecond, w.settings.SubmitPeriod)
	w.after(at, func() { w.submit(j, 1) })
	if w.rand.IntN(6) == 0 {
		w.after(at+w.between(0, 3*time.Second), func() { w.cancel(j) })
	}
	w.planCancel(j, at)
}

// planUniform draws a job for a world in which all jobs are alike.
func (w *World) planUniform(j *jobRecord) {
	for k := range 2 {
		p := &work.Step{Count: 8, MilliCpu: 1500, MemoryMb: 64, EstimateMs: w.between(700*time.Millisecond, 1300*time.Millisecond).Milliseconds()}
		if k > 0 {
			p.After = []int32{0}
		}
		j.def.Steps = append(j.def.Steps, p)
	}
	w.ledger.jobs[j.def.GetId()] = j
	w.after(w.between(800*time.Millisecond, w.settings.SubmitPeriod), func() { w.submit(j, 1) })
}

// between draws a duration of at least a and less than b.
func (w *World) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rand.Int64N(int64(b-a)))
}

func (w *World) time() time.Time { return _epoch.Add(w.now) }

func (w *World) unixMs() int64 { return w.time().UnixMilli() }

// at returns the upstream at an address.
func (w *World) at(address string) *upstream {
	for _, u := range w.upstreams {
		if u.report.Address == address {
			return u
		}
	}
	return nil
}

// entryNamed returns an entry by its name, or nil.
func (w *World) entryNamed(name string) *entry {
	for _, e := range w.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// tracef writes a line to the trace.
func (w *World) tracef(format string, a ...any) {
	if w.trace != nil {
		fmt.Fprintf(w.trace, "%10.3f  %s\n", w.now.Seconds(), fmt.Sprintf(format, a...))
	}
}

// heartbeat writes an upstream's report to the list periodically.
func (w *World) heartbeat(u *upstream) {
	w.report(u)
	w.after(_heartbeatInterval, func() { w.heartbeat(u) })
}

// report writes an upstream's report to the list.
func (w *World) report(u *upstream) {
	if !u.down && u.report.ID != "" && w.now >= u.reportsFrom && w.net.open(u.machine, _store, w.now) && (w.fault.only != nil || w.fault.downUntil <= w.now) {
		r := u.report
		r.ClockMs = u.clockMs()
		w.listing[r.ID] = listEntry{r, w.now}
	}
}

// listUpstreams returns the unexpired reports and drops the others.
func (w *World) listUpstreams() []platform.Upstream {
	var l []platform.Upstream
	for _, id := range sortedKeys(w.listing) {
		if h := w.listing[id]; w.now-h.at < _missedHeartbeats*_heartbeatInterval {
			l = append(l, h.report)
		} else {
			delete(w.listing, id)
		}
	}
	return l
}

// storeError returns the error that a store outage gives an entry, or nil.
func (w *World) storeError(name string) error {
	if w.fault.only != nil && !w.fault.only[name] {
		return nil
	}
	if w.now < w.fault.downUntil {
		return refusal(http.StatusServiceUnavailable, "")
	}
	return nil
}

// answerArrives draws whether an answer of the store arrives.
func (w *World) answerArrives() bool { return w.now >= w.fault.answersLostUntil || w.rand.IntN(2) == 0 }
