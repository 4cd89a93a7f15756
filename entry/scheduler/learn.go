package scheduler

import (
	"time"

	"fescuelanding/fleet/work"
)

// learned is what ended tasks say about the duration of those to come.
type learned struct {
	byImage map[string]*average
	// ratio of true to declared durations, for images not seen yet.
	ratio average
	// retry is when the scheduler has to look again at what it put off.
	retry time.Time
}

func newLearned() learned { return learned{byImage: make(map[string]*average)} }

const (
	// _weight is the share of a new sample in an average of many.
	_weight = 0.15
	// _defaultDuration stands in where nothing is declared or learned.
	_defaultDuration = time.Second
)

// average is a mean that forgets slowly.
type average struct {
	n    int
	mean float64
}

func (a *average) note(v float64) {
	a.n++
	a.mean += (v - a.mean) * max(_weight, 1/float64(a.n))
}

// note takes in how long a task ran, away from its data or not.
func (l *learned) note(d *work.Step, took time.Duration, remote float64) {
	v := float64(took) / remote
	if i := d.GetImage(); i != "" {
		a := l.byImage[i]
		if a == nil {
			a = &average{}
			l.byImage[i] = a
		}
		a.note(v)
	}
	if e := d.GetEstimateMs(); e > 0 {
		l.ratio.note(v / float64(time.Duration(e)*time.Millisecond))
	}
}

// duration predicts how long a task of a step runs.
func (l *learned) duration(d *work.Step) time.Duration {
	if a := l.byImage[d.GetImage()]; a != nil && a.n >= 2 {
		return time.Duration(a.mean)
	}
	e := time.Duration(d.GetEstimateMs()) * time.Millisecond
	if e <= 0 {
		return _defaultDuration
	}
	if l.ratio.n >= 5 {
		return time.Duration(float64(e) * l.ratio.mean)
	}
	return e
}

// retryAt asks for another look at a time.
func (l *learned) retryAt(t time.Time) {
	if l.retry.IsZero() || t.Before(l.retry) {
		l.retry = t
	}
}
