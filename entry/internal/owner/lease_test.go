package owner

import (
	"context"
	"io"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/entry/internal/duty"
	"fescuelanding/entry/internal/logging"
	"fescuelanding/entry/link"
	"fescuelanding/entry/scheduler"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

// TestAvailLeaseLapsesWhileCallersPress checks that a long-running task keeps its lease while callers ask for
// more than its owner can answer.
func TestAvailLeaseLapsesWhileCallersPress(t *testing.T) {
	const callers, waiting, span = 4, 2048, 8 * time.Second
	u := &leasedUpstream{born: time.Now()}
	log := logging.New(io.Discard, "owner")
	defer log.Close()
	o, err := Start(duty.System(nil), scheduler.Settings{
		Pool: "desk", Token: 7, MaxLease: 10 * time.Second, StatusRetention: time.Minute, StopTimeout: 400 * time.Millisecond,
	}, 1, Clients{Store: platform.NewStore(listen(newFleetStore()), 8), Upstreams: platform.NewUpstreams(2)}, log)
	assert.NilError(t, err)
	defer o.Stop()
	o.Post(scheduler.Configured{Queues: []platform.Queue{{Name: "q", Pool: "desk", Prefix: "/q/", Timeout: 3 * time.Second, Target: time.Hour, Stretch: 2, Attempts: 3}}})
	o.Post(scheduler.Listed{Upstreams: []platform.Upstream{{
		ID: "u1", Pool: "desk", Address: listen(u.handler("u1")), DataCentre: "a", Labels: []string{"a", "r1"},
		Capacity: platform.Capacity{MilliCPU: 16000, MemoryMB: 32768}, StartUnixMs: u.born.UnixMilli(), ClockMs: u.clock(), Machine: "m1",
	}}})
	ctx, cancel := context.WithCancel(t.Context())
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	calls.Go(func() {
		for ctx.Err() == nil {
			o.Post(scheduler.OwnershipConfirmed{At: time.Now(), Generation: 1})
			time.Sleep(500 * time.Millisecond)
		}
	})
	j := &work.Job{Id: "a", Queue: "q", Steps: []*work.Step{{Count: 1, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 500, LongRunning: true, MayMiss: 1}}}
	a := o.Call(ctx, &link.Call{Body: &link.Call_Submit{Submit: &link.Submit{Job: j, BudgetMs: 3000}}})
	assert.Equal(t, a.GetOutcome(), link.Outcome_OUTCOME_OK)
	for !u.running() {
		time.Sleep(time.Millisecond)
	}
	tooLarge := &work.Job{Id: "b", Queue: "q", Steps: []*work.Step{{Count: 1000, MilliCpu: 20000, MemoryMb: 100, EstimateMs: 500}}}
	for range callers {
		calls.Go(func() {
			for ctx.Err() == nil {
				if o.duty.Waiting() < waiting {
					o.Post(scheduler.Submitted{Job: tooLarge})
				} else {
					runtime.Gosched()
				}
			}
		})
	}
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, u.leaseLeft() > 0, "the lease has lapsed %v before the end", time.Until(end).Round(time.Millisecond))
	}
}

// leasedUpstream runs a task without end, and has the lease that the owner granted last.
type leasedUpstream struct {
	born time.Time

	mu         sync.Mutex
	start      *platform.Start
	deadlineMs int64
}

func (u *leasedUpstream) handler(id string) *serve.Upstream {
	none := serve.Refusal{}
	return &serve.Upstream{
		ID: func() string { return id }, Clock: u.clock, Start: u.begin, Hold: u.hold,
		Stop: func(string, int64, int64) serve.Refusal { return none },
		Pace: func(string, int64, int64, int) serve.Refusal { return none },
	}
}

func (u *leasedUpstream) clock() int64 { return time.Since(u.born).Milliseconds() }

func (u *leasedUpstream) begin(s platform.Start) serve.Refusal {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.start, u.deadlineMs = &s, max(u.deadlineMs, s.DeadlineMs)
	return serve.Refusal{}
}

func (u *leasedUpstream) hold(h platform.Hold) (platform.UpstreamStatus, serve.Refusal) {
	u.mu.Lock()
	u.deadlineMs = max(u.deadlineMs, h.DeadlineMs)
	u.mu.Unlock()
	time.Sleep(h.Wait)
	u.mu.Lock()
	defer u.mu.Unlock()
	l := platform.UpstreamStatus{ClockMs: u.clock(), StartUnixMs: u.born.UnixMilli()}
	if u.start != nil {
		l.Running = []platform.Running{{Task: u.start.Task, Run: u.start.Run, Percent: 100}}
	}
	return l, serve.Refusal{}
}

func (u *leasedUpstream) running() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.start != nil
}

// leaseLeft returns the time until the lease lapses.
func (u *leasedUpstream) leaseLeft() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(u.deadlineMs-u.clock()) * time.Millisecond
}
