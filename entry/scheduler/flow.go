package scheduler

import "time"

// A turn of a queue asks for thousands of starts per second. An entry that sends more than its
// processor and link carry delays all of its calls: answers come after their time-outs, leases
// aren't renewed, and sound upstreams seem silent. So only a window of starts is without an
// answer at a time, and the window follows the delay of the answers.
const (
	// _firstWindow is the window of a new owner, in starts.
	_firstWindow = 64
	_minWindow   = 8
	_maxWindow   = 1024
	// The window shrinks if answers take longer than _slowAnswer, and grows while placement
	// needs it and they take less than _quickAnswer. An upstream answers within some
	// milliseconds, and two upstreams in a row are a round trip apart.
	_slowAnswer  = 100 * time.Millisecond
	_quickAnswer = 50 * time.Millisecond
	// _flowInterval is the time between two changes of the window.
	_flowInterval = 50 * time.Millisecond
	// _shrink and _growth are the factors of a change.
	_shrink = 0.8
	_growth = 1.25
	// _delayWeight is the weight of an interval in the average delay.
	_delayWeight = 0.3
	// _limitMemory is how long admission counts with the rate of starts after placement was
	// last held up by the window.
	_limitMemory = 500 * time.Millisecond
	// Answers that take longer than _idleAnswer show that the entry is busy. From there on the pause
	// between polls grows by _gatherFactor times as much, up to _gatherGap.
	_idleAnswer   = 6 * time.Millisecond
	_gatherFactor = 3
	_gatherGap    = 60 * time.Millisecond
	// _maxPollGap limits the pause between polls of an upstream while answers are slow.
	_maxPollGap = 200 * time.Millisecond
	// _maxDelay limits the delay by which timeouts are extended.
	_maxDelay = time.Second
)

// flow controls how many starts are sent.
type flow struct {
	// window is how many starts may be without an answer; zero for _firstWindow.
	window float64
	// delay is the average time from the decision to the handling of the answer, for calls
	// that are answered at once.
	delay time.Duration
	// rate is how many starts per second are answered while the window holds up placement,
	// which it last did at limitedAt.
	rate      float64
	limitedAt time.Time
	// answers and sum are the number of answers since changedAt and the sum of their delays,
	// starts the starts among them.
	answers, starts int
	sum             time.Duration
	changedAt       time.Time
}

// open reports whether another start may be sent, given the number of those without an
// answer.
func (f *flow) open(now time.Time, unanswered int) bool {
	if float64(unanswered) < f.size() {
		return true
	}
	f.limitedAt = now
	return false
}

func (f *flow) size() float64 {
	if f.window == 0 {
		return _firstWindow
	}
	return f.window
}

// limited reports whether the window holds up placement.
func (f *flow) limited(now time.Time) bool {
	return !f.limitedAt.IsZero() && now.Sub(f.limitedAt) < _limitMemory
}

// answered records the answer to a call, or that it wasn't sent in time.
func (f *flow) answered(now time.Time, delay time.Duration, start bool) {
	f.answers++
	f.sum += delay
	if start {
		f.starts++
	}
	if f.changedAt.IsZero() {
		f.changedAt = now
	}
	if d := now.Sub(f.changedAt); d >= _flowInterval {
		f.change(now, d)
	}
}

// change adapts the window to the answers of an interval.
func (f *flow) change(now time.Time, interval time.Duration) {
	mean := f.sum / time.Duration(f.answers)
	f.delay += time.Duration(_delayWeight * float64(mean-f.delay))
	limited := f.limited(now)
	switch {
	case mean > _slowAnswer:
		f.window = max(_minWindow, f.size()*_shrink)
	case mean < _quickAnswer && limited:
		f.window = min(_maxWindow, f.size()*_growth)
	}
	if limited {
		f.rate = (f.rate + float64(f.starts)/interval.Seconds()) / 2
	}
	f.answers, f.starts, f.sum, f.changedAt = 0, 0, 0, now
}

// wait predicts how long it takes to send a number of starts. It is zero while the window
// holds up nothing.
func (f *flow) wait(now time.Time, starts int) time.Duration {
	if !f.limited(now) || f.rate <= 0 {
		return 0
	}
	return time.Duration(float64(starts) / f.rate * float64(time.Second))
}

// timeout returns how long to wait for an answer that normally takes less than a given time.
// If the answers of all upstreams are late, then this entry is.
func (f *flow) timeout(d time.Duration) time.Duration { return d + 2*min(f.delay, _maxDelay) }

// pollGap returns the pause before an upstream is polled again. The slower answers are, the more ends are
// collected in one. An upstream in use ends some runs a second, so that a pause of _gatherGap spares a
// quarter of the polls.
func (f *flow) pollGap() time.Duration {
	if f.delay < _quickAnswer {
		return min(_gatherGap, _gatherFactor*max(0, f.delay-_idleAnswer))
	}
	return min(max(f.delay, _gatherGap), _maxPollGap)
}
