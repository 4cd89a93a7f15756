package broker

import (
	"math"
	"time"
)

const (
	_defaultRun = 100 * time.Millisecond
	_minRun     = time.Millisecond
	// _minRunWeight is the lower bound of the weight of one run in the mean.
	_minRunWeight = 1.0 / 32
)

// runTimes tracks the mean run times of one class, by service.
type runTimes struct {
	byService map[string]*mean
	all       mean
}

func (r *runTimes) add(service string, d time.Duration) {
	if r.byService == nil {
		r.byService = make(map[string]*mean)
	}
	m := r.byService[service]
	if m == nil {
		m = &mean{}
		r.byService[service] = m
	}
	m.add(d)
	r.all.add(d)
}

// expect returns the mean run time of a service, or else that of its class,
// or else a default.
func (r *runTimes) expect(service string) time.Duration {
	if m := r.byService[service]; m != nil {
		return max(m.value, _minRun)
	}
	if r.all.n > 0 {
		return max(r.all.value, _minRun)
	}
	return _defaultRun
}

// overall returns the mean run time over all services.
func (r *runTimes) overall() time.Duration {
	return r.expect("")
}

// longest returns the largest of the mean run times of the services.
func (r *runTimes) longest() time.Duration {
	d := r.overall()
	for _, m := range r.byService {
		d = max(d, m.value)
	}
	return d
}

// mean is the arithmetic mean of the first 32 values, and an exponentially
// weighted mean from then on.
type mean struct {
	value time.Duration
	n     int
}

func (m *mean) add(d time.Duration) {
	m.n++
	step := max(1/float64(m.n), _minRunWeight)
	m.value += time.Duration(step * float64(d-m.value))
}

// load is the rate at which work arrives, expressed as the number of slots
// that it keeps busy. It decays exponentially with the given time constant.
type load struct {
	value float64
	at    time.Time
}

func (l *load) add(now time.Time, work, tau time.Duration) {
	l.value = l.decayed(now, tau) + work.Seconds()/tau.Seconds()
	l.at = now
}

func (l *load) decayed(now time.Time, tau time.Duration) float64 {
	return decay(l.value, now.Sub(l.at), tau)
}

// decay returns v after exponential decay over the time d. The value falls to
// 1/e of itself per time constant tau.
func decay(v float64, d, tau time.Duration) float64 {
	return v * math.Exp(-d.Seconds()/tau.Seconds())
}
