package soak

import (
	"math/rand/v2"
	"time"

	"fescuelanding/standin/site"
)

const (
	// _cancellers is the number of callers who cancel jobs at work, one after the other. Their streams
	// of random numbers are _cancelSeed and the next ones.
	_cancellers = 3
	_cancelSeed = 200
	// _longestCancelled is the longest time that tasks of these jobs work, if they end by themselves.
	_longestCancelled = 12 * time.Second
	// _shortestWork and _longestWork bound the time between a submission and the call that cancels.
	_shortestWork = 300 * time.Millisecond
	_longestWork  = 4 * time.Second
	// _lastingEvery, _gangEvery and _failsEvery mean that one of so many such jobs has tasks that last,
	// is a gang, or has tasks that fail.
	_lastingEvery = 4
	_gangEvery    = 4
	_failsEvery   = 6
)

// newCancelledJob draws a job that is cancelled while its tasks work.
func newCancelledJob(r *rand.Rand, s *site.Site, id, queue string) (*job, error) {
	v := site.Behaviour{Millis: int(between(r, _shortestLong, _longestCancelled).Milliseconds())}
	p := step{Count: 1 + r.IntN(4), CPU: 500, MemMB: 64, EstimateMs: v.Millis}
	switch {
	case r.IntN(_lastingEvery) == 0:
		p.EstimateMs, p.LongRunning = 0, true
	case r.IntN(_gangEvery) == 0:
		p.Count, p.Gang = max(p.Count, 2), true
	case r.IntN(_failsEvery) == 0:
		v.Fails = 1 + r.IntN(_attempts)
	}
	return recordJob(s, id, queue, v, jobBody{Phases: []step{p}})
}

// cancelWorkingJobs submits jobs and cancels them while their tasks work, until submitting ends. Other
// callers look at the jobs' states.
func (k *Soak) cancelWorkingJobs(n uint64, stop <-chan struct{}) {
	c := k.newCaller(n)
	defer c.close()
	for k.submitting.Load() {
		j := c.submitNew(time.Now(), _cancelledSoon)
		select {
		case <-stop:
			return
		case <-time.After(between(c.r, _shortestWork, _longestWork)):
		}
		if j != nil {
			c.cancel(j)
		}
	}
}
