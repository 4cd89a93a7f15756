package plan

import (
	"fmt"
	"time"

	"fescuelanding/fleet"
	"fescuelanding/fleet/record"
)

const (
	// _maintenanceTimeout limits how long a host may be down for maintenance. After
	// it, a host that is missing from the platform's live list is recorded as lost.
	_maintenanceTimeout = time.Hour
	// _repairTimeout limits how long a host may be down for the repair of a recalled
	// part. After it, a missing host is recorded as lost, and a host that is on the
	// live list returns without the repair.
	_repairTimeout = 24 * time.Hour
	// _rebootGrace is how long a host that was taken down for maintenance may stay on
	// the live list. After that its reboot counts as done, because it may have been
	// too short to show on the list.
	_rebootGrace = 15 * time.Minute
	// _holdDown is how long a lost host must be back on the live list before it
	// serves. It doubles with each further loss, up to _maxHoldDown.
	_holdDown    = time.Minute
	_maxHoldDown = 4 * time.Hour
	// absenceCount includes a lost host until the host has been off the live list for
	// _recentLossLagFactor times the list's lag.
	_recentLossLagFactor = 4
	// A live list is plausible if it omits up to 1/_scatteredAbsenceDivisor of the
	// hosts, in any data centres.
	_scatteredAbsenceDivisor = 10
	// A live list that omits more than 1/_totalAbsenceDivisor of the hosts is
	// implausible, even if they are all in one data centre.
	_totalAbsenceDivisor = 2
)

