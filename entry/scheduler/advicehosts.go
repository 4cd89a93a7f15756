package scheduler

import (
	"time"

	"fescuelanding/entry/link"
)

const (
	// A step that has waited for _adviceKeepAfter has the planner keep hosts in the pool, until it has waited
	// for _adviceKeepFor: a step that may run nowhere must not hold them for ever. Of more than
	// _maxAdviceKept steps, the first ones do.
	_adviceKeepAfter = 1500 * time.Millisecond
	_adviceKeepFor   = time.Minute
	_maxAdviceKept   = 32
)

// keepForAdvice has the planner leave hosts in the pool, or bring others, for steps that wait for upstreams
// which their policy allows. Those that are known to be allowed count as in use. While none is, all
// stay that weren't asked about, and if all others are denied, there have to be more: which ones are
// allowed is known only once they are in the pool.
func (s *Scheduler) keepForAdvice(now time.Time, l *link.PoolLoad) {
	present := int32(len(l.GetHosts()))
	n := 0
	for _, st := range s.advisedSteps() {
		if waited := now.Sub(st.waitingSince); waited < _adviceKeepAfter || waited > _adviceKeepFor {
			continue
		}
		if n++; n > _maxAdviceKept {
			return
		}
		permitted, unknown := false, false
		for _, x := range l.GetHosts() {
			h := s.hosts.byID[x.GetUpstream()]
			switch {
			case !h.hasLabel(st.def.GetRequires()) || !fitsIn(st.def, h.up.Capacity):
			case st.isPermitted(h):
				x.Runs++
				permitted = true
			case !st.isDenied(h):
				unknown = true
			}
		}
		switch {
		case permitted:
		case unknown:
			l.Spread = max(l.GetSpread(), present)
		default:
			l.Spread = max(l.GetSpread(), 2*present)
		}
	}
}

// advisedSteps returns the steps with tasks to be placed that need tickets.
func (s *Scheduler) advisedSteps() []*step {
	var l []*step
	for _, j := range s.active {
		if !j.queue.Advice.Needed() {
			continue
		}
		for _, o := range j.occurrences {
			for _, st := range o.openSteps() {
				if st.unplaced() {
					l = append(l, st)
				}
			}
		}
	}
	return l
}
