package plan

import (
	"cmp"
	"slices"
	"time"

	"fescuelanding/fleet"
	"fescuelanding/fleet/config"
	"fescuelanding/fleet/record"
)

// host is a host as the planner sees it, with the decisions made so far.
type host struct {
	fleet.Host
	sighting
	config config.Host
	intent fleet.Intent
	pool   *pool
	rack   int
	centre int
	reason drainReason
	// acted tells that a step of the host is proposed; it has one at a time.
	acted bool
	step  string
	rule  Rule
	why   string
	frees string
}

// domain returns the host's failure domain of the kind that its pool tolerates.
func (h *host) domain() int {
	if h.pool.config.Tolerate() == config.DomainDataCentre {
		return h.centre
	}
	return h.rack
}

// held notes the rule that holds the host back, unless a step is proposed.
func (h *host) held(r Rule, why, frees string) {
	if h.acted {
		return
	}
	h.rule, h.why, h.frees = r, why, frees
}

// explanation returns what was decided about the host.
func (h *host) explanation() Explanation {
	return Explanation{
		host: h.Name(), pool: h.Pool(), duty: h.Duty(), want: h.reason.String(),
		step: h.step, rule: h.rule, why: h.why, frees: h.frees,
	}
}

// missing reports whether the live list lacks the host.
func (h *host) missing() bool { return h.seen && !h.listed }

// wanted reports whether the host has a reason to be drained.
func (h *host) wanted() bool { return h.reason.cause != record.Cause_CAUSE_UNSPECIFIED }

// returns reports whether the host is out by the planner's will, for a time.
func (h *host) returns() bool {
	switch h.Duty() {
	case fleet.Draining, fleet.Down:
		return comesBack(h.Cause())
	case fleet.Serving:
		return h.MovingTo() != ""
	case fleet.Failed:
	}
	return false
}

// comesBack reports whether the planner itself ends what a cause takes out.
func comesBack(c record.Cause) bool {
	return c != record.Cause_CAUSE_OPERATOR && c != record.Cause_CAUSE_LEAVING
}

// usable reports whether the host can be moved to another pool for work there.
func (h *host) usable() bool {
	return !h.acted && h.Available() && !h.missing() && h.intent.ToPool() == "" &&
		h.reason.cause != record.Cause_CAUSE_LEAVING && h.reason.cause != record.Cause_CAUSE_OPERATOR
}

// pool is a pool as the planner sees it, with the steps proposed so far counted.
type pool struct {
	config    config.Pool
	hosts     []*host
	available int
	incoming  int
	// out counts hosts that are out by the planner's will, by failure domain.
	out map[int]int
	// touched has the domains of its hosts.
	touched []int
	// in counts available hosts by rack and by data centre.
	in map[int]int
}

// room returns how many hosts the budget lets go.
func (l *pool) room() int { return l.available - l.config.MinAvailable() }

// short returns how many hosts the pool lacks, those on their way in counted.
func (l *pool) short() int {
	return max(0, l.config.MinAvailable()-l.available-l.incoming)
}

// lacking returns how many hosts the pool would lack if it lost a domain.
func (l *pool) lacking(domain int) int {
	return max(0, l.config.MinAvailable()-l.available+l.in[domain])
}

// planner is one run of Plan.
type planner struct {
	state  *fleet.State
	seen   Observations
	now    time.Time
	policy config.Fleet
	owner  fleet.Owner
	hosts  []*host
	byName map[string]*host
	pools  map[string]*pool
	// order has the pools by name.
	order   []*pool
	waves   []fleet.Wave
	waved   map[string][]string
	recalls []fleet.Recall
	domains domains
	records []*record.Record
}

// newPlanner returns a planner that sees the state as it is.
func newPlanner(s *fleet.State, o Observations, now time.Time) *planner {
	c := s.Config()
	p := &planner{
		state: s, seen: o, now: now, policy: c.Fleet(),
		byName: make(map[string]*host), pools: make(map[string]*pool),
		waves: s.Waves(), recalls: s.Recalls(), domains: domains{ids: make(map[string]int), lean: lean(c.Fleet())},
	}
	for _, l := range c.Pools() {
		v := &pool{config: l, out: make(map[int]int), in: make(map[int]int)}
		p.pools[l.Name()] = v
		p.order = append(p.order, v)
	}
	p.waved = make(map[string][]string, len(p.waves))
	for _, w := range p.waves {
		p.waved[w.Name()] = w.Pools()
	}
	for _, h := range s.Hosts() {
		p.addHost(h, c)
	}
	for _, h := range p.hosts {
		h.reason = p.drainReasonOf(h)
		if to, ok := p.pools[h.MovingTo()]; ok && h.Duty() == fleet.Serving {
			to.incoming++
		}
	}
	p.domains.count(p.order)
	return p
}

// addHost puts a host into its pool's view.
func (p *planner) addHost(h fleet.Host, c config.Config) {
	l, ok := p.pools[h.Pool()]
	v, known := c.Host(h.Name())
	if !ok || !known {
		return
	}
	n := &host{Host: h, sighting: p.seen.of(h.Name()), config: v, intent: p.state.Intent(h.Name()), pool: l}
	n.centre = p.domains.id(v.DataCentre(), config.DomainDataCentre)
	n.rack = p.domains.id(v.DataCentre()+"/"+v.Rack(), config.DomainRack)
	p.hosts = append(p.hosts, n)
	p.byName[h.Name()] = n
	l.hosts = append(l.hosts, n)
	switch {
	case h.Available():
		l.lose(n, -1)
	case n.returns():
		l.out[n.domain()]++
	}
}

// markOut counts a host as out of its pool's available ones; returns tells that
// it is by the planner's will.
func (p *planner) markOut(h *host, returns bool) {
	if h.Available() {
		p.domains.change(h.pool, func() { h.pool.lose(h, 1) })
	}
	if returns {
		h.pool.out[h.domain()]++
	}
}

// markAvailable counts a host as available again in its pool.
func (p *planner) markAvailable(h *host) {
	p.domains.change(h.pool, func() { h.pool.lose(h, -1) })
	if h.returns() {
		h.pool.out[h.domain()]--
	}
}

// work returns how many available hosts of the pool have a reason to be drained.
func (l *pool) work() int {
	n := 0
	for _, h := range l.hosts {
		if h.wanted() && h.Available() && !h.acted {
			n++
		}
	}
	return n
}

// outNow returns how many hosts of the pool are out and will return.
func (l *pool) outNow() int {
	n := 0
	for _, o := range l.out {
		n += o
	}
	return n
}

// byUrgency returns the pools with work, in the order of how long it will take:
// the most hosts to take out for each one that the budget lets go comes first.
func (p *planner) byUrgency() []*pool {
	ratio := make(map[*pool]float64)
	var r []*pool
	for _, l := range p.order {
		if n := l.work(); n > 0 {
			ratio[l] = float64(n) / float64(max(l.room(), 0)+1)
			r = append(r, l)
		}
	}
	slices.SortStableFunc(r, func(a, b *pool) int { return cmp.Compare(ratio[b], ratio[a]) })
	return r
}
