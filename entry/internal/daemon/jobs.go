package daemon

import (
	"context"
	"errors"
	"time"

	"fescuelanding/entry/internal/duty"
)

const _jobTimeout = 5 * time.Second

// job is the state of one kind of append or fetch.
type job struct {
	running   bool
	nextStart time.Time
	interval  time.Duration
}

// startJob runs f on a goroutine of its own, unless the job is running or ended
// less than the interval ago.
func (c *controller) startJob(now time.Time, name string, interval time.Duration, f func(context.Context) error) {
	j := c.jobs[name]
	if j == nil {
		j = &job{}
		c.jobs[name] = j
	}
	if j.running || now.Before(j.nextStart) {
		return
	}
	j.running, j.interval = true, interval
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, _jobTimeout)
		defer cancel()
		if err := f(ctx); err != nil {
			c.daemon.log.Warn("Job failed; it is tried again as long as it is needed.", "job", name, "err", err)
		}
		for errors.Is(c.duty.Post(jobEnded{name: name}), duty.ErrFull) {
			time.Sleep(time.Millisecond)
		}
	}()
}
