package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// _maxPlaces bounds the memory of a pool that refuses everybody.
	_maxPlaces = 4096
	// _placeGrace is how long room is kept for a caller after the time that he was told.
	_placeGrace = 500 * time.Millisecond
)

// Caller is a refused caller.
type Caller struct {
	// Job identifies the caller, who sends the same job again.
	Job string
	// First is when the job was first submitted.
	First time.Time
	// Standing is that of the job when the caller returns.
	Standing Standing
	Work     float64
}

// before reports whether a caller has a better place than another.
func (c Caller) before(d Caller) bool {
	return cmp.Or(cmp.Compare(c.Standing, d.Standing), c.First.Compare(d.First), cmp.Compare(c.Job, d.Job)) < 0
}

// Places is the virtual queue of refused callers, ordered by standing and first attempt. It
// answers callers who were refused together, as in a turn or an outage of the store: each
// returns when there is room for him, and isn't overtaken by those who were refused after
// him.
type Places struct {
	line  []place
	byJob map[string]Caller
}

// place is a caller's place in the queue. Its room is kept from due on.
type place struct {
	caller Caller
	due    time.Time
}

// Len returns the number of places.
func (p *Places) Len() int { return len(p.line) }

// Assign gives a caller a place, or moves the one that he has, and returns when he should
// come back: after a wait, in the first second in which those with a better claim leave
// something of the work that the pool completes in a second. The answer is in whole seconds,
// as callers are told, and at least one.
func (p *Places) Assign(now time.Time, c Caller, wait time.Duration, rate float64) time.Duration {
	p.trim(now)
	p.Leave(c.Job)
	i := p.find(c)
	first := max(1, int((wait+time.Second-1)/time.Second))
	var taken [_maxSeconds]float64
	for _, x := range p.line[:i] {
		if k := int((x.due.Sub(now)+time.Second-1)/time.Second) - first; k >= 0 && k < _maxSeconds {
			taken[k] += x.caller.Work
		}
	}
	k := 0
	for k < _maxSeconds-1 && taken[k] > 0 && taken[k] >= rate {
		k++
	}
	after := time.Duration(first+k) * time.Second
	if len(p.line) < _maxPlaces {
		p.line = slices.Insert(p.line, i, place{c, now.Add(after)})
		if p.byJob == nil {
			p.byJob = make(map[string]Caller)
		}
		p.byJob[c.Job] = c
	}
	return after
}

// _maxSeconds limits by how many seconds callers are spread. They give up long before.
const _maxSeconds = 30

// Leave removes the place of a caller who returned for the last time.
func (p *Places) Leave(job string) {
	c, ok := p.byJob[job]
	if !ok {
		return
	}
	delete(p.byJob, job)
	i := p.find(c)
	p.line = slices.Delete(p.line, i, i+1)
}

// find returns the position of a caller's place, or where it would be.
func (p *Places) find(c Caller) int {
	i, _ := slices.BinarySearchFunc(p.line, c, func(x place, c Caller) int {
		if x.caller.before(c) {
			return -1
		}
		return 1
	})
	return i
}

// Kept returns the work for which room is kept against a caller: that of the better places
// whose time has come.
func (p *Places) Kept(now time.Time, c Caller) float64 {
	sum := 0.0
	for _, x := range p.line {
		if !x.caller.before(c) {
			break
		}
		if !now.Before(x.due) && now.Sub(x.due) < _placeGrace {
			sum += x.caller.Work
		}
	}
	return sum
}

// trim removes the places of callers who didn't come.
func (p *Places) trim(now time.Time) {
	p.line = slices.DeleteFunc(p.line, func(x place) bool {
		if now.Sub(x.due) < _placeGrace {
			return false
		}
		delete(p.byJob, x.caller.Job)
		return true
	})
}
