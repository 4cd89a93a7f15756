package plan

import (
	"cmp"
	"slices"
	"time"

	"fescuelanding/fleet"
	"fescuelanding/fleet/config"
	"fescuelanding/fleet/record"
)

// host is a host with its observations and the decisions made so far. The methods of
// fleet.Host return the fleet's state, such as Duty; the fields of hostObservation are
// what the entry has observed.
type host struct {
	fleet.Host
	hostObservation
	config     config.Host
	intent     fleet.Intent
	pool       *pool
	rack       int
	dataCentre int
	reason     drainReason
	// hasStep is true once a step is proposed for the host. A host has at most one
	// step in a plan.
	hasStep bool
	step    string
	// rule is the rule that prevents a step for the host, why explains how it applies,
	// and frees says what would make the step possible.
	rule  Rule
	why   string
	frees string
}

// domain returns the id of the host's failure domain, of the kind that its pool
// tolerates.
func (h *host) domain() int {
	if h.pool.config.Tolerate() == config.DomainDataCentre {
		return h.dataCentre
	}
	return h.rack
}

// holdBack records the rule that holds the host back, unless a step is already proposed
// for it.
func (h *host) holdBack(r Rule, why, frees string) {
	if h.hasStep {
		return
	}
	h.rule, h.why, h.frees = r, why, frees
}

// explanation returns the decisions made about the host.
func (h *host) explanation() Explanation {
	return Explanation{
		host: h.Name(), pool: h.Pool(), duty: h.Duty(), want: h.reason.String(),
		step: h.step, rule: h.rule, why: h.why, frees: h.frees,
	}
}

// missing reports whether the host is absent from the live list.
func (h *host) missing() bool { return h.listKnown && !h.listed }

// hasReason reports whether the host has a reason to be drained.
func (h *host) hasReason() bool { return h.reason.cause != record.Cause_CAUSE_UNSPECIFIED }

// willReturn reports whether the planner took the host out and will return it.
func (h *host) willReturn() bool {
	switch h.Duty() {
	case fleet.Draining, fleet.Down:
		return isTemporary(h.Cause())
	case fleet.Serving:
		return h.MovingTo() != ""
	case fleet.Failed:
	}
	return false
}

// isTemporary reports whether the planner itself ends a drain of this cause.
func isTemporary(c record.Cause) bool {
	return c != record.Cause_CAUSE_OPERATOR && c != record.Cause_CAUSE_LEAVING
}

// movable reports whether the host can be moved to another pool to serve there.
func (h *host) movable() bool {
	return !h.hasStep && h.Available() && !h.missing() && h.intent.ToPool() == "" &&
		h.reason.cause != record.Cause_CAUSE_LEAVING && h.reason.cause != record.Cause_CAUSE_OPERATOR
}

// pool is a pool with the effect of the steps proposed so far.
type pool struct {
	config    config.Pool
	hosts     []*host
	available int
	// incoming counts the hosts that are moving into the pool.
	incoming int
	// out counts the hosts that the planner took out and will return, by failure
	// domain.
	out map[int]int
	// domains has the ids of the domains in which the pool has hosts.
	domains []int
	// availableIn counts available hosts by rack and by data centre.
	availableIn map[int]int
}

// headroom returns how many hosts can be taken out within the budget.
func (l *pool) headroom() int { return l.available - l.config.MinAvailable() }

// shortfall returns how many hosts the pool lacks for its budget, after the hosts
// that are moving in have arrived.
func (l *pool) shortfall() int {
	return max(0, l.config.MinAvailable()-l.available-l.incoming)
}

// shortfallAfterLoss returns how many hosts the pool would lack for its budget if
// it lost a domain.
func (l *pool) shortfallAfterLoss(domain int) int {
	return max(0, l.config.MinAvailable()-l.available+l.availableIn[domain])
}

// planner holds the data of one run of Plan.
type planner struct {
	state    *fleet.State
	observed Observations
	now      time.Time
	policy   config.Fleet
	owner    fleet.Owner
	hosts    []*host
	byName   map[string]*host
	pools    map[string]*pool
	// order has the pools, sorted by name.
	order     []*pool
	waves     []fleet.Wave
	wavePools map[string][]string
	recalls   []fleet.Recall
	// domains has the failure domains, and the totals of spares and headroom that
	// determine how many spares the loss of a domain requires.
	domains domains
	records []*record.Record
}

