package scheduler

import (
	"math"
	"time"

	"fescuelanding/fleet/work"
)

// learned is what ended tasks say about the duration of those to come. Callers
// declare durations; how much that is worth differs by queue, and is learned.
type learned struct {
	byImage map[string]*average
	byQueue map[string]*trend
	// spread is by how many times the last task of a step takes longer than its
	// tasks do on average, by queue.
	spread map[string]*average
}

func newLearned() learned {
	return learned{byImage: make(map[string]*average), byQueue: make(map[string]*trend), spread: make(map[string]*average)}
}

const (
	// _weight is the share of a new sample in an average of many.
	_sampleWeight = 0.15
	// _defaultDuration stands in where nothing is declared or learned.
	_defaultDuration = time.Second
	// _memory is how many samples a trend looks back.
	_trendSamples = 200.0
	// _priorSlope and _priorWeight are what a trend assumes before it has
	// samples, and how many samples that counts for: a declaration half as
	// telling as a true one.
	_priorSlope  = 0.6
	_priorWeight = 4.0
	// _priorSpread is the variance of the logarithm of declared durations.
	_priorSpread = 0.3
)

// average is a mean that forgets slowly.
type average struct {
	n    int
	mean float64
}

func (a *average) add(v float64) {
	a.n++
	a.mean += (v - a.mean) * max(_sampleWeight, 1/float64(a.n))
}

// trend is a line through true against declared durations, both as logarithms.
type trend struct{ n, x, y, xx, xy float64 }

// note takes in a sample.
func (t *trend) add(declared, took float64) {
	f := 1.0
	if t.n >= _trendSamples {
		f = 1 - 1/_trendSamples
	}
	x, y := math.Log(declared), math.Log(took)
	t.n, t.x, t.y = t.n*f+1, t.x*f+x, t.y*f+y
	t.xx, t.xy = t.xx*f+x*x, t.xy*f+x*y
}

// predict returns the duration expected for a declared one.
func (t *trend) predict(declared float64) float64 {
	if t == nil || t.n < 1 {
		return declared
	}
	mx, my := t.x/t.n, t.y/t.n
	vx, c := t.xx-t.n*mx*mx, t.xy-t.n*mx*my
	p := _priorWeight * _priorSpread
	slope := min(max((c+p*_priorSlope)/(vx+p), 0), 1)
	// The first samples say little about the level of others.
	w := t.n / (t.n + 1)
	line := my + slope*(math.Log(declared)-mx)
	return math.Exp(w*line + (1-w)*math.Log(declared))
}

// note takes in how long the tasks of a step of a queue ran near their data, on
// average and at longest, in nanoseconds.
func (l *learned) add(queue string, d *work.Step, v, longest float64) {
	if d.GetCount() > 1 && v > 0 {
		a := l.spread[queue]
		if a == nil {
			a = &average{}
			l.spread[queue] = a
		}
		a.add(longest / v)
	}
	if i := d.GetImage(); i != "" {
		a := l.byImage[i]
		if a == nil {
			a = &average{}
			l.byImage[i] = a
		}
		a.add(v)
	}
	if e := d.GetEstimateMs(); e > 0 && v > 0 {
		t := l.byQueue[queue]
		if t == nil {
			t = &trend{}
			l.byQueue[queue] = t
		}
		t.add(float64(time.Duration(e)*time.Millisecond), v)
	}
}

// duration predicts how long a task of a step runs.
func (l *learned) duration(queue string, d *work.Step) time.Duration {
	if a := l.byImage[d.GetImage()]; a != nil && a.n >= 2 {
		return time.Duration(a.mean)
	}
	e := time.Duration(d.GetEstimateMs()) * time.Millisecond
	if e <= 0 {
		return _defaultDuration
	}
	return time.Duration(l.byQueue[queue].predict(float64(e)))
}

// last predicts from how long a task of a step runs when the last of the step ends.
func (l *learned) lastTask(queue string, d *work.Step, one time.Duration) time.Duration {
	if a := l.spread[queue]; a != nil && d.GetCount() > 1 {
		return time.Duration(float64(one) * a.mean)
	}
	return one
}

// record encodes what is known by queue.
func (l *learned) record() *work.Learned {
	m := &work.Learned{Queues: make(map[string]*work.Trend, len(l.byQueue))}
	for q, t := range l.byQueue {
		m.Queues[q] = &work.Trend{N: t.n, X: t.x, Y: t.y, Xx: t.xx, Xy: t.xy}
	}
	return m
}

// restore takes in what a former owner knew.
func (l *learned) restore(m *work.Learned) {
	for q, t := range m.GetQueues() {
		l.byQueue[q] = &trend{t.GetN(), t.GetX(), t.GetY(), t.GetXx(), t.GetXy()}
	}
}
