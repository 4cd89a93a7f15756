package plan

import (
	"fmt"
	"strings"
	"time"

	"fescuelanding/fleet"
)

// Rule is a reason why the planner doesn't propose a step for a host.
type Rule int

// The rules.
const (
	// RuleNone means that the host needs no step, or that nothing holds it back.
	RuleNone Rule = iota
	// RuleNoPlanner means that no entry is eligible to plan.
	RuleNoPlanner
	// RuleBudget means that the pool has no headroom above its budget.
	RuleBudget
	// RuleDomain means that the pool has hosts of another failure domain out, and
	// the reserve doesn't cover the loss of one more.
	RuleDomain
	// RuleReserve means that other pools have hosts out and the reserve wouldn't cover
	// the loss of a failure domain after the step, or that too few spares would be
	// left.
	RuleReserve
	// RuleNoSpare means that the pool has no headroom and no host can be moved in.
	RuleNoSpare
	// RuleConfirm means that some entries have not confirmed the step yet.
	RuleConfirm
	// RuleAway means that the host isn't back from its reboot, repair or loss.
	RuleAway
	// RuleRepair means that the host is down for repair and still on the live list.
	RuleRepair
	// RuleHoldDown means that the host was lost and has not been back on the live
	// list for long enough.
	RuleHoldDown
	// RuleIntent means that an operator keeps the host out of service.
	RuleIntent
	// RuleLeaving means that the platform withdraws the host.
	RuleLeaving
	// RuleLag means that the host is off the live list, but not for longer than the
	// list's lag.
	RuleLag
	// RuleStaleList means that the live list is too old to show a loss.
	RuleStaleList
	// RuleManyLost means that the live list omits more hosts than the loss of one
	// data centre explains, and no loss is recorded from it.
	RuleManyLost
	// RuleLimit means that the plan has reached its maximum number of records.
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

// Explanation says why a host is to be taken out, and which step is next or which
// rule holds the host back.
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

// Duty returns the host's duty.
func (e Explanation) Duty() fleet.Duty { return e.duty }

// Want returns the reason to take the host out, or "".
func (e Explanation) Want() string { return e.want }

// Step returns the step proposed now, or "".
func (e Explanation) Step() string { return e.step }

// Rule returns the rule that holds the host back.
func (e Explanation) Rule() Rule { return e.rule }

// Why returns how the rule applies to the host.
func (e Explanation) Why() string { return e.why }

// Frees returns what would release the host from the rule.
func (e Explanation) Frees() string { return e.frees }

// String returns the explanation as one line.
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

// Explain returns what Plan decides about a host and which rule holds it back. The
// explanation of an unknown host is empty.
func Explain(s *fleet.State, o Observations, host string, now time.Time) Explanation {
	p := newPlanner(s, o, now)
	h, ok := p.byName[host]
	if !ok {
		return Explanation{}
	}
	p.run()
	return h.explanation()
}

// PoolExplanation says how many hosts of a pool are available and which of its
// hosts wait for a step or have one proposed.
type PoolExplanation struct {
	pool      string
	total     int
	available int
	budget    int
	shortfall int
	waiting   []Explanation
}

// ExplainPool returns what Plan decides about the hosts of a pool. It is empty for
// an unknown pool.
func ExplainPool(s *fleet.State, o Observations, pool string, now time.Time) PoolExplanation {
	p := newPlanner(s, o, now)
	l, ok := p.pools[pool]
	if !ok {
		return PoolExplanation{}
	}
	n, _ := s.Pool(pool)
	e := PoolExplanation{pool: pool, total: n.Total(), available: n.Available(), budget: n.Budget(), shortfall: p.shortfallAfterWorstLoss(l)}
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

// Available returns how many hosts count towards the budget.
func (e PoolExplanation) Available() int { return e.available }

// Budget returns how many hosts voluntary steps must leave available.
func (e PoolExplanation) Budget() int { return e.budget }

// Shortfall returns how many hosts the pool would lack for its budget after the
// loss of the worst failure domain that it tolerates.
func (e PoolExplanation) Shortfall() int { return e.shortfall }

// Waiting returns the hosts that have a reason to be drained, a proposed step, or a
// rule that holds them back.
func (e PoolExplanation) Waiting() []Explanation { return e.waiting }

// String returns one line for the pool and one for each waiting host.
func (e PoolExplanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "pool %s has %d hosts, %d available of at least %d; the loss of its worst domain would leave it short of %d", e.pool, e.total, e.available, e.budget, e.shortfall)
	for _, h := range e.waiting {
		fmt.Fprintf(&b, "\n  %s", h)
	}
	return b.String()
}
