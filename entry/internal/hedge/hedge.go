package hedge

import (
	"context"
	"sync"
	"time"

	"fescuelanding/platform"
)

// _maxAttempts limits the attempts at one call that are without an answer, each of which takes a
// connection.
const _maxAttempts = 6

// Caller keeps the pace of calls to one server. The zero value is ready for use, and it is safe
// for concurrent use.
type Caller struct {
	mu   sync.Mutex
	pace Pace
}

func (c *Caller) after(attempts int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pace.After(time.Now(), attempts)
}

func (c *Caller) answered(took time.Duration, overtook bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pace.Answered(time.Now(), took, overtook)
}

// result is the outcome of an attempt.
type result[T any] struct {
	value  T
	err    error
	number int
	took   time.Duration
}

// Do makes a call, repeats it while answers are missing, and returns the first answer. A refusal
// is an answer. Without one it returns the error of the last attempt, or that of ctx once that
// has ended. Attempts that are still open then are cut off: at most _maxAttempts run at a time, and
// none is sent after the call has ended. A server may still carry out one that was sent.
func Do[T any](ctx context.Context, c *Caller, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result[T], _maxAttempts)
	sent, open := 0, 0
	attempt := func() {
		sent++
		open++
		n, at := sent, time.Now()
		go func() {
			v, err := call(ctx)
			results <- result[T]{v, err, n, time.Since(at)}
		}()
	}
	attempt()
	for {
		t := time.NewTimer(c.after(sent))
		select {
		case <-t.C:
			if sent < _maxAttempts {
				attempt()
			}
		case r := <-results:
			t.Stop()
			open--
			answered := r.err == nil || platform.Status(r.err) != 0
			if answered {
				c.answered(r.took, open > sent-r.number)
			}
			if answered || open == 0 {
				return r.value, r.err
			}
		}
	}
}
