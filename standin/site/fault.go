package site

import (
	"sync"
	"time"
)

// _contact is how long after the end of the last fault the site is quiet.
const _contact = 3 * time.Second

// faults are the faults of the site. Moves, upkeeps and changes of the configuration aren't.
type faults struct {
	mu      sync.Mutex
	inForce map[string]bool
	// lastEnd is when the last one ended.
	lastEnd time.Time
}

// begin notes that a fault is in force from now on.
func (f *faults) begin(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inForce == nil {
		f.inForce = make(map[string]bool)
	}
	f.inForce[name] = true
}

// end notes that a fault isn't in force any longer, if it was.
func (f *faults) end(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inForce[name] {
		delete(f.inForce, name)
		f.lastEnd = time.Now()
	}
}

// strike notes a fault that is over at once.
func (f *faults) strike() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastEnd = time.Now()
}

// quietSince returns since when the site is quiet, which may be in the future, and false if a
// fault is in force.
func (f *faults) quietSince() (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastEnd.Add(_contact), len(f.inForce) == 0
}
