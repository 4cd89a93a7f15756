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
	running bool
	next    time.Time
	every   time.Duration
}

// start runs a job unless it runs already or ran within the interval.
func (c *control) start(now time.Time, name string, every time.Duration, f func(context.Context) error) {
	j := c.jobs[name]
	if j == nil {
		j = &job{}
		c.jobs[name] = j
	}
	if j.running || now.Before(j.next) {
		return
	}
	j.running, j.every = true, every
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, _jobTimeout)
		defer cancel()
		if err := f(ctx); err != nil {
			c.daemon.log.Warn("Job failed.", "job", name, "err", err)
		}
		for errors.Is(c.duty.Post(ended{name: name}), duty.ErrFull) {
			time.Sleep(time.Millisecond)
		}
	}()
}
