package hostplan

import (
	"maps"
	"slices"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

// TasksStarted reports whether the last Step started a move or an upkeep of which
// the owners of the pools must be informed.
func (p *Planner) TasksStarted() bool { return p.tasksStarted }

// incarnation identifies an incarnation of an upstream.
type incarnation struct {
	upstream    string
	startUnixMs int64
}

// knowledge tells since when an incarnation is certainly known, and when an owner last reported
// it, both by this entry's clock.
type knowledge struct{ since, reportedAt time.Time }

// _knownMemory is how long an incarnation is remembered that no owner reports. A new owner
// reports those again that its predecessor had dropped, and places nothing before they have
// certainly ended.
const _knownMemory = 15 * time.Second

// updateKnown updates what is known of the incarnations that the owners report.
func (p *Planner) updateKnown(now time.Time) {
	if p.known == nil {
		p.known = make(map[incarnation]knowledge)
	}
	for _, s := range p.pools {
		for _, h := range slices.Concat(s.load.GetDoubtful(), s.load.GetHosts()) {
			i := incarnation{h.GetUpstream(), h.GetStartUnixMs()}
			k, ok := p.known[i]
			if !ok {
				k.since = now.Add(-time.Duration(h.GetKnownMs()) * time.Millisecond)
			}
			k.reportedAt = now
			p.known[i] = k
		}
	}
	maps.DeleteFunc(p.known, func(i incarnation, k knowledge) bool {
		// Without a start, the same upstream may be another incarnation by now.
		return i.startUnixMs == 0 && k.reportedAt != now || now.Sub(k.reportedAt) > _knownMemory
	})
}

// findEnded collects the upstreams whose incarnations have certainly ended. An
// incarnation that was known _listLag before the hosts were listed, if not longer, has
// ended if one of these holds:
//
//   - an owner reports the upstream, but its host isn't up, has another upstream, or
//     has none and is in another pool;
//   - an owner reports the upstream, but its host has been missing from several lists
//     in a row.
//
// The confirmation of an order proves nothing, as the platform also confirms one that it
// has carried out before, and then leaves the host as it is. Nor does the absence of a
// host from a single list, as the pages of a list are read at different moments.
//
// An upstream that crashed may start again under its ID. It is replaced if its host is up with
// another upstream, was ordered down or to another pool, as a new upstream joins after that, or
// has been missing from several lists in a row.
//
// An end is collected in each step in which the list proves it, as long as an owner reports
// the incarnation.
//
// Times of other entries play no part, as clocks differ and may be set.
func (p *Planner) findEnded(now time.Time) {
	p.ended = make(map[string][]*link.Gone)
	p.updateKnown(now)
	for _, name := range sortedKeys(p.pools) {
		l := p.pools[name].load
		for _, h := range slices.Concat(l.GetDoubtful(), l.GetHosts()) {
			m, listed := p.byName[h.GetMachine()]
			ended, replaced := provesEnd(m, name, h.GetUpstream())
			if !listed {
				ended = p.confirmedMissing(h.GetMachine())
				replaced = ended
			}
			i := incarnation{h.GetUpstream(), h.GetStartUnixMs()}
			if ended && p.view.ListedAt.Sub(p.known[i].since) >= _listLag {
				p.ended[name] = append(p.ended[name], &link.Gone{
					Upstream: i.upstream, StartUnixMs: i.startUnixMs, Replaced: replaced, Ordered: listed && orderedAway(m, name),
				})
			}
		}
	}
}

// provesEnd reports whether the listed state of a host proves that an upstream of a pool
// has ended, and whether also that it is replaced. A host without an upstream proves the end
// only in another pool: in the same pool, the list may lack an upstream that has just
// started.
func provesEnd(m platform.Machine, pool, upstream string) (ended, replaced bool) {
	switch {
	case m.State == platform.MachineDown:
		return true, m.Pool != pool
	case m.State != platform.MachineUp:
		return true, true
	case m.Upstream == "":
		ended = m.Pool != pool
	default:
		ended = m.Upstream != upstream
	}
	return ended, ended
}

// orderedAway reports whether an order took a host down or to another pool than the one in which it had an upstream.
func orderedAway(m platform.Machine, pool string) bool {
	return m.Pool != pool || m.State == platform.MachineMoving || m.State == platform.MachineUpkeep
}

const (
	// A host counts as removed for good once it has been missing from _missingLists
	// lists in a row and _missingTime has passed since the first of them.
	_missingLists = 4
	_missingTime  = 2 * time.Second
)

// absence counts the lists in a row from which a host is missing. The first was read
// at since, and the latest at last.
type absence struct {
	since time.Time
	last  time.Time
	lists int
}

// confirmedMissing reports whether a host counts as removed for good. It counts the
// lists from which the host is missing, beginning with the first call; Step starts anew
// once the host is listed.
func (p *Planner) confirmedMissing(machine string) bool {
	if _, listed := p.byName[machine]; listed || machine == "" {
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
	return a.lists >= _missingLists && p.view.ListedAt.Sub(a.since) >= _missingTime
}
