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

// errNotConfigured says that the configuration in force lacks what was named.
var errNotConfigured = errors.New("isn't in the configuration in force")

// errNoPlanner says that no entry explains as the one that plans.
var errNoPlanner = errors.New("no planning entry answers")

// explanationItem says what is wanted of a host and what holds it back.
type explanationItem struct {
	Host  string `json:"host"`
	Pool  string `json:"pool"`
	Duty  string `json:"duty"`
	Want  string `json:"want,omitempty"`
	Step  string `json:"step,omitempty"`
	Rule  string `json:"rule"`
	Why   string `json:"why,omitempty"`
	Frees string `json:"frees,omitempty"`
	// Planner is whether the planning entry said so.
	Planner bool   `json:"planner"`
	Text    string `json:"text"`
}

func newExplanationItem(e plan.Explanation) explanationItem {
	return explanationItem{
		Host: e.Host(), Pool: e.Pool(), Duty: e.Duty().String(), Want: e.Want(), Step: e.Step(),
		Rule: e.Rule().String(), Why: e.Why(), Frees: e.Frees(), Text: e.String(),
	}
}

// String tells the explanation in one line.
func (e explanationItem) String() string { return strings.TrimRight(e.Text, "\n") + "\n" }

// poolExplanation says what a pool can give and what it waits for.
type poolExplanation struct {
	Pool      string            `json:"pool"`
	Available int               `json:"available"`
	Budget    int               `json:"budget"`
	Shortfall int               `json:"shortfall"`
	Waiting   []explanationItem `json:"waiting"`
	text      string
}

// String tells the explanation, a line for the pool and one for each host.
func (e poolExplanation) String() string { return strings.TrimRight(e.text, "\n") + "\n" }

// observe reads the fleet and the live list. What the planner has seen over
// time, such as a host that flaps, isn't known here.
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
	if e, err := fetchPlannerExplanation(ctx, h.state, name); err == nil {
		return r.print(e)
	}
	return r.print(newExplanationItem(plan.Explain(h.state, o, name, r.now)))
}

// askPlanner gets the explanation of the entry that plans, which has observed
// the hosts for longer.
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
