package hedge

import (
	"slices"
	"time"
)

const (
	// _answerFactor is the multiple of the usual time of an answer after which a call is
	// repeated, and _minInterval the least interval. It covers the variation of answers from a
	// server that isn't slow.
	_answerFactor = 4
	_minInterval  = 30 * time.Millisecond
	// _lossFactor and _minLossInterval replace them while answers get lost.
	_lossFactor      = 2
	_minLossInterval = 15 * time.Millisecond
	// _maxInterval bounds the interval of a server that isn't slow, and with it how long a call
	// goes on after the end of an outage.
	_maxInterval = 300 * time.Millisecond
	// _firstInterval applies while no answer has come.
	_firstInterval = 100 * time.Millisecond
	// _lossMemory is how long intervals stay short after an answer was lost.
	_lossMemory = 10 * time.Second
	// _shortRepeats is the number of repeats at short intervals. If four of ten answers get
	// lost, one call in a hundred needs more.
	_shortRepeats = 4
)

// Pace decides when a call without an answer is repeated. The zero value is for a server that
// hasn't answered yet.
type Pace struct {
	// took is a ring of the times that the last answers took.
	took     [4]time.Duration
	answered int
	// lostAt is when a repeat was last answered before an attempt that it repeats.
	lostAt time.Time
}

// After returns how long to wait for an answer after a number of attempts, the last of which was
// sent at now.
func (p *Pace) After(now time.Time, attempts int) time.Duration {
	usual := slices.Max(p.took[:])
	d, grows := _firstInterval, attempts-1
	switch {
	case p.answered == 0:
	case p.losing(now):
		d, grows = max(_lossFactor*usual, _minLossInterval), grows-_shortRepeats
	default:
		d = max(_answerFactor*usual, _minInterval)
	}
	d = min(d, _maxInterval)
	for range grows {
		d = min(2*d, _maxInterval)
	}
	return max(d, _slowFactor*usual)
}

// _slowFactor is the multiple of the usual time of an answer that an interval has at least, also
// if the server takes longer than _maxInterval.
const _slowFactor = 2

// Answered records how long an answer took. overtook tells that it was the answer to a repeat, and
// an earlier attempt had none.
func (p *Pace) Answered(now time.Time, took time.Duration, overtook bool) {
	p.took[p.answered%len(p.took)] = took
	p.answered++
	if overtook {
		p.lostAt = now
	}
}

// losing reports whether answers get lost.
func (p *Pace) losing(now time.Time) bool {
	return !p.lostAt.IsZero() && now.Sub(p.lostAt) < _lossMemory
}
