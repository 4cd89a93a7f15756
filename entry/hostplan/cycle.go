package hostplan

import "time"

const (
	// _sampleInterval is the time between two samples of demand.
	_sampleInterval = 200 * time.Millisecond
	// _maxSamples limits the history. A period is found only if the history covers it
	// twice, so this is more than twice _maxPeriod.
	_maxSamples = 600
	// _minPeriod and _maxPeriod limit the periods that are searched, in samples.
	_minPeriod = 20
	_maxPeriod = 250
	// A period is accepted if the squared correlation (0 to 1) between the demand and
	// the demand one period earlier is above _minFit.
	_minFit = 0.5
)

// demandCycle records the demand of a pool and finds the period with which it
// repeats.
type demandCycle struct {
	// start is the time of the first sample in demand.
	start  time.Time
	demand []float64
	// period is in samples; it is zero while none is found.
	period int
	// searchedAt is the number of samples at the last search for a period.
	searchedAt int
}

// record adds the demand at the time now and fills in samples that were skipped.
// After every five new samples it searches for the period again.
func (c *demandCycle) record(now time.Time, demand float64) {
	if c.start.IsZero() {
		c.start = now
	}
	n := int(now.Sub(c.start) / _sampleInterval)
	for len(c.demand) <= n {
		c.demand = append(c.demand, demand)
	}
	if over := len(c.demand) - _maxSamples; over > 0 {
		c.demand = c.demand[over:]
		c.start = c.start.Add(time.Duration(over) * _sampleInterval)
		c.searchedAt -= over
	}
	if len(c.demand) >= c.searchedAt+5 {
		c.searchedAt = len(c.demand)
		c.period = c.findPeriod()
	}
}

// forecast returns the highest demand expected from now until now+ahead, or zero
// while no period is known.
func (c *demandCycle) forecast(now time.Time, ahead time.Duration) float64 {
	if c.period == 0 {
		return 0
	}
	high := 0.0
	first := int(now.Sub(c.start) / _sampleInterval)
	last := int(now.Add(ahead).Sub(c.start) / _sampleInterval)
	for i := first; i <= last; i++ {
		k := i
		for k >= len(c.demand) {
			k -= c.period
		}
		if k >= 0 {
			high = max(high, c.demand[k])
		}
	}
	return high
}

// findPeriod returns the period, in samples, with the highest squared correlation,
// or zero where none exceeds _minFit.
func (c *demandCycle) findPeriod() int {
	n := len(c.demand)
	mean := 0.0
	for _, d := range c.demand {
		mean += d
	}
	mean /= float64(n)
	best, found := _minFit, 0
	for p := _minPeriod; p <= _maxPeriod && p <= n/2; p++ {
		num, a, b := 0.0, 0.0, 0.0
		for i := p; i < n; i++ {
			x, y := c.demand[i]-mean, c.demand[i-p]-mean
			num += x * y
			a += x * x
			b += y * y
		}
		if a > 0 && b > 0 {
			if r := num * num / (a * b); num > 0 && r > best {
				best, found = r, p
			}
		}
	}
	return found
}
