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

// _epoch is when histories begin.
var _epoch = time.Unix(1_700_000_000, 0)

// Settings of a World. Zeros stand for the defaults.
type Settings struct {
	Seed uint64
	// Upstreams is how many there are, Jobs how many callers hand in.
	Upstreams, Jobs int
	// Load is how long callers hand jobs in, and faults begin.
	SubmitPeriod time.Duration
	// KillOwner kills the owner at that time, where it isn't zero.
	KillOwner time.Duration
	// Calm has no faults, and jobs that are alike: two steps of eight tasks.
	FaultFree bool
	// Trace gets a line for each event, where it is set.
	Trace io.Writer
}

const (
	_entries   = 3
	_hostCPU   = 8000
	_upstreams = 5
	_spares    = 3
	_jobs      = 24
	_load      = 12 * time.Second
	// _rest is when all that was accepted must be over, after the load: the longest
	// fault has ended, and the longest wait after it.
	_rest = 48 * time.Second
)

// withDefaults fills in what is zero.
func (s Settings) withDefaults() Settings {
	if s.Upstreams == 0 {
		s.Upstreams = _upstreams
	}
	if s.Jobs == 0 {
		s.Jobs = _jobs
	}
	if s.SubmitPeriod == 0 {
		s.SubmitPeriod = _load
	}
	return s
}

// World is one history.
type World struct {
	clock
	set   Settings
	rand  *rand.Rand
	trace io.Writer
	net   network
	store *site.Store
	queue platform.Queue
	// guarded is set where upstreams refuse what doesn't fit.
	guarded   bool
	upstreams []*upstream
	entries   []*entry
	ledger    ledger
	// heard is when an upstream's entry in the list was written last.
	heard map[string]heard
	gangs map[gangKey]*gang
	fault storeFault
	// killedAt is when the owner was killed, resumedAt when the next one started a task.
	killedAt, resumedAt time.Duration
	// declared is the operator's wave, if there is one.
	declared platform.Wave
}

// heard is an entry in the list.
type heard struct {
	report platform.Upstream
	at     time.Duration
}

// storeFault is what ails the store, each until a time.
type storeFault struct {
	down time.Duration
	// forgetful loses answers.
	forgetful time.Duration
	// last is when the last of them ends.
	last time.Duration
	// for some entries only, where it is set.
	only map[string]bool
}

// New returns a history that hasn't begun.
func New(s Settings) *World {
	s = s.withDefaults()
	w := &World{
		set: s, rand: rand.New(rand.NewPCG(s.Seed, 0)), trace: s.Trace, store: site.NewStore(), heard: make(map[string]heard),
		gangs: make(map[gangKey]*gang),
		queue: platform.Queue{Name: "sizes", Pool: _pool, Attempts: 3, Stretch: 50, Target: time.Minute},
	}
	w.ledger = ledger{world: w, tasks: make(map[string]*taskRecord), jobs: make(map[string]*jobRecord)}
	w.guarded = w.rand.IntN(2) == 0
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

// Run plays the history and returns what was wrong.
func (w *World) Run() []Violation {
	for _, u := range w.upstreams {
		if u.host.pool == _pool {
			u.begin(u.machine + "-0")
		}
		w.beat(u)
	}
	if w.rand.IntN(2) == 0 {
		w.declared = w.wave()
	}
	for _, e := range w.entries {
		w.after(w.between(0, 300*time.Millisecond), e.start)
	}
	for i := range w.set.Jobs {
		w.plan(i)
	}
	if !w.set.FaultFree {
		for range 1 + w.rand.IntN(6) {
			w.after(w.between(time.Second, w.set.SubmitPeriod), w.drawFault())
		}
	}
	if k := w.set.KillOwner; k > 0 {
		w.after(k, func() {
			w.killedAt = w.now
			w.holder().suffer(func(e *entry) { e.kill(_rest) })
		})
	}
	w.run(w.set.SubmitPeriod + _rest)
	w.ledger.judge()
	return w.ledger.wrong
}

// Resumed returns how long after the owner's death the next one started a task, and
// zero where none did.
func (w *World) FailoverTime() time.Duration { return max(0, w.resumedAt-w.killedAt) }

// plan draws a job and when it is handed in.
func (w *World) plan(i int) {
	d := &work.Job{Id: fmt.Sprintf("%016x", i+1), Queue: w.queue.Name, Pool: _pool, Spec: fmt.Sprintf("job %d", i)}
	j := &jobRecord{def: d}
	if w.set.FaultFree {
		w.planCalm(j)
		return
	}
	if w.rand.IntN(6) == 0 {
		j.failing = 30
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
		d.FirstRunUnixMs = w.unixMs() + w.between(time.Second, w.set.SubmitPeriod).Milliseconds()
		d.IntervalMs, d.Occurrences = w.between(time.Second, 3*time.Second).Milliseconds(), 2
	}
	w.ledger.jobs[d.GetId()] = j
	at := w.between(800*time.Millisecond, w.set.SubmitPeriod)
	w.after(at, func() { w.submit(j, 1) })
	if w.rand.IntN(6) == 0 {
		w.after(at+w.between(0, 3*time.Second), func() { w.cancel(j) })
	}
}

// planCalm draws a job of a turn, in which all are alike.
func (w *World) planCalm(j *jobRecord) {
	for k := range 2 {
		p := &work.Step{Count: 8, MilliCpu: 1500, MemoryMb: 64, EstimateMs: w.between(700*time.Millisecond, 1300*time.Millisecond).Milliseconds()}
		if k > 0 {
			p.After = []int32{0}
		}
		j.def.Steps = append(j.def.Steps, p)
	}
	w.ledger.jobs[j.def.GetId()] = j
	w.after(w.between(800*time.Millisecond, w.set.SubmitPeriod), func() { w.submit(j, 1) })
}

// between draws a duration.
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

// say adds a line to the trace.
func (w *World) say(format string, a ...any) {
	if w.trace != nil {
		fmt.Fprintf(w.trace, "%10.3f  %s\n", w.now.Seconds(), fmt.Sprintf(format, a...))
	}
}

// beat has an upstream write its entry in the list.
func (w *World) beat(u *upstream) {
	if !u.down && u.report.ID != "" && w.net.open(u.machine, _store, w.now) && (w.fault.only != nil || w.fault.down <= w.now) {
		r := u.report
		r.ClockMs = u.clockMs()
		w.heard[r.ID] = heard{r, w.now}
	}
	w.after(_heartbeat, func() { w.beat(u) })
}

// listed is the list of upstreams.
func (w *World) listed() []platform.Upstream {
	var l []platform.Upstream
	for _, id := range sortedKeys(w.heard) {
		if h := w.heard[id]; w.now-h.at < _heartbeats*_heartbeat {
			l = append(l, h.report)
		} else {
			delete(w.heard, id)
		}
	}
	return l
}

// refusal is how the store turns an entry away, if it does.
func (w *World) refusal(name string) error {
	if w.fault.only != nil && !w.fault.only[name] {
		return nil
	}
	if w.now < w.fault.down {
		return refused(http.StatusServiceUnavailable, "")
	}
	return nil
}

// keepsAnswer reports whether an answer of the store arrives.
func (w *World) keepsAnswer() bool { return w.now >= w.fault.forgetful || w.rand.IntN(2) == 0 }
