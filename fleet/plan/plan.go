package plan

import (
	"fmt"
	"strings"
	"time"

	"fescuelanding/fleet"
	"fescuelanding/fleet/record"
)

// _maxRecords bounds the records of one plan, to be kind to the log.
const _maxRecords = 256

// Plan returns the records to append now, in their order, complete but for
// their ids. Their term is that of the planner's present owner; only that entry
// may append them. Records of a plan that isn't applied yet are proposed again,
// with the same basis, and are rejected the second time.
func Plan(s *fleet.State, o Observations, now time.Time) []*record.Record {
	p := newPlanner(s, o, now)
	p.run()
	return p.records
}

// run decides, the steps that mend before those that take hosts out.
func (p *planner) run() {
	owner, ok := p.state.Owner(fleet.PlannerKey)
	if !ok {
		for _, h := range p.hosts {
			h.held(RuleNoPlanner, "no entry may plan", "an entry that registers")
		}
		return
	}
	p.owner = owner
	p.lose()
	p.evacuate()
	p.bringBack()
	p.repair()
	p.advance()
	p.moveByIntent()
	p.drain()
	p.lend()
	p.putToWork()
	p.closeWaves()
}

// propose adds a step of a host.
func (p *planner) propose(h *host, step string, r *record.Record) bool {
	if h.acted {
		return false
	}
	if len(p.records) >= _maxRecords {
		h.held(RuleLimit, fmt.Sprintf("this plan has %d steps", _maxRecords), "the next plan")
		return false
	}
	r.Basis = h.Basis()
	r.Term = p.owner.Term()
	p.append(r)
	h.acted, h.step, h.rule = true, step, RuleNone
	return true
}

// append adds a record of the planner.
func (p *planner) append(r *record.Record) {
	r.Writer = p.owner.Entry()
	r.AtUnixMs = p.now.UnixMilli()
	p.records = append(p.records, r)
}

// advance takes drained hosts down and assigns released ones, where every entry
// has confirmed.
func (p *planner) advance() {
	for _, h := range p.hosts {
		moving := h.MovingTo() != ""
		if h.acted || !moving && h.Duty() != fleet.Draining {
			continue
		}
		if moving && h.Duty() == fleet.Failed {
			p.keep(h, "stay, as it was lost on its way")
			continue
		}
		if moving && h.missing() {
			h.held(RuleLag, "off the live list", "its return, or time")
			continue
		}
		if c := p.state.UnconfirmedEntries(h.Name()); len(c) > 0 {
			h.held(RuleConfirm, "it may have requests in flight", "the word of "+strings.Join(c, ", "))
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

// closeWaves ends waves whose hosts are all done.
func (p *planner) closeWaves() {
	for _, w := range p.waves {
		if n := w.Progress(); n.Done() < n.Total() || len(p.records) >= _maxRecords {
			continue
		}
		r := &record.Record{Body: &record.Record_WaveCancel{WaveCancel: &record.WaveCancel{Wave: w.Name()}}}
		r.Basis = p.state.Basis(r)
		p.append(r)
	}
}
