package hostplan

import "time"

const (
	// _bin is the step in which demand is remembered.
	_bin = 200 * time.Millisecond
	// _bins is how much is remembered: some of the longest cycles.
	_bins = 600
	// _minPeriod and _maxPeriod bound the cycles that are looked for.
	_minPeriod = 20
	_maxPeriod = 250
	// _likeness is how well a cycle must explain the demand, of one.
	_likeness = 0.5
)

// cycle remembers the demand of a pool and finds the period with which it
// repeats itself.
type cycle struct {
	start   time.Time
	demand  []float64
	period  int
	foundAt int
}

// note takes in the demand at a time.
func (c *cycle) note(now time.Time, demand float64) {
	if c.start.IsZero() {
		c.start = now
	}
	n := int(now.Sub(c.start) / _bin)
	for len(c.demand) <= n {
		c.demand = append(c.demand, demand)
	}
	if over := len(c.demand) - _bins; over > 0 {
		c.demand = c.demand[over:]
		c.start = c.start.Add(time.Duration(over) * _bin)
		c.foundAt -= over
	}
	if len(c.demand) >= c.foundAt+5 {
		c.foundAt = len(c.demand)
		c.period = c.find()
	}
}

// forecast returns the highest demand expected from now until a while ahead. It
// is zero while no cycle is known.
func (c *cycle) forecast(now time.Time, ahead time.Duration) float64 {
	if c.period == 0 {
		return 0
	}
	high := 0.0
	first := int(now.Sub(c.start) / _bin)
	last := int(now.Add(ahead).Sub(c.start) / _bin)
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

// find returns the period that explains the demand best, and zero where none
// does.
func (c *cycle) find() int {
	n := len(c.demand)
	mean := 0.0
	for _, d := range c.demand {
		mean += d
	}
	mean /= float64(n)
	best, found := _likeness, 0
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
