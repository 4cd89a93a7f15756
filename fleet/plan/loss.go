package plan

import (
	"fmt"
	"time"

	"fescuelanding/fleet"
	"fescuelanding/fleet/record"
)

const (
	// _maintenanceTimeout is how long a host may be off the list for maintenance
	// before it is recorded as lost.
	_maintenanceTimeout = time.Hour
	// _repairTimeout is the same for the repair of a recalled host.
	_repairTimeout = 24 * time.Hour
	// _rebootGrace is how long a host that was taken down may stay on the list before
	// its reboot is assumed to have been too short for the list to show.
	_rebootGrace = 15 * time.Minute
	// _holdDown is how long a lost host must be back on the list before it serves. It
	// doubles with each further loss, up to _maxHoldDown.
	_holdDown    = time.Minute
	_maxHoldDown = 4 * time.Hour
	// _recentLossLags is how long a lost host counts as absent in listCheck, in
	// multiples of the list's lag.
	_recentLossLags = 4
	// _toleratedDivisor sets the share of hosts, one in so many, that may be absent
	// in any data centres without the list being implausible.
	_toleratedDivisor = 10
	// _maxAbsentDivisor sets the largest share of hosts, one in so many, that may be
	// absent even if they are all in one data centre.
	_maxAbsentDivisor = 2
)

// recordLosses records the loss of serving and draining hosts that have been off a
// plausible live list for longer than the list's lag.
func (p *planner) recordLosses() {
	lag := p.policy.LiveListLag()
	stale := p.observed.stale(lag, p.now)
	var missing []*host
	var d listCheck
	// Hosts that are down are expected to be off the list.
	for _, h := range p.hosts {
		recent := h.absence(p.observed.receivedAt) < _recentLossLags*lag
		if h.Duty() != fleet.Down && (h.Duty() != fleet.Failed || recent) {
			d.add(h, h.missing())
		}
		if !h.missing() || h.Duty() != fleet.Serving && h.Duty() != fleet.Draining {
			continue
		}
		switch gone := h.absence(p.observed.receivedAt); {
		case stale:
			h.holdBack(RuleStaleList, "the live list has not changed for long", "a new list")
		case gone < lag:
			h.holdBack(RuleLag, fmt.Sprintf("off the live list for %v, which lags by %v", gone, lag), "its return, or time")
		default:
			missing = append(missing, h)
		}
	}
	if why := d.implausible("lacks"); why != "" {
		for _, h := range missing {
			h.holdBack(RuleManyLost, why, "its return to the list")
		}
		return
	}
	for _, h := range missing {
		p.recordLoss(h)
	}
}

// drainLeaving drains hosts that the platform withdraws, even below the budget,
// because they disappear in any case. If the list marks an implausible number of
// hosts as leaving, they are drained by the same rules as other hosts.
func (p *planner) drainLeaving() {
	var d listCheck
	for _, h := range p.hosts {
		leaving := h.reason.cause == record.Cause_CAUSE_LEAVING
		if h.Duty() != fleet.Down || leaving {
			d.add(h, h.missing() || leaving)
		}
	}
	if d.implausible("takes away") != "" {
		return
	}
	for _, h := range p.hosts {
		if h.reason.cause == record.Cause_CAUSE_LEAVING && h.Available() && !h.hasStep {
			p.drainHost(h)
		}
	}
}

// listCheck counts the hosts that the live list omits or marks as leaving, to judge
// whether the list is plausible. Hosts that were lost a short time ago count too: a
// list that drops hosts gradually is as wrong as one that drops them at once.
type listCheck struct {
	absent      int
	hosts       int
	dataCentres map[int]int
}

// add counts a host.
func (d *listCheck) add(h *host, absent bool) {
	d.hosts++
	if !absent {
		return
	}
	if d.dataCentres == nil {
		d.dataCentres = make(map[int]int)
	}
	d.absent++
	d.dataCentres[h.dataCentre]++
}

// implausible says why the list is implausible, or returns "" if it is plausible.
// A few hosts may be absent from any data centres. One whole data centre may be
// absent as well, as long as no more than half of all hosts are absent.
func (d *listCheck) implausible(what string) string {
	worst := 0
	for _, n := range d.dataCentres {
		worst = max(worst, n)
	}
	few := max(1, d.hosts/_toleratedDivisor)
	if d.absent <= few || d.absent-worst <= few && d.absent*_maxAbsentDivisor <= d.hosts {
		return ""
	}
	return fmt.Sprintf("the live list %s %d of %d hosts in %d data centres, more than one explains", what, d.absent, d.hosts, len(d.dataCentres))
}

// recordLoss proposes to record a host as lost.
func (p *planner) recordLoss(h *host) {
	if p.propose(h, "count as lost", &record.Record{Body: &record.Record_HostFail{HostFail: &record.HostFail{Host: h.Name()}}}) {
		p.markOut(h, false)
	}
}

