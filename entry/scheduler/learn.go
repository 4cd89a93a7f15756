package scheduler

import (
	"math"
	"time"

	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// learned predicts the duration of tasks from those that completed. Callers
// declare durations; how accurate these are differs by queue, and is learned.
type learned struct {
	byImage map[string]*average
	byQueue map[string]*trend
	// spread is, by queue, the ratio of the longest run time in a step to the
	// average one.
	spread   map[string]*average
	residual residual
}

func newLearned() learned {
	return learned{byImage: make(map[string]*average), byQueue: make(map[string]*trend), spread: make(map[string]*average)}
}

const (
	// _sampleWeight is the smallest weight of a new sample in an average.
	_sampleWeight = 0.15
	// _defaultDuration is used if nothing is declared or learned.
	_defaultDuration = time.Second
	// _trendSamples is the number of samples over which a trend decays.
	_trendSamples = 200.0
	// _priorSlope and _priorWeight are the slope that a trend assumes before it
	// has samples, and the number of samples that this prior counts for. The slope
	// is one if declarations are exact and zero if they predict nothing. The prior
	// lies about halfway between.
	_priorSlope  = 0.6
	_priorWeight = 4.0
	// _priorVariance is the assumed variance of the logarithm of declared durations.
	_priorVariance = 0.3
)

// average is an exponential moving average that starts as a plain mean.
type average struct {
	n    int
	mean float64
}

func (a *average) add(v float64) {
	a.n++
	a.mean += (v - a.mean) * max(_sampleWeight, 1/float64(a.n))
}

// trend is a linear regression of actual on declared durations, both as
// logarithms. Old samples decay.
type trend struct{ n, x, y, xx, xy float64 }

// add adds a sample, in nanoseconds.
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
	p := _priorWeight * _priorVariance
	slope := min(max((c+p*_priorSlope)/(vx+p), 0), 1)
	// The fewer the samples, the closer the prediction stays to the declared
	// duration, because the first samples say little about later ones.
	w := t.n / (t.n + 1)
	line := my + slope*(math.Log(declared)-mx)
	return math.Exp(w*line + (1-w)*math.Log(declared))
}

// add records the average and the longest run time of a step's tasks, in
// nanoseconds. Both are given as if the tasks had run near their data.
func (l *learned) add(queue string, d *work.Step, mean, longest float64) {
	if !d.GetFills() {
		l.residual.add(float64(int64(d.GetCount())*d.GetMilliCpu()), mean/float64(time.Second))
	}
	if d.GetCount() > 1 && mean > 0 {
		a := l.spread[queue]
		if a == nil {
			a = &average{}
			l.spread[queue] = a
		}
		a.add(longest / mean)
	}
	if i := d.GetImage(); i != "" {
		a := l.byImage[i]
		if a == nil {
			a = &average{}
			l.byImage[i] = a
		}
		a.add(mean)
	}
	if e := d.GetEstimateMs(); e > 0 && mean > 0 {
		t := l.byQueue[queue]
		if t == nil {
			t = &trend{}
			l.byQueue[queue] = t
		}
		t.add(float64(time.Duration(e)*time.Millisecond), mean)
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

// stepDuration predicts how long it takes until the last task of a step ends if
// all of them start at once, given the expected duration of one task.
func (l *learned) stepDuration(queue string, d *work.Step, one time.Duration) time.Duration {
	if a := l.spread[queue]; a != nil && d.GetCount() > 1 {
		return time.Duration(float64(one) * a.mean)
	}
	return one
}

// record encodes the trends of the configured queues, and the residual.
func (l *learned) record(queues map[string]platform.Queue) *work.Learned {
	m := &work.Learned{
		Queues:   make(map[string]*work.Trend, len(l.byQueue)),
		Residual: &work.Residual{Work: l.residual.work, Square: l.residual.square},
	}
	for q, t := range l.byQueue {
		if _, ok := queues[q]; !ok {
			continue
		}
		m.Queues[q] = &work.Trend{N: t.n, X: t.x, Y: t.y, Xx: t.xx, Xy: t.xy}
	}
	return m
}

// restore loads the trends and the residual of a former owner. Older owners appended no
// residual.
func (l *learned) restore(m *work.Learned) {
	l.residual = residual{m.GetResidual().GetWork(), m.GetResidual().GetSquare()}
	for q, t := range m.GetQueues() {
		l.byQueue[q] = &trend{t.GetN(), t.GetX(), t.GetY(), t.GetXx(), t.GetXy()}
	}
}
