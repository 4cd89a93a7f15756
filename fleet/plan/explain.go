package plan

import (
	"fmt"
	"strings"
	"time"

	"fescuelanding/fleet"
)

// Rule is what holds a host back.
type Rule int

// The rules.
const (
	// RuleNone means that nothing is wanted of the host, or that nothing holds
	// it back.
	RuleNone Rule = iota
	// RuleNoPlanner means that no entry is eligible to plan.
	RuleNoPlanner
	// RuleBudget means that the pool has no host to spare.
	RuleBudget
	// RuleDomain means that the pool has hosts of another failure domain out,
	// and the reserve doesn't make good the loss of a further one.
	RuleDomain
	// RuleReserve means that the step would leave the reserve too small.
	RuleReserve
	// RuleNoSpare means that no host can be moved into the pool.
	RuleNoSpare
	// RuleConfirm means that entries have not confirmed the step yet.
	RuleConfirm
	// RuleAway means that the host isn't back from its reboot or repair.
	RuleAway
	// RuleRepair means that the host hasn't gone for its repair.
	RuleRepair
	// RuleHoldDown means that the host was lost and has not been back for long
	// enough.
	RuleHoldDown
	// RuleIntent means that an operator keeps the host out of duty.
	RuleIntent
	// RuleLeaving means that the platform takes the host away.
	RuleLeaving
	// RuleLag means that the host is off the live list, but not for longer than
	// the list lags.
	RuleLag
	// RuleStaleList means that the live list is too old to be believed.
	RuleStaleList
	// RuleManyLost means that the list lacks more hosts than the loss of one
	// data centre explains, and isn't believed.
	RuleManyLost
	// RuleLimit means that a single plan holds no more steps.
	RuleLimit
)

var _ruleNames = [...]string{
	RuleNone: "none", RuleNoPlanner: "noPlanner", RuleBudget: "budget", RuleDomain: "domain",
	RuleReserve: "reserve", RuleNoSpare: "noSpare", RuleConfirm: "confirm", RuleAway: "away",
	RuleRepair: "repair", RuleHoldDown: "holdDown", RuleIntent: "intent", RuleLeaving: "leaving",
	RuleLag: "lag", RuleStaleList: "staleList", RuleManyLost: "manyLost", RuleLimit: "limit",
}

// String returns the rule's name in camel case.
func (r Rule) String() string {
	if r < 0 || int(r) >= len(_ruleNames) {
		return fmt.Sprintf("rule(%d)", int(r))
	}
	return _ruleNames[r]
}

// Explanation says what is wanted of a host and why it doesn't happen yet.
type Explanation struct {
	host  string
	pool  string
	duty  fleet.Duty
	want  string
	step  string
	rule  Rule
	why   string
	frees string
}

// Host returns the host's name.
func (e Explanation) Host() string { return e.host }

// Pool returns the host's pool.
func (e Explanation) Pool() string { return e.pool }

// Duty returns whether the host takes work.
func (e Explanation) Duty() fleet.Duty { return e.duty }

// Want says what the host is to be taken out for, or "".
func (e Explanation) Want() string { return e.want }

// Step returns the step proposed now, or "".
func (e Explanation) Step() string { return e.step }

// Rule returns the rule that holds the host back.
func (e Explanation) Rule() Rule { return e.rule }

// Why says how the rule applies.
func (e Explanation) Why() string { return e.why }

// Frees says what would free the host.
func (e Explanation) Frees() string { return e.frees }

// String tells the explanation in one line.
func (e Explanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "host %s is %s in pool %s", e.host, e.duty, e.pool)
	if e.want != "" {
		fmt.Fprintf(&b, ", wanted for %s", e.want)
	}
	switch {
	case e.step != "":
		fmt.Fprintf(&b, "; next: %s", e.step)
	case e.rule != RuleNone:
		fmt.Fprintf(&b, "; held by %s: %s; freed by %s", e.rule, e.why, e.frees)
	}
	return b.String()
}

// Explain tells what Plan decides about a host and which rule holds it back.
// The explanation of a host that the state lacks is empty.
func Explain(s *fleet.State, o Observations, host string, now time.Time) Explanation {
	p := newPlanner(s, o, now)
	h, ok := p.byName[host]
	if !ok {
		return Explanation{}
	}
	p.run()
	return h.explanation()
}

// PoolExplanation says what a pool can give and what it waits for.
type PoolExplanation struct {
	pool      string
	total     int
	available int
	budget    int
	shortfall int
	waiting   []Explanation
}

// ExplainPool tells what Plan decides about the hosts of a pool, in the order
// in which they are to be taken out. It is empty for an unknown pool.
func ExplainPool(s *fleet.State, o Observations, pool string, now time.Time) PoolExplanation {
	p := newPlanner(s, o, now)
	l, ok := p.pools[pool]
	if !ok {
		return PoolExplanation{}
	}
	n, _ := s.Pool(pool)
	e := PoolExplanation{pool: pool, total: n.Total(), available: n.Available(), budget: n.Budget(), shortfall: p.worstShortfall(l)}
	p.run()
	for _, h := range l.hosts {
		if x := h.explanation(); x.want != "" || x.step != "" || x.rule != RuleNone {
			e.waiting = append(e.waiting, x)
		}
	}
	return e
}

// Pool returns the pool's name.
func (e PoolExplanation) Pool() string { return e.pool }

// Available returns how many hosts count for the budget.
func (e PoolExplanation) Available() int { return e.available }

// Budget returns how many hosts voluntary steps must leave available.
func (e PoolExplanation) Budget() int { return e.budget }

// Shortfall returns how many hosts the pool would lack after the loss of the
// worst failure domain that it tolerates.
func (e PoolExplanation) Shortfall() int { return e.shortfall }

// Waiting returns the hosts of which something is wanted.
func (e PoolExplanation) Waiting() []Explanation { return e.waiting }

// String tells the explanation, a line for the pool and one for each host.
func (e PoolExplanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "pool %s has %d hosts, %d available of at least %d; the loss of its worst domain would leave it short of %d", e.pool, e.total, e.available, e.budget, e.shortfall)
	for _, h := range e.waiting {
		fmt.Fprintf(&b, "\n  %s", h)
	}
	return b.String()
}
