package main

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"fescuelanding/fleet"
)

// statusResult is the fleet as the log and the entries tell.
type statusResult struct {
	Offset       uint64         `json:"offset"`
	ConfigOffset uint64         `json:"configOffset"`
	Planner      string         `json:"planner,omitempty"`
	Pools        []poolItem     `json:"pools"`
	OutOfDuty    []hostItem     `json:"outOfDuty"`
	Recalls      []campaignItem `json:"recalls"`
	Waves        []campaignItem `json:"waves"`
	Entries      []entryItem    `json:"entries"`
}

// poolItem counts the hosts of a pool.
type poolItem struct {
	Pool      string `json:"pool"`
	Total     int    `json:"total"`
	Available int    `json:"available"`
	Budget    int    `json:"budget"`
	Broker    string `json:"broker,omitempty"`
}

// hostItem is a host that doesn't take work, is between pools, or that an
// operator wants something of.
type hostItem struct {
	Host     string   `json:"host"`
	Pool     string   `json:"pool"`
	MovingTo string   `json:"movingTo,omitempty"`
	Duty     string   `json:"duty"`
	Cause    string   `json:"cause,omitempty"`
	Wanted   string   `json:"wanted,omitempty"`
	WaitsFor []string `json:"waitsFor,omitempty"`
}

// campaignItem is the progress of a recall or wave.
type campaignItem struct {
	Name  string `json:"name"`
	Of    string `json:"of"`
	Total int    `json:"total"`
	Out   int    `json:"out"`
	Done  int    `json:"done"`
}

// entryItem is an entry with what the log says of it.
type entryItem struct {
	entryStatus
	Leaving bool `json:"leaving"`
	Suspect bool `json:"suspect"`
}

func status(ctx context.Context, r *run) error {
	limited, cancel := r.limit(ctx)
	defer cancel()
	h, err := r.load(limited)
	if err != nil {
		return err
	}
	s := overview(h.state)
	answers := askAll(limited, h.state.Entries())
	for i, e := range h.state.Entries() {
		s.Entries = append(s.Entries, entryItem{entryStatus: answers[i], Leaving: e.Leaving(), Suspect: e.Suspect()})
	}
	return r.print(s)
}

// overview tells what the log says but for the entries.
func overview(s *fleet.State) statusResult {
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
		if i := describe(s, h); h.Duty() != fleet.Serving || h.MovingTo() != "" || i.Wanted != "" {
			t.OutOfDuty = append(t.OutOfDuty, i)
		}
	}
	for _, c := range s.Recalls() {
		t.Recalls = append(t.Recalls, campaign(c.Name(), c.Batch(), c.Progress()))
	}
	for _, w := range s.Waves() {
		t.Waves = append(t.Waves, campaign(w.Name(), strings.Join(w.Pools(), " "), w.Progress()))
	}
	return t
}

func describe(s *fleet.State, h fleet.Host) hostItem {
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

func campaign(name, of string, p fleet.Progress) campaignItem {
	return campaignItem{Name: name, Of: of, Total: p.Total(), Out: p.Out(), Done: p.Done()}
}

const (
	_tabWidth   = 8
	_tabPadding = 2
)

// String tells the status in tables.
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
