package broker

import (
	"container/heap"
	"slices"
	"time"
)

const _defaultRelaxedRun = 10 * time.Second

// classes are the queues of a pool, one per configured class.
type classes struct {
	byName map[string]*class
	all    []*class
}

// class is the queue of one class. Each team has a lane, and the lanes are
// served by deficit round robin.
type class struct {
	Class
	runTimes runTimes
	lanes    []*lane
	byTeam   map[*team]*lane
	nextLane int
	waiting  classHeap
	// work is the sum of the expected run times of the waiting requests.
	work time.Duration
	// held is the number of slots that requests of the class hold.
	held int
	// lost is how many of the held slots belong to runs whose end will not be
	// reported.
	lost int
}

// lane holds the waiting requests of one team in one class, ordered by start
// deadline.
type lane struct {
	team    *team
	deficit time.Duration
	waiting laneHeap
	// work is the sum of the expected run times of the waiting requests.
	work time.Duration
}

// team is a configured team and the slots it holds in this pool.
type team struct {
	Team
	held int
}

func (t *team) weight() int {
	return max(t.Weight, 1)
}

// atQuota reports whether the team has used up its quota.
func (t *team) atQuota() bool {
	return t.Quota > 0 && t.held >= t.Quota
}

func (c *class) maxRun() time.Duration {
	if c.MaxRun == 0 {
		return _defaultMaxRun
	}
	return c.MaxRun
}

// meanRun returns the mean run time. A relaxed class without a known run time
// is assumed to run long.
func (c *class) meanRun() time.Duration {
	if c.Urgency == Relaxed && c.runTimes.all.n == 0 {
		return _defaultRelaxedRun
	}
	return c.runTimes.overall()
}

func (c *class) push(r *request) {
	l := c.byTeam[r.team]
	if l == nil {
		l = &lane{team: r.team}
		c.byTeam[r.team] = l
	}
	if len(l.waiting) == 0 {
		c.lanes = append(c.lanes, l)
	}
	r.lane = l
	heap.Push(&l.waiting, r)
	heap.Push(&c.waiting, r)
	l.work += r.cost
	c.work += r.cost
}

func (c *class) remove(r *request) {
	l := r.lane
	heap.Remove(&l.waiting, r.laneIndex)
	heap.Remove(&c.waiting, r.classIndex)
	l.work -= r.cost
	c.work -= r.cost
	r.lane = nil
	if len(l.waiting) == 0 {
		c.removeLane(l)
	}
}

// removeLane takes an empty lane out of the round robin.
func (c *class) removeLane(l *lane) {
	i := slices.Index(c.lanes, l)
	c.lanes = slices.Delete(c.lanes, i, i+1)
	if c.nextLane > i {
		c.nextLane--
	}
	delete(c.byTeam, l.team)
}

// pop removes and returns the next request by deficit round robin, or nil if
// every waiting team has used up its quota.
func (c *class) pop() *request {
	quantum := c.quantum()
	for range 2 * len(c.lanes) {
		if c.nextLane >= len(c.lanes) {
			c.nextLane = 0
		}
		l := c.lanes[c.nextLane]
		if l.team.atQuota() {
			c.nextLane++
			continue
		}
		r := l.waiting[0]
		if l.deficit < r.cost {
			l.deficit += quantum * time.Duration(l.team.weight())
		}
		if l.deficit >= r.cost {
			l.deficit -= r.cost
			c.removeHead(l, r)
			return r
		}
		c.nextLane++
	}
	return nil
}

// quantum returns the run time that one turn adds to a lane's deficit per unit
// of the team's weight. It is at least the cost of every lane's first request,
// so that one turn is enough to grant that request. The mean run times alone
// don't ensure this: the cost was estimated on arrival, and the mean run times
// may have fallen since.
func (c *class) quantum() time.Duration {
	d := c.runTimes.longest()
	for _, l := range c.lanes {
		d = max(d, l.waiting[0].cost)
	}
	return d
}

// removeHead removes r, the first request of the lane. If the lane's remaining
// deficit doesn't cover its next request, the turn passes to the next lane.
func (c *class) removeHead(l *lane, r *request) {
	endTurn := len(l.waiting) > 1 && l.deficit < l.waiting[1].cost
	c.remove(r)
	if endTurn {
		c.nextLane++
	}
}

// classHeap orders the waiting requests of a class by start deadline.
type classHeap []*request

// nextExpiry returns when the first request expires, or the zero time if the
// heap is empty.
func (l classHeap) nextExpiry() time.Time {
	if len(l) == 0 {
		return time.Time{}
	}
	return l[0].startBy.Add(time.Nanosecond)
}

func (l classHeap) Len() int           { return len(l) }
func (l classHeap) Less(i, j int) bool { return l[i].startBy.Before(l[j].startBy) }
func (l classHeap) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].classIndex, l[j].classIndex = i, j
}

// Push implements heap.Interface.
func (l *classHeap) Push(x any) {
	r := x.(*request)
	r.classIndex = len(*l)
	*l = append(*l, r)
}

// Pop implements heap.Interface.
func (l *classHeap) Pop() any {
	n := len(*l) - 1
	r := (*l)[n]
	(*l)[n] = nil
	*l = (*l)[:n]
	return r
}

// laneHeap orders the waiting requests of a lane by start deadline.
type laneHeap []*request

func (l laneHeap) Len() int           { return len(l) }
func (l laneHeap) Less(i, j int) bool { return l[i].startBy.Before(l[j].startBy) }
func (l laneHeap) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].laneIndex, l[j].laneIndex = i, j
}

// Push implements heap.Interface.
func (l *laneHeap) Push(x any) {
	r := x.(*request)
	r.laneIndex = len(*l)
	*l = append(*l, r)
}

// Pop implements heap.Interface.
func (l *laneHeap) Pop() any {
	n := len(*l) - 1
	r := (*l)[n]
	(*l)[n] = nil
	*l = (*l)[:n]
	return r
}

// setClasses sets the configured classes and refuses the queued requests of
// removed ones.
func (b *Broker) setClasses(now time.Time, cs []Class) {
	old := b.classes
	b.classes = classes{byName: make(map[string]*class, len(cs))}
	for _, c := range cs {
		k := old.byName[c.Name]
		if k == nil {
			k = &class{byTeam: make(map[*team]*lane)}
		}
		k.Class = c
		b.classes.byName[c.Name] = k
		b.classes.all = append(b.classes.all, k)
	}
	for _, k := range old.all {
		if b.classes.byName[k.Name] != k {
			b.refuseAll(now, k, UnknownClass)
		}
	}
}

// setTeams sets the configured teams. Without any, all requests count as one
// team.
func (b *Broker) setTeams(ts []Team) {
	old := b.teams
	b.teams = make(map[string]*team, len(ts))
	b.anyTeam = len(ts) == 0
	if b.anyTeam {
		ts = []Team{{}}
	}
	for _, t := range ts {
		k := old[t.Name]
		if k == nil {
			k = &team{}
		}
		k.Team = t
		b.teams[t.Name] = k
	}
}

// team returns the team of that name, or nil if its requests aren't accepted.
func (b *Broker) team(name string) *team {
	if b.anyTeam {
		return b.teams[""]
	}
	return b.teams[name]
}
