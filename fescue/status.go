package main

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"fescuelanding/fleet"
)

// statusResult is the state of the fleet according to the log and the entries.
type statusResult struct {
	Offset       uint64 `json:"offset"`
	ConfigOffset uint64 `json:"configOffset"`
	// Planner is the name of the entry that plans the steps of hosts, such as drains
	// and moves, or "" if no entry does.
	Planner   string         `json:"planner,omitempty"`
	Pools     []poolItem     `json:"pools"`
	OutOfDuty []hostItem     `json:"outOfDuty"`
	Recalls   []campaignItem `json:"recalls"`
	Waves     []campaignItem `json:"waves"`
	Entries   []entryItem    `json:"entries"`
}

// poolItem holds the host counts and the budget of a pool. The budget is the number
// of hosts that must stay available during maintenance and moves.
type poolItem struct {
	Pool      string `json:"pool"`
	Total     int    `json:"total"`
	Available int    `json:"available"`
	Budget    int    `json:"budget"`
	// Broker is the name of the entry that schedules the pool's requests and jobs, or
	// "" if no entry does.
	Broker string `json:"broker,omitempty"`
}

// hostItem is a host that isn't serving, is moving between pools, or has a drain or
// a move requested by an operator.
type hostItem struct {
	Host     string `json:"host"`
	Pool     string `json:"pool"`
	MovingTo string `json:"movingTo,omitempty"`
	Duty     string `json:"duty"`
	// Cause is the wave or recall for which the host isn't serving, if any.
	Cause string `json:"cause,omitempty"`
	// Wanted is the drain or move that an operator requested, if any.
	Wanted string `json:"wanted,omitempty"`
	// WaitsFor lists the entries that haven't yet confirmed the host's current step,
	// which is a drain, a move or a failure.
	WaitsFor []string `json:"waitsFor,omitempty"`
}

// campaignItem is the progress of a recall or a wave.
type campaignItem struct {
	Name string `json:"name"`
	// Of is the batch of a recall, or the pools of a wave.
	Of string `json:"of"`
	// Total is the number of hosts concerned. Out is the number of hosts that are out
	// of duty now because of the recall or wave, and Done the number of finished hosts.
	Total int `json:"total"`
	Out   int `json:"out"`
	Done  int `json:"done"`
}

// entryItem is the status that an entry reports, with its state according to the
// log.
type entryItem struct {
	entryStatus
	// Leaving reports whether the entry's graceful shutdown has begun.
	Leaving bool `json:"leaving"`
	// Suspect reports whether the entry is suspected of having failed.
	Suspect bool `json:"suspect"`
}

func status(ctx context.Context, r *run) error {
	limited, cancel := r.withTimeout(ctx)
	defer cancel()
	h, err := r.load(limited)
	if err != nil {
		return err
	}
	s := newStatusResult(h.state)
	answers := fetchStatuses(limited, h.state.Entries())
	for i, e := range h.state.Entries() {
		s.Entries = append(s.Entries, entryItem{entryStatus: answers[i], Leaving: e.Leaving(), Suspect: e.Suspect()})
	}
	return r.print(s)
}

// newStatusResult returns the part of the status that comes from the log. The
// caller adds the entries.
func newStatusResult(s *fleet.State) statusResult {
	t := statusResult{
		Offset: s.Offset(), ConfigOffset: s.ConfigOffset(), Pools: []poolItem{}, OutOfDuty: []hostItem{},
		Recalls: []campaignItem{}, Waves: []campaignItem{}, Entries: []entryItem{},
	}
	if o, ok := s.Owner(fleet.PlannerKey); ok {
		t.Planner = o.Entry()
	}
	for _, p := range s.Config().Pools() {
		c, _ := s.Pool(p.Name())
		i := poolItem{Pool: p.Name(), Total: c.Total(), Available: c.Available(), Budget: c.Budget()}
		if o, ok := s.Owner(fleet.PoolKey(p.Name())); ok {
			i.Broker = o.Entry()
		}
		t.Pools = append(t.Pools, i)
	}
	for _, h := range s.Hosts() {
		if i := newHostItem(s, h); h.Duty() != fleet.Serving || h.MovingTo() != "" || i.Wanted != "" {
			t.OutOfDuty = append(t.OutOfDuty, i)
		}
	}
	for _, c := range s.Recalls() {
		t.Recalls = append(t.Recalls, newCampaignItem(c.Name(), c.Batch(), c.Progress()))
	}
	for _, w := range s.Waves() {
		t.Waves = append(t.Waves, newCampaignItem(w.Name(), strings.Join(w.Pools(), " "), w.Progress()))
	}
	return t
}

func newHostItem(s *fleet.State, h fleet.Host) hostItem {
	i := hostItem{
		Host: h.Name(), Pool: h.Pool(), MovingTo: h.MovingTo(), Duty: h.Duty().String(),
		WaitsFor: s.UnconfirmedEntries(h.Name()),
	}
	if h.Duty() != fleet.Serving {
		i.Cause = h.CauseID()
	}
	switch w := s.Intent(h.Name()); {
	case w.Drain():
		i.Wanted = "drained"
	case w.ToPool() != "":
		i.Wanted = "in " + w.ToPool()
	}
	return i
}

func newCampaignItem(name, of string, p fleet.Progress) campaignItem {
	return campaignItem{Name: name, Of: of, Total: p.Total(), Out: p.Out(), Done: p.Done()}
}

const (
	_tabWidth   = 8
	_tabPadding = 2
)

// String formats the status as tables.
func (s statusResult) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Log applied to offset %d, configuration of offset %d, planner %s.\n",
		s.Offset, s.ConfigOffset, orDash(s.Planner))
	w := tabwriter.NewWriter(&b, 0, _tabWidth, _tabPadding, ' ', 0)
	row(w, "\nPOOL", "HOSTS", "AVAILABLE", "BUDGET", "BROKER")
	for _, p := range s.Pools {
		row(w, p.Pool, p.Total, p.Available, p.Budget, orDash(p.Broker))
	}
	if len(s.OutOfDuty) > 0 {
		row(w, "\nHOST", "POOL", "MOVING TO", "DUTY", "CAUSE", "WANTED", "WAITS FOR")
	}
	for _, h := range s.OutOfDuty {
		row(w, h.Host, h.Pool, orDash(h.MovingTo), h.Duty, orDash(h.Cause), orDash(h.Wanted),
			orDash(strings.Join(h.WaitsFor, " ")))
	}
	campaignRows(w, "\nRECALL", "BATCH", s.Recalls)
	campaignRows(w, "\nWAVE", "POOLS", s.Waves)
	row(w, "\nENTRY", "STATE", "APPLIED", "PROBLEM")
	for _, e := range s.Entries {
		row(w, e.Entry, e.state(), e.AppliedOffset, orDash(e.Problem))
	}
	_ = w.Flush()
	return b.String()
}

func campaignRows(w *tabwriter.Writer, name, of string, all []campaignItem) {
	if len(all) > 0 {
		row(w, name, of, "HOSTS", "OUT", "DONE")
	}
	for _, c := range all {
		row(w, c.Name, orDash(c.Of), c.Total, c.Out, c.Done)
	}
}

func (e entryItem) state() string {
	switch {
	case e.Leaving:
		return "leaving"
	case e.Suspect:
		return "suspect"
	case e.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func row(w *tabwriter.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, c)
	}
	fmt.Fprintln(w)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
