package daemon

import (
	"context"
	"errors"
	"time"

	"fescuelanding/entry/internal/duty"
)

const _jobTimeout = 5 * time.Second

// job is an append that is under way, or that rests until it may run again.
type job struct {
	running   bool
	nextStart time.Time
	interval  time.Duration
}

// start runs a job unless it runs already or ran within the interval.
func (c *controller) startJob(now time.Time, name string, every time.Duration, f func(context.Context) error) {
	j := c.jobs[name]
	if j == nil {
		j = &job{}
		c.jobs[name] = j
	}
	if j.running || now.Before(j.nextStart) {
		return
	}
	j.running, j.interval = true, every
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, _jobTimeout)
		defer cancel()
		if err := f(ctx); err != nil {
			c.daemon.log.Warn("Job failed.", "job", name, "err", err)
		}
		for errors.Is(c.duty.Post(jobEnded{name: name}), duty.ErrFull) {
			time.Sleep(time.Millisecond)
		}
	}()
}