// recordLosses records the loss of serving and draining hosts that have been off a
// plausible live list for longer than the list's lag.
func (p *planner) recordLosses() {
	lag := p.policy.LiveListLag()
	stale := p.observed.stale(lag, p.now)
	var missing []*host
	var c absenceCount
	// Hosts that are down are expected to be off the list. Hosts that were recorded as
	// lost long ago don't show whether the present list is plausible.
	for _, h := range p.hosts {
		recent := h.absence(p.observed.receivedAt) < _recentLossLagFactor*lag
		if h.Duty() != fleet.Down && (h.Duty() != fleet.Failed || recent) {
			c.add(h, h.missing())
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
	if why := c.whyImplausible("lacks"); why != "" {
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
// hosts as leaving, drainLeaving does nothing, and drainHosts drains them within the
// budgets.
func (p *planner) drainLeaving() {
	var c absenceCount
	for _, h := range p.hosts {
		leaving := h.reason.cause == record.Cause_CAUSE_LEAVING
		if h.Duty() != fleet.Down || leaving {
			c.add(h, h.missing() || leaving)
		}
	}
	if c.whyImplausible("takes away") != "" {
		return
	}
	for _, h := range p.hosts {
		if h.reason.cause == record.Cause_CAUSE_LEAVING && h.Available() && !h.hasStep {
			p.drainHost(h)
		}
	}
}

// absenceCount counts the hosts that the live list omits or marks as leaving. The
// counts show whether the list is plausible. Hosts that were lost a short time ago
// count too: a list that drops hosts gradually is as wrong as one that drops them at
// once.
type absenceCount struct {
	absent int
	hosts  int
	// dataCentres counts the absent hosts by the id of their data centre.
	dataCentres map[int]int
}

// add counts a host.
func (c *absenceCount) add(h *host, absent bool) {
	c.hosts++
	if !absent {
		return
	}
	if c.dataCentres == nil {
		c.dataCentres = make(map[int]int)
	}
	c.absent++
	c.dataCentres[h.dataCentre]++
}

// whyImplausible returns why the list is implausible, or "" if it is plausible. A list
// is plausible if at most a tenth of all hosts are absent. After the loss of a data
// centre more may be absent: up to half of all hosts, of which at most a tenth of all
// hosts may be in other data centres. One host may always be absent. The verb goes
// into the returned text and says what the list does to the hosts.
func (c *absenceCount) whyImplausible(verb string) string {
	worst := 0
	for _, n := range c.dataCentres {
		worst = max(worst, n)
	}
	limit := max(1, c.hosts/_scatteredAbsenceDivisor)
	if c.absent <= limit || c.absent-worst <= limit && c.absent*_totalAbsenceDivisor <= c.hosts {
		return ""
	}
	return fmt.Sprintf("the live list %s %d of %d hosts in %d data centres, more than one explains", verb, c.absent, c.hosts, len(c.dataCentres))
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
			p.handleDown(h)
		case fleet.Failed:
			p.handleFailed(h)
		case fleet.Serving:
		}
	}
}

// returnToService proposes that a host serves again.
func (p *planner) returnToService(h *host, step string, m *record.HostServe) {
	m.Host = h.Name()
	// A moving host becomes available only when it is assigned to its new pool.
	if p.propose(h, step, &record.Record{Body: &record.Record_HostServe{HostServe: m}}) && h.MovingTo() == "" {
		p.markAvailable(h)
	}
}

// handleDown returns a host that was taken down to service, records it as lost, or
// holds it back, depending on the cause for which it was taken down.
func (p *planner) handleDown(h *host) {
	if p.holdIfKeptOut(h) {
		return
	}
	switch h.Cause() {
	case record.Cause_CAUSE_RECALL:
		p.handleRepair(h)
	case record.Cause_CAUSE_MAINTENANCE:
		p.handleMaintenance(h)
	default:
		p.handleEndedDrain(h)
	}
}

// holdIfKeptOut holds the host back if an operator drains it or the platform
// withdraws it, and reports whether it did.
func (p *planner) holdIfKeptOut(h *host) bool {
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

// handleMaintenance returns a host that went off the live list and has been back on it
// for at least its hold-down time. A host that is on the list _rebootGrace after it was
// taken down returns in any case.
func (p *planner) handleMaintenance(h *host) {
	switch {
	case h.unlistedWhileDown && h.listedFor(h.holdDown(p.now), p.now), h.listedFor(0, p.now) && p.basisAge(h) >= _rebootGrace:
		p.returnToService(h, "return from maintenance", &record.HostServe{Maintained: true})
	case h.missing() && p.basisAge(h) >= _maintenanceTimeout:
		p.recordLoss(h)
	default:
		h.holdBack(RuleAway, "it is down for maintenance", "its return to the live list")
	}
}

// handleRepair returns a host as repaired only if it went off the live list and has
// been back on it for at least its hold-down time. Otherwise a listed host returns
// unrepaired when its recall is cancelled or _repairTimeout has passed.
func (p *planner) handleRepair(h *host) {
	cancelled := h.reason.cause != record.Cause_CAUSE_RECALL
	switch {
	case h.unlistedWhileDown && h.listedFor(h.holdDown(p.now), p.now):
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

// handleEndedDrain returns a host that was taken down for an operator's drain or a
// withdrawal by the platform that has ended. The host must have been on the live list
// for at least its hold-down time.
func (p *planner) handleEndedDrain(h *host) {
	if h.listedFor(h.holdDown(p.now), p.now) {
		p.returnToService(h, "return", &record.HostServe{})
		return
	}
	h.holdBack(RuleAway, "it is off the live list", "its return to the live list")
}

// handleFailed returns a lost host that has been back on the live list for its
// hold-down time, at least _holdDown.
func (p *planner) handleFailed(h *host) {
	if p.holdIfKeptOut(h) {
		return
	}
	wait := max(h.holdDown(p.now), _holdDown)
	switch {
	case h.listedFor(wait, p.now):
		m := &record.HostServe{Maintained: h.unlistedWhileDown && isMaintenanceOrRepair(h.Cause())}
		m.Repaired = h.unlistedWhileDown && h.Cause() == record.Cause_CAUSE_RECALL
		p.returnToService(h, "return after its loss", m)
	case h.listed:
		h.holdBack(RuleHoldDown, fmt.Sprintf("it was lost %d times and must be back for %v", h.recentLosses(p.now), wait), "time")
	default:
		h.holdBack(RuleAway, "it is lost", "its return to the live list")
	}
}

func isMaintenanceOrRepair(c record.Cause) bool {
	return c == record.Cause_CAUSE_MAINTENANCE || c == record.Cause_CAUSE_RECALL
}

// basisAge returns how long ago the last record about the host was first observed.
// It is 0 if none was observed, and too short if the observations were lost since.
func (p *planner) basisAge(h *host) time.Duration {
	if h.basisSince.IsZero() {
		return 0
	}
	return p.now.Sub(h.basisSince)
}

// holdDown returns how long the host must be back on the live list before it serves:
// 0 without a recent loss, _holdDown after the first, and twice as long after
// each further one, up to _maxHoldDown.
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
