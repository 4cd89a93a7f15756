package broker

import (
	"math"
	"time"
)

const (
	_defaultRun = 100 * time.Millisecond
	_minRun     = time.Millisecond
	// _minRunWeight is the least weight of one run in the mean.
	_minRunWeight = 1.0 / 32
)

// runs learns how long requests of one class run, by service.
type runs struct {
	byService map[string]*mean
	all       mean
}

func (r *runs) add(service string, d time.Duration) {
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

// expect returns the mean run of a service, or that of its class, or a guess.
func (r *runs) expect(service string) time.Duration {
	if m := r.byService[service]; m != nil {
		return max(m.value, _minRun)
	}
	if r.all.n > 0 {
		return max(r.all.value, _minRun)
	}
	return _defaultRun
}

// overall returns the mean run over all services.
func (r *runs) overall() time.Duration {
	return r.expect("")
}

// longest returns the mean run of the service that runs longest.
func (r *runs) longest() time.Duration {
	d := r.overall()
	for _, m := range r.byService {
		d = max(d, m.value)
	}
	return d
}

// mean is a mean in which old values fade.
type mean struct {
	value time.Duration
	n     int
}

func (m *mean) add(d time.Duration) {
	m.n++
	step := max(1/float64(m.n), _minRunWeight)
	m.value += time.Duration(step * float64(d-m.value))
}

// load is the work that arrives, as slots that it would keep busy. Old
// arrivals fade with the time constant given.
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

// decay lets a value fall to 1/e over the time constant.
func decay(v float64, d, tau time.Duration) float64 {
	return v * math.Exp(-d.Seconds()/tau.Seconds())
}
