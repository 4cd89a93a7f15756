package scheduler

import (
	"context"
	"errors"
	"slices"
	"time"
)

const (
	// _adviceMargin is how much longer than expected a call for advice may take. A connection that has
	// gone silent holds up other calls for that long.
	_adviceMargin = 1500 * time.Millisecond
	// _adviceSlack is the factor by which the service may be slower than expected.
	_adviceSlack = 2
	// _maxAdviceTimeout limits how long a call may take while the service is slower than configured.
	_maxAdviceTimeout = time.Minute
)

// AdvicePacing sets the time limits of calls for advice. The service handles one call of a process after
// the other, so that a call takes as long as those before it and its own, and is probably lost once a later
// one has been answered. The zero value is ready for use.
type AdvicePacing struct {
	calls []*AdviceCall
	// slowness is how many times longer than configured the service is expected to take; zero counts as one.
	slowness float64
}

// AdviceCall is a call under way.
type AdviceCall struct {
	// takes is how long it takes by configuration, and expected that behind the calls before it.
	takes, expected time.Duration
	// slowness is the one that its limit counts with.
	slowness float64
	// Shorten is called with a new limit, from now on, once the call is probably lost.
	Shorten func(limit time.Duration)
}

// Begin adds a call that takes some time by configuration to those under way, and returns how long it may
// take.
func (a *AdvicePacing) Begin(takes time.Duration) (*AdviceCall, time.Duration) {
	c := &AdviceCall{takes: takes, expected: takes, slowness: max(1, a.slowness)}
	for _, x := range a.calls {
		c.expected += x.takes
	}
	a.calls = append(a.calls, c)
	usual := _adviceMargin + _adviceSlack*c.expected
	limit := time.Duration(float64(usual) * c.slowness)
	return c, min(limit, max(_maxAdviceTimeout, usual))
}

// End removes a call from those under way, and learns from how long it took. A service that gave no answer
// in time gets twice as long for the next one; it may still be busy with the call that was given up.
func (a *AdvicePacing) End(c *AdviceCall, took time.Duration, err error) {
	i := slices.Index(a.calls, c)
	earlier := a.calls[:i]
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		a.slowness = max(a.slowness, min(2*c.slowness, float64(_maxAdviceTimeout/_adviceMargin)))
	case err == nil:
		a.slowness = max(1, _adviceSlack*float64(took)/float64(_adviceMargin+_adviceSlack*c.expected))
		for _, x := range earlier {
			if x.Shorten != nil {
				x.Shorten(_adviceMargin + x.takes)
			}
		}
	}
	a.calls = slices.Delete(a.calls, i, i+1)
}
