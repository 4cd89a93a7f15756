package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"fescuelanding/entry/scheduler"
	"fescuelanding/platform"
)

// _maxAdviceCalls limits the calls of a process to the advice service, which handles one after the
// other. The second one keeps it busy while the answer to the first is on its way.
const _maxAdviceCalls = 2

// Adviser calls the advice service for the owners of a process. Further calls wait for their turn, which
// doesn't count against their time limit. It is safe for concurrent use.
type Adviser struct {
	client *platform.Adviser
	turns  chan struct{}

	mu     sync.Mutex
	pacing scheduler.AdvicePacing
}

// NewAdviser returns a client of the advice service at an address, which is empty if there is none.
func NewAdviser(address string) *Adviser {
	return &Adviser{client: platform.NewAdviser(address), turns: make(chan struct{}, _maxAdviceCalls)}
}

// SetAddress changes the address for all later calls.
func (a *Adviser) SetAddress(address string) { a.client.SetAddress(address) }

var errNoAdviser = errors.New("no advice service is configured")

// Advise requests tickets. It returns an error if the service isn't configured, refuses, or doesn't answer
// in time, and if ctx ends.
func (a *Adviser) Advise(ctx context.Context, q scheduler.Advise) (platform.Tickets, error) {
	if a.client.Address() == "" {
		return platform.Tickets{}, errNoAdviser
	}
	select {
	case a.turns <- struct{}{}:
	case <-ctx.Done():
		return platform.Tickets{}, fmt.Errorf("wait for the advice service: %w", ctx.Err())
	}
	defer func() { <-a.turns }()
	c, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	sent, v, timer := a.begin(q.Takes, cancel)
	defer timer.Stop()
	t, err := a.client.Advise(c, q.Step, q.Hosts)
	if err != nil && errors.Is(context.Cause(c), context.DeadlineExceeded) {
		err = fmt.Errorf("%w: %w", context.Cause(c), err)
	}
	took := time.Since(sent)
	a.mu.Lock()
	a.pacing.End(v, took, err)
	a.mu.Unlock()
	countAdvice(took, len(q.Hosts), err)
	if err != nil {
		return platform.Tickets{}, fmt.Errorf("advise: %w", err)
	}
	return t, nil
}

// begin begins a call that takes some time by configuration. The timer cancels it at its limit.
func (a *Adviser) begin(takes time.Duration, cancel context.CancelCauseFunc) (time.Time, *scheduler.AdviceCall, *time.Timer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sent := time.Now()
	c, limit := a.pacing.Begin(takes)
	t := time.AfterFunc(limit, func() { cancel(context.DeadlineExceeded) })
	due := sent.Add(limit)
	c.Shorten = func(d time.Duration) {
		if at := time.Now().Add(d); at.Before(due) {
			due = at
			t.Reset(d)
		}
	}
	return sent, c, t
}

// countAdvice counts a call to the advice service.
func countAdvice(took time.Duration, named int, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
		if errors.Is(err, context.DeadlineExceeded) {
			outcome = "timedOut"
		}
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("entry_advice_calls_total{outcome=%q}", outcome)).Inc()
	metrics.GetOrCreateCounter("entry_advice_upstreams_total").Add(named)
	metrics.GetOrCreateHistogram("entry_advice_seconds").Update(took.Seconds())
}
