package upstream

import (
	"maps"
	"sync"
)

// Limits of an executor. The test configurations set the same numbers of slots
// and connections for their hosts.
const (
	_maxSlots       = 8
	_maxConnections = 64
)

// Gauge counts the runs of an executor, and its slots and connections in use:
// the current number, the largest so far, and how often the limit was exceeded.
type Gauge struct {
	Runs            int `json:"runs"`
	Slots           int `json:"slots"`
	MaxSlots        int `json:"maxSlots"`
	OverSlots       int `json:"overSlots"` // runs begun while every slot was in use
	Connections     int `json:"connections"`
	MaxConnections  int `json:"maxConnections"`
	OverConnections int `json:"overConnections"` // connections opened beyond the limit
}

func (g *Gauge) begin() {
	g.Runs++
	g.Slots++
	g.MaxSlots = max(g.MaxSlots, g.Slots)
	if g.Slots > _maxSlots {
		g.OverSlots++
	}
}

func (g *Gauge) connect() {
	g.Connections++
	g.MaxConnections = max(g.MaxConnections, g.Connections)
	if g.Connections > _maxConnections {
		g.OverConnections++
	}
}

// plus returns the sums of the counts and the larger of each maximum.
func (g Gauge) plus(h Gauge) Gauge {
	return Gauge{
		Runs:            g.Runs + h.Runs,
		Slots:           g.Slots + h.Slots,
		MaxSlots:        max(g.MaxSlots, h.MaxSlots),
		OverSlots:       g.OverSlots + h.OverSlots,
		Connections:     g.Connections + h.Connections,
		MaxConnections:  max(g.MaxConnections, h.MaxConnections),
		OverConnections: g.OverConnections + h.OverConnections,
	}
}

// tally counts runs by idempotency key, request and attempt. Its zero value is
// ready to use.
type tally struct {
	mu       sync.Mutex
	keys     map[string]int
	requests map[string]int
	attempts map[string]int
}

func (t *tally) count(key, request, attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.keys == nil {
		t.keys = make(map[string]int)
		t.requests = make(map[string]int)
		t.attempts = make(map[string]int)
	}
	add(t.keys, key)
	add(t.requests, request)
	add(t.attempts, attempt)
}

// add counts a run under a name; an empty name is not counted.
func add(m map[string]int, name string) {
	if name != "" {
		m[name]++
	}
}

// Runs is the number of runs by idempotency key, by request and by attempt.
type Runs struct {
	Keys     map[string]int `json:"keys"`
	Requests map[string]int `json:"requests"`
	Attempts map[string]int `json:"attempts"`
}

func (t *tally) read() Runs {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Runs{Keys: maps.Clone(t.keys), Requests: maps.Clone(t.requests), Attempts: maps.Clone(t.attempts)}
}
