package plan

import (
	"slices"
	"strings"

	"fescuelanding/fleet"
	"fescuelanding/fleet/record"
)

// _dueLeadDivisor sets when periodic maintenance becomes due: in the last
// 1/_dueLeadDivisor of the maintenance period.
const _dueLeadDivisor = 8

// drainReason is why a host is to be taken out. The zero value is no reason.
type drainReason struct {
	cause record.Cause
	id    string
	// rank orders the reasons within a pool; the lowest goes first.
	rank int
}

// The ranks of drain reasons, most pressing first. The zero drainReason has the same
// rank as _rankLeaving, but an unspecified cause.
const (
	_rankLeaving = iota
	_rankOperator
	_rankRecall
	_rankWave
	_rankDue
)

// String describes the reason. It returns "" for the zero value.
func (r drainReason) String() string {
	switch r.rank {
	case _rankOperator:
		return "an operator's drain"
	case _rankRecall:
		return "recall " + r.id
	case _rankWave:
		return "wave " + r.id
	case _rankDue:
		return "periodic maintenance"
	}
	if r.cause == record.Cause_CAUSE_LEAVING {
		return "leaving the platform"
	}
	return ""
}

// drainReasonFor returns the most pressing reason to drain a host.
func (p *planner) drainReasonFor(h *host) drainReason {
	if h.listKnown && h.listed && h.leaving {
		return drainReason{cause: record.Cause_CAUSE_LEAVING, rank: _rankLeaving}
	}
	if h.intent.Drain() {
		return drainReason{cause: record.Cause_CAUSE_OPERATOR, rank: _rankOperator}
	}
	if b := h.config.Batch(); b != "" && h.RepairedBatch() != b {
		i := slices.IndexFunc(p.recalls, func(r fleet.Recall) bool { return r.Batch() == b })
		if i >= 0 {
			return drainReason{cause: record.Cause_CAUSE_RECALL, id: p.recalls[i].Name(), rank: _rankRecall}
		}
	}
	return p.maintenanceReasonFor(h)
}

// maintenanceReasonFor returns the reason of a host that needs maintenance for a
// wave or because its maintenance is due.
func (p *planner) maintenanceReasonFor(h *host) drainReason {
	for _, w := range p.waves {
		if h.MaintainedOffset() > w.Offset() {
			continue
		}
		// A wave that names no pools concerns all pools.
		if l := p.wavePools[w.Name()]; len(l) == 0 || slices.Contains(l, h.Pool()) {
			return drainReason{cause: record.Cause_CAUSE_MAINTENANCE, id: w.Name(), rank: _rankWave}
		}
	}
	if p.due(h) {
		return drainReason{cause: record.Cause_CAUSE_MAINTENANCE, rank: _rankDue}
	}
	return drainReason{}
}

// due reports whether the host's periodic maintenance is due.
func (p *planner) due(h *host) bool {
	every := p.policy.MaintenanceEvery()
	return p.now.Sub(h.MaintainedAt()) >= every-every/_dueLeadDivisor
}

// overdue reports whether the host's maintenance period has ended.
func (p *planner) overdue(h *host) bool {
	return p.now.Sub(h.MaintainedAt()) >= p.policy.MaintenanceEvery()
}

// compareHosts orders the hosts of a pool for draining: by reason, then by how many
// hosts their domain already has out, most first, then by domain, by the time of
// their last maintenance, by requests in flight, and by name.
func compareHosts(a, b *host) int {
	if a.reason.rank != b.reason.rank {
		return a.reason.rank - b.reason.rank
	}
	if o := b.pool.out[b.domain()] - a.pool.out[a.domain()]; o != 0 {
		return o
	}
	if a.domain() != b.domain() {
		return a.domain() - b.domain()
	}
	if d := a.MaintainedAt().Compare(b.MaintainedAt()); d != 0 {
		return d
	}
	if a.inFlight != b.inFlight {
		return a.inFlight - b.inFlight
	}
	return strings.Compare(a.Name(), b.Name())
}
