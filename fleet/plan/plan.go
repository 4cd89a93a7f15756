package plan

import (
	"fmt"
	"strings"
	"time"

	"fescuelanding/fleet"
	"fescuelanding/fleet/record"
)

// _maxRecords bounds the records of one plan, to limit the load on the log. The next
// plan proposes the rest.
const _maxRecords = 256

// Plan returns the records to append now, in order and complete except for their
// ids. They carry the term of the current owner of fleet.PlannerKey, and only that
// entry may append them. The basis of a record is the log offset of the last record
// about its host, or of the start of its wave. Until a record is applied, later plans
// propose it again with the same basis. A duplicate that reaches the log is rejected,
// because its basis is out of date by then.
func Plan(s *fleet.State, o Observations, now time.Time) []*record.Record {
	p := newPlanner(s, o, now)
	p.run()
	return p.records
}

// run makes all decisions. Losses and withdrawn hosts come first because the planner
// can't prevent them. Steps that restore capacity come before voluntary steps that take
// hosts out.
func (p *planner) run() {
	owner, ok := p.state.Owner(fleet.PlannerKey)
	if !ok {
		for _, h := range p.hosts {
			h.holdBack(RuleNoPlanner, "no entry may plan", "an entry that registers")
		}
		return
	}
	p.owner = owner
	p.recordLosses()
	p.drainLeaving()
	p.returnHosts()
	p.restoreBudgets()
	p.advanceSteps()
	p.applyMoveIntents()
	p.drainHosts()
	p.addHostsForDrains()
	p.deploySpares()
	p.closeWaves()
}

// propose adds a step for a host and reports whether it did. A host has at most
// one step in a plan.
func (p *planner) propose(h *host, step string, r *record.Record) bool {
	if h.hasStep {
		return false
	}
	if len(p.records) >= _maxRecords {
		h.holdBack(RuleLimit, fmt.Sprintf("this plan has %d steps", _maxRecords), "the next plan")
		return false
	}
	r.Basis = h.Basis()
	r.Term = p.owner.Term()
	p.appendRecord(r)
	h.hasStep, h.step, h.rule = true, step, RuleNone
	return true
}

// appendRecord adds a record to the plan. It sets the record's time, and the owner of
// fleet.PlannerKey as its writer.
func (p *planner) appendRecord(r *record.Record) {
	r.Writer = p.owner.Entry()
	r.AtUnixMs = p.now.UnixMilli()
	p.records = append(p.records, r)
}

// advanceSteps takes drained hosts down and completes moves: it assigns a host to the
// pool that it was released to. Both wait until every entry has confirmed that it has
// no requests in flight to the host.
func (p *planner) advanceSteps() {
	for _, h := range p.hosts {
		moving := h.MovingTo() != ""
		if h.hasStep || !moving && h.Duty() != fleet.Draining {
			continue
		}
		if moving && h.Duty() == fleet.Failed {
			p.cancelMove(h, "stay, as it was lost on its way")
			continue
		}
		if moving && h.missing() {
			h.holdBack(RuleLag, "off the live list", "its return, or time")
			continue
		}
		if c := p.state.UnconfirmedEntries(h.Name()); len(c) > 0 {
			h.holdBack(RuleConfirm, "it may have requests in flight", "the word of "+strings.Join(c, ", "))
			continue
		}
		if moving {
			p.propose(h, "assign to pool "+h.MovingTo(), &record.Record{Body: &record.Record_HostAssign{
				HostAssign: &record.HostAssign{Host: h.Name(), ToPool: h.MovingTo()},
			}})
			continue
		}
		p.propose(h, "take down", &record.Record{Body: &record.Record_HostDown{HostDown: &record.HostDown{Host: h.Name()}}})
	}
}

// closeWaves ends the waves whose hosts are all done. WaveCancel is the record that
// ends a wave, complete or not.
func (p *planner) closeWaves() {
	for _, w := range p.waves {
		if n := w.Progress(); n.Done() < n.Total() || len(p.records) >= _maxRecords {
			continue
		}
		r := &record.Record{Body: &record.Record_WaveCancel{WaveCancel: &record.WaveCancel{Wave: w.Name()}}}
		r.Basis = p.state.Basis(r)
		p.appendRecord(r)
	}
}
