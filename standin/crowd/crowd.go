package crowd

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// _lifetime is the longest time for which a crowd stands.
	_lifetime = 2 * time.Minute
	// One caller of _returningEvery comes back when it is closed, one of _finishingEvery
	// sends its request to the end.
	_returningEvery = 2
	_finishingEvery = 8
)

// Crowd is a number of callers that call one entry at once.
type Crowd struct {
	script  Script
	sender  *sender
	cancel  context.CancelFunc
	callers sync.WaitGroup
	// settled is closed once unsettled is zero.
	settled chan struct{}

	mu        sync.Mutex
	unsettled int
	jobs      int
	answers   Answers
}

// New returns a crowd that plays a script against a target.
func New(s Script, t Target) *Crowd {
	return &Crowd{
		script: s, sender: newSender(s, t), settled: make(chan struct{}), unsettled: s.Connections,
		answers: Answers{statuses: make(map[int]int)},
	}
}

// Start lets the callers come. They leave at Stop, or by themselves after _lifetime.
func (c *Crowd) Start() {
	var ctx context.Context
	ctx, c.cancel = context.WithTimeout(context.Background(), _lifetime)
	for i := range c.script.Connections {
		l := &caller{crowd: c, number: i}
		c.callers.Go(func() { l.run(ctx) })
	}
}

// Settled returns a channel that is closed once each caller has sent what it sends, or could
// not send it.
func (c *Crowd) Settled() <-chan struct{} { return c.settled }

// Stop closes all connections and waits until the callers have left.
func (c *Crowd) Stop() {
	c.cancel()
	c.callers.Wait()
}

// Answers returns what the callers were answered so far.
func (c *Crowd) Answers() Answers {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.answers
	a.statuses = maps.Clone(a.statuses)
	return a
}

// record changes the answers.
func (c *Crowd) record(f func(*Answers)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.answers)
}

// settle notes that one more caller has sent what it sends.
func (c *Crowd) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unsettled--; c.unsettled == 0 {
		close(c.settled)
	}
}

// jobID returns an ID that no other request of the crowd has.
func (c *Crowd) jobID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs++
	return fmt.Sprintf("c0%014x", c.jobs)
}

// Answers counts what the callers of a crowd were answered.
type Answers struct {
	statuses map[int]int
	opened   int
	// refused counts connections that couldn't be opened, closed those that the entry closed.
	refused, closed int
	// careless counts answers 429 and 503 without Retry-After.
	careless int
}

func (a *Answers) add(r *http.Response) {
	a.statuses[r.StatusCode]++
	refusal := r.StatusCode == http.StatusTooManyRequests || r.StatusCode == http.StatusServiceUnavailable
	if refusal && r.Header.Get("Retry-After") == "" {
		a.careless++
	}
}

// Statuses returns the number of answers of each status.
func (a Answers) Statuses() map[int]int { return a.statuses }

// Careless returns the number of answers 429 and 503 without Retry-After.
func (a Answers) Careless() int { return a.careless }

// String implements fmt.Stringer.
func (a Answers) String() string {
	var t strings.Builder
	fmt.Fprintf(&t, "%d opened, %d not opened, %d closed by the entry; answers", a.opened, a.refused, a.closed)
	for _, s := range slices.Sorted(maps.Keys(a.statuses)) {
		fmt.Fprintf(&t, " %d: %d", s, a.statuses[s])
	}
	return t.String()
}
