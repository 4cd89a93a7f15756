package hostplan

import (
	"slices"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

// TasksStarted reports whether the last step began something that the owners of the
// pools have to be told.
func (p *Planner) TasksStarted() bool { return p.begun }

// bereave works out which upstreams' lives are surely over: those of hosts that
// were ordered away, and those whose host isn't up or names another, or has been
// missing from many lists in a row. One that is missing from some tells nothing, as
// the pages of a list aren't taken at one moment.
func (p *Planner) bereave() {
	p.gone = make(map[string][]*link.Gone)
	end := func(pool, u string, at time.Time) {
		p.gone[pool] = append(p.gone[pool], &link.Gone{Upstream: u, AtUnixMs: at.UnixMilli()})
	}
	for _, name := range sorted(p.tasks) {
		if t := p.tasks[name]; !t.ordered.IsZero() && (t.wave != 0 || t.to != "") && t.machine.Upstream != "" {
			end(t.machine.Pool, t.machine.Upstream, t.ordered)
		}
	}
	for _, name := range sorted(p.pools) {
		l := p.pools[name].load
		for _, h := range slices.Concat(l.GetDoubtful(), l.GetHosts()) {
			m, there := p.byName[h.GetMachine()]
			if p.missed(h.GetMachine(), there) {
				end(name, h.GetUpstream(), p.view.ListedAt)
			}
			if there && (m.State != platform.MachineUp || m.Upstream != "" && m.Upstream != h.GetUpstream()) {
				end(name, h.GetUpstream(), p.view.ListedAt)
			}
		}
	}
}

const (
	// _missedLists in a row, and for _missedFor, say that a host is gone for good.
	_missedLists = 4
	_missedFor   = 2 * time.Second
)

// absence is how long a host has been missing from the list.
type absence struct {
	since time.Time
	last  time.Time
	lists int
}

// missed counts the lists from which a host is missing, and reports whether it is
// gone for good.
func (p *Planner) missed(machine string, there bool) bool {
	if there || machine == "" {
		delete(p.absent, machine)
		return false
	}
	if p.absent == nil {
		p.absent = make(map[string]absence)
	}
	a := p.absent[machine]
	if a.lists == 0 {
		a.since = p.view.ListedAt
	}
	if !a.last.Equal(p.view.ListedAt) {
		a.lists++
		a.last = p.view.ListedAt
	}
	p.absent[machine] = a
	return a.lists >= _missedLists && p.view.ListedAt.Sub(a.since) >= _missedFor
}
