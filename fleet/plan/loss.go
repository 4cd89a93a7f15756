package plan

import (
	"fmt"
	"time"

	"fescuelanding/fleet"
	"fescuelanding/fleet/record"
)

const (
	// _rebootLimit is how long a host may be away for maintenance before it
	// counts as failed.
	_rebootLimit = time.Hour
	// _repairLimit is the same for a recalled part.
	_repairLimit = 24 * time.Hour
	// _rebootGrace is how long a host that was taken down may stay on the list
	// before its reboot counts as too short to be seen.
	_rebootGrace = 15 * time.Minute
	// _holdDown is how long a lost host must be back; it doubles with each
	// further loss, up to _maxHoldDown.
	_holdDown    = time.Minute
	_maxHoldDown = 4 * time.Hour
	// _recentLags is how long a loss counts towards the doubt of the list, in
	// multiples of the list's lag.
	_recentLags = 4
	// _fewShare is the part of the hosts in duty, one in so many, that may be
	// missing anywhere without the list being doubted.
	_fewShare = 10
	// _mostShare is the part, one in so many, of which no list is believed that
	// it is missing.
	_mostShare = 2
)

// lose records hosts in duty that the live list lacks for longer than it lags,
// where the list can be believed.
func (p *planner) lose() {
	lag := p.policy.LiveListLag()
	stale := p.seen.stale(lag, p.now)
	var missing []*host
	var d doubt
	// Hosts that are down are expected to be missing.
	for _, h := range p.hosts {
		recent := h.gone(p.seen.heard) < _recentLags*lag
		if h.Duty() != fleet.Down && (h.Duty() != fleet.Failed || recent) {
			d.count(h, h.missing())
		}
		if !h.missing() || h.Duty() != fleet.Serving && h.Duty() != fleet.Draining {
			continue
		}
		switch gone := h.gone(p.seen.heard); {
		case stale:
			h.held(RuleStaleList, "the live list has not changed for long", "a new list")
		case gone < lag:
			h.held(RuleLag, fmt.Sprintf("off the live list for %v, which lags by %v", gone, lag), "its return, or time")
		default:
			missing = append(missing, h)
		}
	}
	if why := d.why("lacks"); why != "" {
		for _, h := range missing {
			h.held(RuleManyLost, why, "its return to the list")
		}
		return
	}
	for _, h := range missing {
		p.fail(h)
	}
}

// evacuate drains hosts that the platform takes away, whatever the budget: they
// go anyway. Where the list says so of more hosts than it can be believed of,
// the rules for other drains hold.
func (p *planner) evacuate() {
	var d doubt
	for _, h := range p.hosts {
		leaving := h.reason.cause == record.Cause_CAUSE_LEAVING
		if h.Duty() != fleet.Down || leaving {
			d.count(h, h.missing() || leaving)
		}
	}
	if d.why("takes away") != "" {
		return
	}
	for _, h := range p.hosts {
		if h.reason.cause == record.Cause_CAUSE_LEAVING && h.Available() && !h.acted {
			p.drainHost(h)
		}
	}
}

// doubt counts what the live list lacks, to judge whether it can be believed.
// Hosts that were lost a short time ago count too: a list that drops some at a
// time is as wrong as one that drops them at once.
type doubt struct {
	bad     int
	hosts   int
	centres map[int]int
}

// count takes a host in.
func (d *doubt) count(h *host, bad bool) {
	d.hosts++
	if !bad {
		return
	}
	if d.centres == nil {
		d.centres = make(map[int]int)
	}
	d.bad++
	d.centres[h.centre]++
}

// why says why the list isn't believed, or "". Few hosts may be missing
// anywhere, and one data centre may be missing whole.
func (d *doubt) why(what string) string {
	worst := 0
	for _, n := range d.centres {
		worst = max(worst, n)
	}
	few := max(1, d.hosts/_fewShare)
	if d.bad <= few || d.bad-worst <= few && d.bad*_mostShare <= d.hosts {
		return ""
	}
	return fmt.Sprintf("the live list %s %d of %d hosts in %d data centres, more than one explains", what, d.bad, d.hosts, len(d.centres))
}

// fail records the loss of a host.
func (p *planner) fail(h *host) {
	if p.propose(h, "count as lost", &record.Record{Body: &record.Record_HostFail{HostFail: &record.HostFail{Host: h.Name()}}}) {
		p.markOut(h, false)
	}
}

