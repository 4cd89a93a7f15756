package admission

// Standing is the rank of a job in the contest for room. A job only takes room that jobs of
// higher standing leave.
type Standing uint8

const (
	// Entitled jobs are within their workspace's rate and can be on time.
	Entitled Standing = iota
	// EntitledLate jobs are within it and will be late.
	EntitledLate
	// Surplus jobs exceed their workspace's rate.
	Surplus
	// SurplusLate jobs exceed it and will be late.
	SurplusLate
)

// _standings is the number of standings.
const _standings = int(SurplusLate) + 1

// StandingOf returns the standing of a job.
func StandingOf(surplus, late bool) Standing {
	switch {
	case surplus && late:
		return SurplusLate
	case surplus:
		return Surplus
	case late:
		return EntitledLate
	}
	return Entitled
}

// String returns the standing's name in logs and metrics.
func (v Standing) String() string {
	return [_standings]string{"entitled", "entitledLate", "surplus", "surplusLate"}[v]
}

// Backlog is the work that waits for room, by standing and workspace.
type Backlog struct {
	waiting [_standings]map[string]float64
	total   [_standings]float64
}

// Add adds waiting work of a workspace, given by its label.
func (b *Backlog) Add(v Standing, label string, work float64) {
	if b.waiting[v] == nil {
		b.waiting[v] = make(map[string]float64)
	}
	b.waiting[v][label] += work
	b.total[v] += work
}

// Until returns the waiting work of a standing and all higher ones.
func (b *Backlog) Until(v Standing) float64 {
	sum := 0.0
	for _, w := range b.total[:v+1] {
		sum += w
	}
	return sum
}
