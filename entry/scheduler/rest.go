package scheduler

import "time"

// baseline is where this owner began to follow a run's progress. The rate since then tells how long the
// run takes altogether, however far its caller's estimate is off.
type baseline struct {
	// from is the percentage at which this owner began to follow the run, at fromAt.
	from   int
	fromAt time.Time
}

// _leastProgress is the progress, in percentage points, from which its rate is used. Reports
// are whole percentages, so less would tell the duration only within a quarter.
const _leastProgress = 5

// follow begins to follow a run with its first report. The upstream may have begun a run
// whose start had no answer, or that a former owner started, long before that.
func (r *run) follow(now time.Time, percent int) {
	if r.started.Before(now) {
		r.baseline = baseline{0, r.started}
		return
	}
	r.baseline = baseline{percent, now}
}

// whole returns how long a run takes from its start to its end at the reported rate. It returns
// false if too little is known. A run that resumes from a checkpoint has no even rate.
func (r *run) whole() (time.Duration, bool) {
	n := r.percent - r.baseline.from
	if n < _leastProgress || r.task.checkpoint != "" {
		return 0, false
	}
	return r.progressedAt.Sub(r.baseline.fromAt) * 100 / time.Duration(n), true
}

// rest predicts how long a run still takes. Without a rate, that follows from the duration that
// is expected of its task.
func (r *run) rest(now time.Time, expected time.Duration) time.Duration {
	if d, ok := r.whole(); ok {
		return max(0, d*time.Duration(100-r.percent)/100-now.Sub(r.progressedAt))
	}
	if !r.ordered.IsZero() {
		return max(0, expected-now.Sub(r.ordered))
	}
	left := expected * time.Duration(100-max(0, r.percent)) / 100
	return max(0, left-now.Sub(r.started))
}

const (
	// _occupancySpan is the time that one field of an occupancy covers, and
	// _occupancySpans their number. Runs that take longer count among the last.
	_occupancySpan  = 250 * time.Millisecond
	_occupancySpans = 40
)

// occupancy is the CPU that runs take up until they end, by the time that they still take. A few
// long runs delay new jobs by the room that they take, not by the time until they end.
type occupancy struct {
	// cpu, in millicores, and work, in millicore-seconds.
	cpu, work [_occupancySpans]float64
}

func (o *occupancy) add(cpu float64, rest time.Duration) {
	i := min(int(rest/_occupancySpan), _occupancySpans-1)
	o.cpu[i] += cpu
	o.work[i] += cpu * rest.Seconds()
}

// within returns the work that is done in a time, in millicore-seconds.
func (o *occupancy) within(d time.Duration) float64 {
	done := 0.0
	for i := range o.cpu {
		done += min(o.work[i], o.cpu[i]*d.Seconds())
	}
	return done
}

// after returns the CPU that is taken up for longer than a time, in millicores.
func (o *occupancy) after(d time.Duration) float64 {
	still := 0.0
	for i := range o.cpu {
		if o.work[i] > o.cpu[i]*d.Seconds() {
			still += o.cpu[i]
		}
	}
	return still
}

// residual learns how long tasks still run on average, at any moment at which a pool is busy.
// Long tasks weigh more than in the mean duration, because more moments fall into them.
type residual struct {
	// work and square are the sums of the CPU of tasks times their duration, and times its
	// square. Old samples decay.
	work, square float64
}

// _priorResidual is assumed before anything is learned. It weighs as much as
// _priorResidualWork, in millicore-seconds.
const (
	_priorResidual     = 500 * time.Millisecond
	_priorResidualWork = 100_000
)

// add records the tasks of a step, given their CPU and mean duration, in seconds.
func (r *residual) add(cpu, d float64) {
	f := 1 - 1/_trendSamples
	r.work, r.square = r.work*f+cpu*d, r.square*f+cpu*d*d
}

func (r *residual) seconds() float64 {
	return (r.square/2 + _priorResidualWork*_priorResidual.Seconds()) / (r.work + _priorResidualWork)
}