// bringBack returns hosts to duty: drained ones that nothing is wanted of any
// more, those back from maintenance or repair, and lost ones that are back.
func (p *planner) bringBack() {
	for _, h := range p.hosts {
		switch h.Duty() {
		case fleet.Draining:
			if !h.wanted() && !h.acted {
				p.serve(h, "return, as nothing is wanted of it any more", &record.HostServe{})
			}
		case fleet.Down:
			p.endDown(h)
		case fleet.Failed:
			p.endFailed(h)
		case fleet.Serving:
		}
	}
}

// serve returns a host to duty.
func (p *planner) serve(h *host, step string, m *record.HostServe) {
	m.Host = h.Name()
	if p.propose(h, step, &record.Record{Body: &record.Record_HostServe{HostServe: m}}) && h.MovingTo() == "" {
		p.markAvailable(h)
	}
}

// endDown returns a host that was taken down, or counts it as lost.
func (p *planner) endDown(h *host) {
	if p.keptOut(h) {
		return
	}
	switch h.Cause() {
	case record.Cause_CAUSE_RECALL:
		p.endRepair(h)
	case record.Cause_CAUSE_MAINTENANCE:
		p.endMaintenance(h)
	default:
		p.endOther(h)
	}
}

// keptOut tells whether an operator or the platform keeps a host out.
func (p *planner) keptOut(h *host) bool {
	switch h.reason.cause {
	case record.Cause_CAUSE_OPERATOR:
		h.held(RuleIntent, "an operator drains it", "the drain's end")
		return true
	case record.Cause_CAUSE_LEAVING:
		h.held(RuleLeaving, "the platform takes it away", "the platform's list")
		return true
	default:
		return false
	}
}

func (p *planner) endMaintenance(h *host) {
	switch {
	case h.away && h.back(h.holdDown(p.now), p.now), h.back(0, p.now) && p.downFor(h) >= _rebootGrace:
		p.serve(h, "return from maintenance", &record.HostServe{Maintained: true})
	case h.missing() && p.downFor(h) >= _rebootLimit:
		p.fail(h)
	default:
		h.held(RuleAway, "it is down for maintenance", "its return to the live list")
	}
}

func (p *planner) endRepair(h *host) {
	cancelled := h.reason.cause != record.Cause_CAUSE_RECALL
	switch {
	case h.away && h.back(h.holdDown(p.now), p.now):
		p.serve(h, "return from repair", &record.HostServe{Maintained: true, Repaired: true})
	case h.back(0, p.now) && (cancelled || p.downFor(h) >= _repairLimit):
		p.serve(h, "return unrepaired", &record.HostServe{})
	case h.missing() && p.downFor(h) >= _repairLimit:
		p.fail(h)
	case h.listed:
		h.held(RuleRepair, "it has not left the live list for its repair", "its repair, or the recall's end")
	default:
		h.held(RuleAway, "it is down for repair", "its return to the live list")
	}
}

func (p *planner) endOther(h *host) {
	if h.back(h.holdDown(p.now), p.now) {
		p.serve(h, "return", &record.HostServe{})
		return
	}
	h.held(RuleAway, "it is off the live list", "its return to the live list")
}

// endFailed returns a lost host that has been back for long enough.
func (p *planner) endFailed(h *host) {
	if p.keptOut(h) {
		return
	}
	wait := max(h.holdDown(p.now), _holdDown)
	switch {
	case h.back(wait, p.now):
		m := &record.HostServe{Maintained: h.away && inWork(h.Cause())}
		m.Repaired = h.away && h.Cause() == record.Cause_CAUSE_RECALL
		p.serve(h, "return after its loss", m)
	case h.listed:
		h.held(RuleHoldDown, fmt.Sprintf("it was lost %d times and must be back for %v", h.flaps(p.now), wait), "time")
	default:
		h.held(RuleAway, "it is lost", "its return to the live list")
	}
}

// inWork reports whether a cause takes the host away for work on it.
func inWork(c record.Cause) bool {
	return c == record.Cause_CAUSE_MAINTENANCE || c == record.Cause_CAUSE_RECALL
}

// downFor returns for how long the host is known to be as it is.
func (p *planner) downFor(h *host) time.Duration {
	if h.since.IsZero() {
		return 0
	}
	return p.now.Sub(h.since)
}

// holdDown returns how long the host must be back before it serves.
func (h *host) holdDown(now time.Time) time.Duration {
	n := h.flaps(now)
	if n == 0 {
		return 0
	}
	d := _holdDown
	for ; n > 1 && d < _maxHoldDown; n-- {
		d *= 2
	}
	return min(d, _maxHoldDown)
}
