package hostplan

import (
	"slices"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

// Begun reports whether the last step began something that the owners of the
// pools have to be told.
func (p *Planner) Begun() bool { return p.begun }

// bereave works out which upstreams' lives are surely over: those of hosts that
// were ordered away, and those whose host isn't up or names another. A host that
// isn't in the list tells nothing, as its pages aren't taken at one moment.
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
			if there && (m.State != platform.MachineUp || m.Upstream != "" && m.Upstream != h.GetUpstream()) {
				end(name, h.GetUpstream(), p.view.ListedAt)
			}
		}
	}
}
