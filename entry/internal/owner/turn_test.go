package owner

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/entry/internal/duty"
	"fescuelanding/entry/internal/logging"
	"fescuelanding/entry/link"
	"fescuelanding/entry/scheduler"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// A turn of a queue, as an owner sees it: jobs of eight tasks arrive faster than their callers
// look at them, each host ends and starts some tasks a second, and the planner asks for the
// load. The platform runs in a process of its own, so that only the owner's cost is measured.
const (
	_turnStarts = 2000
	_turnWidth  = 8
	_turnTask   = 500 * time.Millisecond
	_turnWarmUp = 3 * time.Second
	_turnSpan   = 5 * time.Second
	// _turnLoads is the number of the planner's requests in a second, _turnStates that of callers for the
	// state of a job.
	_turnLoads  = 6
	_turnStates = 350
)

// BenchmarkTurn reports the owner's processor time, objects and bytes for each task that it starts, as
// the tasks that wait and the hosts of the pool grow.
func BenchmarkTurn(b *testing.B) {
	for _, c := range []struct{ waiting, hosts int }{
		{0, 200}, {1000, 200}, {5000, 200}, {20000, 200}, {0, 800}, {0, 2400},
	} {
		b.Run(fmt.Sprintf("waiting=%d/hosts=%d", c.waiting, c.hosts), func(b *testing.B) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			for range b.N {
				playTurn(b, c.waiting, c.hosts)
			}
		})
	}
}

func playTurn(b *testing.B, waiting, hosts int) {
	b.Helper()
	f := startFleet(b, hosts)
	t := newTurn(b, f)
	defer t.stop()
	for i := range waiting / _turnWidth {
		// Such a task needs an empty host, of which there are few.
		t.submit(fmt.Sprintf("b%015d", i), "slow", 15000)
	}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go t.arrive(ctx)
	go t.ask(ctx)
	time.Sleep(_turnWarmUp)
	before := readCost(f)
	time.Sleep(_turnSpan)
	cost := readCost(f)
	starts := float64(cost.starts - before.starts)
	assert.Assert(b, starts > 0.8*_turnStarts*_turnSpan.Seconds(), "%.0f tasks were started", starts)
	b.ReportMetric(float64((cost.user-before.user).Microseconds())/starts, "userUs/task")
	b.ReportMetric(float64((cost.system-before.system).Microseconds())/starts, "systemUs/task")
	b.ReportMetric(float64(cost.objects-before.objects)/starts, "objects/task")
	b.ReportMetric(float64(cost.bytes-before.bytes)/starts, "bytes/task")
	b.ReportMetric(float64(cost.polls-before.polls)/starts, "polls/task")
	b.ReportMetric(0, "ns/op")
}

// turnCost is what an owner has used, and what the upstreams have got from it.
type turnCost struct {
	user, system   time.Duration
	objects, bytes uint64
	starts, polls  int64
}

func readCost(f *fleet) turnCost {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // It fails only for an unknown kind.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	n := f.count()
	return turnCost{
		time.Duration(u.Utime.Nano()), time.Duration(u.Stime.Nano()), m.Mallocs, m.TotalAlloc, n.Starts, n.Polls,
	}
}

// turn drives an owner.
type turn struct {
	b      *testing.B
	owner  *Owner
	log    *logging.Log
	stopUp func()
	last   atomic.Int64
	// stopped is set once calls may end without an answer.
	stopped atomic.Bool
}

func newTurn(b *testing.B, f *fleet) *turn {
	b.Helper()
	t := &turn{b: b, log: logging.New(io.Discard, "owner")}
	set := scheduler.Settings{Pool: "desk", Token: 7, MaxLease: 10 * time.Second, StatusRetention: 2 * time.Minute, StopTimeout: 400 * time.Millisecond}
	c := Clients{Store: platform.NewStore(f.Store, 8), Upstreams: platform.NewUpstreams(2)}
	o, err := Start(duty.System(nil), set, 1, c, t.log)
	assert.NilError(b, err)
	t.owner = o
	q := func(name string, priority int) platform.Queue {
		return platform.Queue{Name: name, Pool: "desk", Prefix: "/" + name + "/", Timeout: 3 * time.Second, Target: time.Hour, Stretch: 2, Attempts: 3, Priority: priority}
	}
	o.Post(scheduler.Configured{Queues: []platform.Queue{q("quick", 0), q("slow", 1)}})
	confirm := time.NewTicker(500 * time.Millisecond)
	done := make(chan struct{})
	t.stopUp = func() { confirm.Stop(); close(done) }
	list := func() {
		l := make([]platform.Upstream, len(f.Upstreams))
		for i, a := range f.Upstreams {
			l[i] = platform.Upstream{
				ID: fmt.Sprintf("i-%04d", i), Pool: "desk", Address: a, DataCentre: "muscat-a", Labels: []string{"a", fmt.Sprintf("r1-%d", i/12)},
				Capacity: platform.Capacity{MilliCPU: 16000, MemoryMB: 32768}, StartUnixMs: f.Born, ClockMs: time.Now().UnixMilli() - f.Born,
				Machine: fmt.Sprintf("m-%04d", i),
			}
		}
		o.Post(scheduler.Listed{Upstreams: l})
	}
	list()
	go func() {
		for {
			o.Post(scheduler.OwnershipConfirmed{At: time.Now(), Generation: 1})
			select {
			case <-confirm.C:
			case <-done:
				return
			}
		}
	}()
	return t
}