// newPlanner returns a planner for the current state, with no steps proposed.
func newPlanner(s *fleet.State, o Observations, now time.Time) *planner {
	c := s.Config()
	p := &planner{
		state: s, observed: o, now: now, policy: c.Fleet(),
		byName: make(map[string]*host), pools: make(map[string]*pool),
		waves: s.Waves(), recalls: s.Recalls(), domains: domains{ids: make(map[string]int), moveCheaperThanSpare: moveCheaperThanSpare(c.Fleet())},
	}
	for _, l := range c.Pools() {
		v := &pool{config: l, out: make(map[int]int), availableIn: make(map[int]int)}
		p.pools[l.Name()] = v
		p.order = append(p.order, v)
	}
	p.wavePools = make(map[string][]string, len(p.waves))
	for _, w := range p.waves {
		p.wavePools[w.Name()] = w.Pools()
	}
	for _, h := range s.Hosts() {
		p.addHost(h, c)
	}
	for _, h := range p.hosts {
		h.reason = p.drainReasonFor(h)
		if to, ok := p.pools[h.MovingTo()]; ok && h.Duty() == fleet.Serving {
			to.incoming++
		}
	}
	p.domains.addPools(p.order)
	return p
}

// addHost adds a host to its pool.
func (p *planner) addHost(h fleet.Host, c config.Config) {
	l, ok := p.pools[h.Pool()]
	v, known := c.Host(h.Name())
	if !ok || !known {
		return
	}
	n := &host{Host: h, hostObservation: p.observed.snapshot(h.Name()), config: v, intent: p.state.Intent(h.Name()), pool: l}
	n.dataCentre = p.domains.id(v.DataCentre(), config.DomainDataCentre)
	n.rack = p.domains.id(v.DataCentre()+"/"+v.Rack(), config.DomainRack)
	p.hosts = append(p.hosts, n)
	p.byName[h.Name()] = n
	l.hosts = append(l.hosts, n)
	switch {
	case h.Available():
		// Subtracting -1 adds the host.
		l.subtractAvailable(n, -1)
	case n.willReturn():
		l.out[n.domain()]++
	}
}

// markOut removes a host from the available hosts of its pool. willReturn is true
// if the planner will return the host.
func (p *planner) markOut(h *host, willReturn bool) {
	if h.Available() {
		p.domains.update(h.pool, func() { h.pool.subtractAvailable(h, 1) })
	}
	if willReturn {
		h.pool.out[h.domain()]++
	}
}

// markAvailable adds a host to the available hosts of its pool again.
func (p *planner) markAvailable(h *host) {
	// Subtracting -1 adds the host.
	p.domains.update(h.pool, func() { h.pool.subtractAvailable(h, -1) })
	if h.willReturn() {
		h.pool.out[h.domain()]--
	}
}

// pendingDrains returns how many available hosts of the pool have a reason to be
// drained.
func (l *pool) pendingDrains() int {
	n := 0
	for _, h := range l.hosts {
		if h.hasReason() && h.Available() && !h.hasStep {
			n++
		}
	}
	return n
}

// outCount returns how many hosts of the pool are out and will return.
func (l *pool) outCount() int {
	n := 0
	for _, o := range l.out {
		n += o
	}
	return n
}

// byUrgency returns the pools with hosts to drain, first the one whose work is expected
// to take longest. The expected time is the number of hosts to drain divided by one
// more than the pool's headroom.
func (p *planner) byUrgency() []*pool {
	ratio := make(map[*pool]float64)
	var r []*pool
	for _, l := range p.order {
		if n := l.pendingDrains(); n > 0 {
			ratio[l] = float64(n) / float64(max(l.headroom(), 0)+1)
			r = append(r, l)
		}
	}
	slices.SortStableFunc(r, func(a, b *pool) int { return cmp.Compare(ratio[b], ratio[a]) })
	return r
}