// returnHosts returns hosts to service: draining hosts without a reason left, hosts
// back from maintenance or repair, and lost hosts that are back.
func (p *planner) returnHosts() {
	for _, h := range p.hosts {
		switch h.Duty() {
		case fleet.Draining:
			if !h.hasReason() && !h.hasStep {
				p.returnToService(h, "return, as nothing is wanted of it any more", &record.HostServe{})
			}
		case fleet.Down:
			p.resolveDown(h)
		case fleet.Failed:
			p.resolveFailed(h)
		case fleet.Serving:
		}
	}
}

// returnToService proposes that a host serves again.
func (p *planner) returnToService(h *host, step string, m *record.HostServe) {
	m.Host = h.Name()
	if p.propose(h, step, &record.Record{Body: &record.Record_HostServe{HostServe: m}}) && h.MovingTo() == "" {
		p.markAvailable(h)
	}
}

// resolveDown returns a host that was taken down, or records it as lost.
func (p *planner) resolveDown(h *host) {
	if p.keptOut(h) {
		return
	}
	switch h.Cause() {
	case record.Cause_CAUSE_RECALL:
		p.resolveRepair(h)
	case record.Cause_CAUSE_MAINTENANCE:
		p.resolveMaintenance(h)
	default:
		p.resolveOther(h)
	}
}

// keptOut reports whether an operator or the platform keeps a host out, and records
// the rule.
func (p *planner) keptOut(h *host) bool {
	switch h.reason.cause {
	case record.Cause_CAUSE_OPERATOR:
		h.holdBack(RuleIntent, "an operator drains it", "the drain's end")
		return true
	case record.Cause_CAUSE_LEAVING:
		h.holdBack(RuleLeaving, "the platform takes it away", "the platform's list")
		return true
	default:
		return false
	}
}

func (p *planner) resolveMaintenance(h *host) {
	switch {
	case h.offWhileDown && h.listedFor(h.holdDown(p.now), p.now), h.listedFor(0, p.now) && p.basisAge(h) >= _rebootGrace:
		p.returnToService(h, "return from maintenance", &record.HostServe{Maintained: true})
	case h.missing() && p.basisAge(h) >= _maintenanceTimeout:
		p.recordLoss(h)
	default:
		h.holdBack(RuleAway, "it is down for maintenance", "its return to the live list")
	}
}

func (p *planner) resolveRepair(h *host) {
	cancelled := h.reason.cause != record.Cause_CAUSE_RECALL
	switch {
	case h.offWhileDown && h.listedFor(h.holdDown(p.now), p.now):
		p.returnToService(h, "return from repair", &record.HostServe{Maintained: true, Repaired: true})
	case h.listedFor(0, p.now) && (cancelled || p.basisAge(h) >= _repairTimeout):
		p.returnToService(h, "return unrepaired", &record.HostServe{})
	case h.missing() && p.basisAge(h) >= _repairTimeout:
		p.recordLoss(h)
	case h.listed:
		h.holdBack(RuleRepair, "it has not left the live list for its repair", "its repair, or the recall's end")
	default:
		h.holdBack(RuleAway, "it is down for repair", "its return to the live list")
	}
}

func (p *planner) resolveOther(h *host) {
	if h.listedFor(h.holdDown(p.now), p.now) {
		p.returnToService(h, "return", &record.HostServe{})
		return
	}
	h.holdBack(RuleAway, "it is off the live list", "its return to the live list")
}

// resolveFailed returns a lost host that has been back for long enough.
func (p *planner) resolveFailed(h *host) {
	if p.keptOut(h) {
		return
	}
	wait := max(h.holdDown(p.now), _holdDown)
	switch {
	case h.listedFor(wait, p.now):
		m := &record.HostServe{Maintained: h.offWhileDown && isWork(h.Cause())}
		m.Repaired = h.offWhileDown && h.Cause() == record.Cause_CAUSE_RECALL
		p.returnToService(h, "return after its loss", m)
	case h.listed:
		h.holdBack(RuleHoldDown, fmt.Sprintf("it was lost %d times and must be back for %v", h.recentLosses(p.now), wait), "time")
	default:
		h.holdBack(RuleAway, "it is lost", "its return to the live list")
	}
}

// isWork reports whether a host is taken out for maintenance or repair.
func isWork(c record.Cause) bool {
	return c == record.Cause_CAUSE_MAINTENANCE || c == record.Cause_CAUSE_RECALL
}

// basisAge returns how long the host has had its current basis, as far as observed.
func (p *planner) basisAge(h *host) time.Duration {
	if h.basisSince.IsZero() {
		return 0
	}
	return p.now.Sub(h.basisSince)
}

// holdDown returns how long the host must be back on the list before it serves.
func (h *host) holdDown(now time.Time) time.Duration {
	n := h.recentLosses(now)
	if n == 0 {
		return 0
	}
	d := _holdDown
	for ; n > 1 && d < _maxHoldDown; n-- {
		d *= 2
	}
	return min(d, _maxHoldDown)
}