func (t *turn) stop() {
	t.stopped.Store(true)
	t.stopUp()
	t.owner.Stop()
	t.log.Close()
}

func (t *turn) submit(id, queue string, cpu int64) {
	j := &work.Job{
		Id: id, Queue: queue, Spec: strings.Repeat("x", 1200),
		Steps: []*work.Step{{Count: _turnWidth, MilliCpu: cpu, MemoryMb: 1000, EstimateMs: int64(_turnTask / time.Millisecond)}},
	}
	go func() {
		a := t.owner.Call(t.b.Context(), &link.Call{Body: &link.Call_Submit{Submit: &link.Submit{Job: j, BudgetMs: 3000}}})
		if a.GetOutcome() != link.Outcome_OUTCOME_OK && !t.stopped.Load() {
			t.b.Errorf("job %s: %v", id, a.GetOutcome())
		}
	}()
}

// arrive submits jobs until ctx ends.
func (t *turn) arrive(ctx context.Context) {
	k := time.NewTicker(time.Second * _turnWidth / _turnStarts)
	defer k.Stop()
	for ctx.Err() == nil {
		t.submit(fmt.Sprintf("a%015d", t.last.Add(1)), "quick", 2200)
		<-k.C
	}
}

// ask requests the state of jobs and the load of the pool until ctx ends.
func (t *turn) ask(ctx context.Context) {
	k := time.NewTicker(time.Second / _turnStates)
	defer k.Stop()
	for n := int64(1); ctx.Err() == nil; n++ {
		go t.owner.Call(ctx, &link.Call{Body: &link.Call_State{State: &link.State{Id: fmt.Sprintf("a%015d", max(1, t.last.Load()-100))}}})
		if n%(_turnStates/_turnLoads) == 0 {
			go t.owner.Call(ctx, &link.Call{Body: &link.Call_Load{Load: &link.Load{Token: 1, Sequence: n, AheadMs: 2000}}})
		}
		<-k.C
	}
}

// fleet is the platform in its own process.
type fleet struct {
	fleetInfo
	in  io.WriteCloser
	out *bufio.Scanner
	mu  sync.Mutex
}

// fleetInfo has the addresses of the store and of the upstreams, and when the upstreams started, in Unix
// milliseconds.
type fleetInfo struct {
	Store     string
	Upstreams []string
	Born      int64
}

// fleetCount counts what all upstreams have got.
type fleetCount struct{ Starts, Polls int64 }

func startFleet(b *testing.B, hosts int) *fleet {
	b.Helper()
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), fmt.Sprintf("%s=%d", _fleetEnv, hosts))
	c.Stderr = os.Stderr
	in, err := c.StdinPipe()
	assert.NilError(b, err)
	out, err := c.StdoutPipe()
	assert.NilError(b, err)
	assert.NilError(b, c.Start())
	f := &fleet{in: in, out: bufio.NewScanner(out)}
	f.out.Buffer(nil, 1<<20)
	b.Cleanup(func() {
		in.Close()
		_ = c.Wait() // Closing its input ends it.
	})
	f.read(b, &f.fleetInfo)
	return f
}

func (f *fleet) read(b *testing.B, v any) {
	b.Helper()
	assert.Assert(b, f.out.Scan())
	assert.NilError(b, json.Unmarshal(f.out.Bytes(), v))
}

func (f *fleet) count() fleetCount {
	f.mu.Lock()
	defer f.mu.Unlock()
	var n fleetCount
	_, _ = io.WriteString(f.in, "\n") // A failure shows in the line that doesn't come.
	if f.out.Scan() {
		_ = json.Unmarshal(f.out.Bytes(), &n)
	}
	return n
}
