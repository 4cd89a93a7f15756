package caller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	_probeEvery   = 100 * time.Millisecond
	_probeTimeout = 500 * time.Millisecond
)

// balancer tracks which entries are ready. Like the platform's load balancer it
// polls their readiness, so it notices a change with a delay.
type balancer struct {
	probes  []string // readiness URL of each entry; if empty, all count as ready
	unready []atomic.Bool
}

func newBalancer(probes []string) *balancer {
	return &balancer{probes: probes, unready: make([]atomic.Bool, len(probes))}
}

// run probes the entries until the context ends.
func (b *balancer) run(ctx context.Context) {
	c := http.Client{Timeout: _probeTimeout}
	t := time.NewTicker(_probeEvery)
	defer t.Stop()
	for {
		for i, u := range b.probes {
			b.unready[i].Store(!probe(ctx, &c, u))
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// ready reports whether entry i was ready at its last probe.
func (b *balancer) ready(i int) bool {
	return len(b.unready) == 0 || !b.unready[i].Load()
}

func probe(ctx context.Context, c *http.Client, url string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	a, err := c.Do(r)
	if err != nil {
		return false
	}
	return a.Body.Close() == nil && a.StatusCode == http.StatusOK
}
