package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	_requestTimeout = 30 * time.Second
	_maxWorkers     = 256
	_maxRequests    = 100_000
)

// Load describes the requests to send and their rate.
type Load struct {
	// Entries are the base URLs at which the entries serve callers.
	Entries []string
	// Ready are the readiness URLs of the entries, in the same order. Entries
	// that are not ready get no requests. If it is empty, all entries count as
	// ready.
	Ready []string
	// Service is the first path segment of each request.
	Service string
	// Requests is the number of requests, at most 100,000.
	Requests int
	// Workers is the largest number of requests in flight, at most 256.
	Workers int
	// Rate is the number of requests per second, as far as the workers allow;
	// zero is unlimited.
	Rate float64
	// Keyed gives each request an idempotency key of its own.
	Keyed bool
	// Key, if set, is the idempotency key of all requests.
	Key string
	// UpstreamControls are the control URLs of the upstream stand-ins. Their run
	// counts are compared with the outcomes. If it is empty, nothing is compared.
	UpstreamControls []string
	// Team, Class, Deadline, RunFor and Fault are sent as header fields, if set.
	Team, Class, Deadline, RunFor, Fault string
}

// Run sends the load and, if UpstreamControls is set, compares the outcomes with
// the runs that the upstreams counted. When the context ends, Run stops sending
// and reports the requests sent so far.
func (l Load) Run(ctx context.Context) (*Report, error) {
	if len(l.Entries) == 0 || l.Workers < 1 || l.Workers > _maxWorkers || l.Requests > _maxRequests {
		return nil, fmt.Errorf("want entries, 1 to %d workers and at most %d requests", _maxWorkers, _maxRequests)
	}
	if len(l.Ready) != 0 && len(l.Ready) != len(l.Entries) {
		return nil, fmt.Errorf("want a readiness URL for each of %d entries", len(l.Entries))
	}
	outcomes := l.send(ctx)
	r := &Report{}
	for _, o := range outcomes {
		r.add(o)
	}
	if len(l.UpstreamControls) == 0 {
		return r, nil
	}
	if err := compareWithRuns(ctx, l.UpstreamControls, outcomes, r); err != nil {
		return nil, fmt.Errorf("compare outcomes with the runs of the upstreams: %w", err)
	}
	return r, nil
}

// send sends the requests and returns their outcomes.
func (l Load) send(ctx context.Context) []outcome {
	limit := rate.NewLimiter(rate.Inf, 0)
	if l.Rate > 0 {
		limit = rate.NewLimiter(rate.Limit(l.Rate), 1)
	}
	t := &http.Transport{MaxIdleConnsPerHost: l.Workers}
	defer t.CloseIdleConnections()
	b := newBalancer(l.Ready)
	probing, stop := context.WithCancel(ctx)
	defer stop()
	go b.run(probing)
	s := sender{load: l, balancer: b, client: &http.Client{Transport: t, Timeout: _requestTimeout}, nonce: strconv.FormatUint(rand.Uint64(), 36)}
	todo := make(chan int)
	var mu sync.Mutex
	var all []outcome
	var g sync.WaitGroup
	for range l.Workers {
		g.Go(func() {
			for n := range todo {
				o := s.send(ctx, n, time.Now())
				mu.Lock()
				all = append(all, o)
				mu.Unlock()
			}
		})
	}
	for n := range l.Requests {
		if limit.Wait(ctx) != nil {
			break
		}
		todo <- n
	}
	close(todo)
	g.Wait()
	return all
}
