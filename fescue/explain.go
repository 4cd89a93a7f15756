package main

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strings"

	"fescuelanding/fleet"
	"fescuelanding/fleet/plan"
)

// errNotConfigured means that the configuration in force lacks the named host or
// pool.
var errNotConfigured = errors.New("isn't in the configuration in force")

// errNoPlanner means that no entry returned an explanation as the planner.
var errNoPlanner = errors.New("no planning entry returned an explanation")

// explanationItem describes the intended step of a host and the rule that blocks
// it.
type explanationItem struct {
	Host string `json:"host"`
	Pool string `json:"pool"`
	Duty string `json:"duty"`
	// Want is the reason to take the host out of service, if any.
	Want string `json:"want,omitempty"`
	// Step is the step that the plan proposes now, if any.
	Step string `json:"step,omitempty"`
	// Rule is the rule that blocks the host. Why describes how the rule applies to
	// it, and Frees what would unblock it.
	Rule  string `json:"rule"`
	Why   string `json:"why,omitempty"`
	Frees string `json:"frees,omitempty"`
	// Planner reports whether the explanation comes from the planning entry.
	Planner bool   `json:"planner"`
	Text    string `json:"text"`
}

func newExplanationItem(e plan.Explanation) explanationItem {
	return explanationItem{
		Host: e.Host(), Pool: e.Pool(), Duty: e.Duty().String(), Want: e.Want(), Step: e.Step(),
		Rule: e.Rule().String(), Why: e.Why(), Frees: e.Frees(), Text: e.String(),
	}
}

// String returns the explanation in one line.
func (e explanationItem) String() string { return strings.TrimRight(e.Text, "\n") + "\n" }

// poolExplanation describes the hosts that a pool can spare and the hosts that wait
// for a step.
type poolExplanation struct {
	Pool      string            `json:"pool"`
	Available int               `json:"available"`
	Budget    int               `json:"budget"`
	Shortfall int               `json:"shortfall"`
	Waiting   []explanationItem `json:"waiting"`
	text      string
}

// String returns the explanation in one line for the pool and one line per waiting
// host.
func (e poolExplanation) String() string { return strings.TrimRight(e.text, "\n") + "\n" }

// observe reads the fleet and the live list once. The observations lack what the
// planner records over time, such as hosts that flap.
func (r *run) observe(ctx context.Context) (*history, plan.Observations, error) {
	var o plan.Observations
	ctx, cancel := r.withTimeout(ctx)
	defer cancel()
	h, err := r.load(ctx)
	if err != nil {
		return nil, o, err
	}
	live, err := h.client.Live(ctx)
	if err != nil {
		return nil, o, fmt.Errorf("read live list: %w", err)
	}
	o.UpdateState(h.state, r.now)
	o.UpdateList(live, r.now)
	return h, o, nil
}

func explainHost(ctx context.Context, r *run) error {
	h, o, err := r.observe(ctx)
	if err != nil {
		return err
	}
	name := r.args[0]
	if _, ok := h.state.Host(name); !ok {
		return fmt.Errorf("host %q %w", name, errNotConfigured)
	}
	// If the planner's explanation can't be fetched, one is computed from the log and
	// the live list.
	if e, err := fetchPlannerExplanation(ctx, h.state, name); err == nil {
		return r.print(e)
	}
	return r.print(newExplanationItem(plan.Explain(h.state, o, name, r.now)))
}

// fetchPlannerExplanation requests the explanation from the planning entry, whose
// observations of the hosts span a longer time.
func fetchPlannerExplanation(ctx context.Context, s *fleet.State, host string) (explanationItem, error) {
	var e explanationItem
	o, _ := s.Owner(fleet.PlannerKey)
	p, ok := s.Entry(o.Entry())
	if !ok {
		return e, errNoPlanner
	}
	err := get(ctx, "http://"+p.AdminAddress()+"/explain?"+url.Values{"host": {host}}.Encode(), &e)
	if err == nil && (e.Host != host || e.Text == "" || !e.Planner) {
		err = errNoPlanner
	}
	return e, err
}

func explainPool(ctx context.Context, r *run) error {
	h, o, err := r.observe(ctx)
	if err != nil {
		return err
	}
	if _, ok := h.state.Pool(r.args[0]); !ok {
		return fmt.Errorf("pool %q %w", r.args[0], errNotConfigured)
	}
	e := plan.ExplainPool(h.state, o, r.args[0], r.now)
	p := poolExplanation{
		Pool: e.Pool(), Available: e.Available(), Budget: e.Budget(), Shortfall: e.Shortfall(),
		Waiting: []explanationItem{}, text: e.String(),
	}
	for _, w := range e.Waiting() {
		p.Waiting = append(p.Waiting, newExplanationItem(w))
	}
	return r.print(p)
}
