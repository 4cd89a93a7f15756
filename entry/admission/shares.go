package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

// _burst is how much of its rate a workspace may save up: callers send independently of one
// another, and what a workspace sends in any two seconds is within its entitlement if the
// mean is.
const _burst = 2 * time.Second

// Workspace is a competitor for the pool's room.
type Workspace struct {
	Name string
	// Weight is its share of a full pool, relative to the others, and the rate of jobs per
	// second that it is entitled to. A weight that isn't positive counts as one.
	Weight float64
}

// Shares divides a pool's room by weight. The zero value has no workspaces: every job is
// entitled, and nobody goes before another.
type Shares struct {
	byName map[string]*share
	// labels are the names in their order, after an empty one for jobs of no configured
	// workspace.
	labels []string
	// served is the virtual time of the last start: the work that a workspace of weight one
	// that always waits has received.
	served float64
}

// share is the state of a workspace.
type share struct {
	weight float64
	// tokens is the number of further jobs that are entitled as of countedAt.
	tokens    float64
	countedAt time.Time
	// served is the workspace's virtual time: the work that it has received, divided by its
	// weight.
	served float64
	// recent is the entitled work that was submitted until recentAt, with a weight that
	// decays over _rateSpan.
	recent   float64
	recentAt time.Time
}

// _rateSpan is the span over which the rate of submitted work is measured: several jobs of a
// busy workspace, and a part of a turn.
const _rateSpan = time.Second

// submits returns the rate of the entitled work that the workspace submits. It is zero for
// jobs of no workspace.
func (x *share) submits(now time.Time) float64 {
	if x == nil {
		return 0
	}
	return x.recent * math.Exp(-now.Sub(x.recentAt).Seconds()/_rateSpan.Seconds()) / _rateSpan.Seconds()
}

// Configure replaces the workspaces. Those that stay keep their state, with the new weight.
func (s *Shares) Configure(now time.Time, l []Workspace) {
	former := s.byName
	s.byName = make(map[string]*share, len(l))
	for _, w := range l {
		x := former[w.Name]
		if x == nil {
			x = &share{served: s.served}
		}
		x.count(now)
		fresh := x.weight == 0
		x.weight = w.Weight
		if x.weight <= 0 {
			x.weight = 1
		}
		if fresh {
			x.tokens = x.most()
		}
		x.tokens = min(x.tokens, x.most())
		s.byName[w.Name] = x
	}
	s.labels = append([]string{""}, slices.Sorted(maps.Keys(s.byName))...)
}

// Active reports whether there are workspaces to share the pool.
func (s *Shares) Active() bool { return len(s.byName) > 0 }

// Label returns the name if it is a configured workspace, and otherwise an empty string.
func (s *Shares) Label(workspace string) string {
	if s.byName[workspace] == nil {
		return ""
	}
	return workspace
}

// Entitle counts a new job of a workspace and reports whether it is within the workspace's
// entitlement. It answers a workspace that sends many times its usual.
func (s *Shares) Entitle(now time.Time, workspace string, work float64) bool {
	x := s.byName[workspace]
	if x == nil {
		return true
	}
	x.count(now)
	if x.tokens < 1 {
		return false
	}
	x.tokens--
	x.recent = x.submits(now)*_rateSpan.Seconds() + work
	x.recentAt = now
	return true
}

// count adds the tokens since countedAt.
func (x *share) count(now time.Time) {
	if d := now.Sub(x.countedAt); d > 0 {
		x.tokens = min(x.tokens+min(d, _burst).Seconds()*x.weight, x.most())
		x.countedAt = now
	}
}

// most returns the number of tokens that can be saved up: at least one, or a workspace with
// a small weight would never be entitled.
func (x *share) most() float64 { return max(1, x.weight*_burst.Seconds()) }

func (s *Shares) weight(workspace string) float64 {
	if x := s.byName[workspace]; x != nil {
		return x.weight
	}
	return 1
}

// Ahead returns how much other work goes before the end of a new job, if the pool completes
// rate of it per second: all that waits with a higher standing, what its workspace has
// waiting, and what the others receive by weight until then, of what they have waiting and of
// what they go on submitting. It answers a turn in which everybody sends more than the pool
// can serve: a workspace that asks for less than its share doesn't wait for those that ask for
// more, and these aren't promised what it will need.
func (s *Shares) Ahead(now time.Time, b *Backlog, v Standing, workspace string, work, rate float64) float64 {
	label := s.Label(workspace)
	own := b.waiting[v][label]
	before := own
	if v > 0 {
		before += b.Until(v - 1)
	}
	served := (own + work) / s.weight(workspace)
	ahead := before
	for range _rounds {
		until := min((ahead+work)/max(rate, 1), _rateLasts.Seconds())
		ahead = before
		if v > Entitled {
			// It gives way to all that is submitted, not only to what others submit.
			ahead += s.submits(now) * until
			until = 0
		}
		for _, n := range s.labels {
			if n != label {
				ahead += min(b.waiting[v][n]+s.byName[n].submits(now)*until, served*s.weight(n))
			}
		}
	}
	return ahead
}

const (
	// _rounds is how often Ahead corrects its estimate of the time until the job's end.
	_rounds = 4
	// _rateLasts limits for how long the others are expected to submit as they do now: about
	// as long as a job may wait and still be on time.
	_rateLasts = time.Second
)

// submits returns the rate of the entitled work that all workspaces submit.
func (s *Shares) submits(now time.Time) float64 {
	sum := 0.0
	for _, n := range s.labels {
		sum += s.byName[n].submits(now)
	}
	return sum
}

// Start charges work that starts to its workspace. A workspace that had nothing waiting
// can't have saved up room.
func (s *Shares) Start(workspace string, work float64) {
	x := s.byName[workspace]
	if x == nil {
		return
	}
	x.served = max(x.served, s.served)
	s.served = x.served
	x.served += work / x.weight
}

// Candidate is a waiting job.
type Candidate struct {
	Workspace string
	// Work is what the job would start now.
	Work float64
}

// Order returns the positions of candidates in the order in which they should start: always
// the next one of the workspace that has received least for its weight. The candidates of a
// workspace keep their order. It answers the same load as Ahead.
func (s *Shares) Order(l []Candidate) []int {
	var lines []*line
	byName := make(map[string]*line)
	for i, c := range l {
		n := byName[c.Workspace]
		if n == nil {
			n = &line{weight: s.weight(c.Workspace), served: s.served}
			if x := s.byName[c.Workspace]; x != nil {
				n.served = max(x.served, s.served)
			}
			byName[c.Workspace] = n
			lines = append(lines, n)
		}
		n.waiting = append(n.waiting, i)
	}
	order := make([]int, 0, len(l))
	for len(lines) > 0 {
		k := 0
		for i, n := range lines {
			if n.served < lines[k].served {
				k = i
			}
		}
		n := lines[k]
		i := n.waiting[0]
		order = append(order, i)
		n.served += l[i].Work / n.weight
		if n.waiting = n.waiting[1:]; len(n.waiting) == 0 {
			lines = append(lines[:k], lines[k+1:]...)
		}
	}
	return order
}

// line holds the candidates of a workspace, and its virtual time once those before them have
// started.
type line struct {
	weight, served float64
	waiting        []int
}
