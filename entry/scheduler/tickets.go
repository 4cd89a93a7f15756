package scheduler

import "fescuelanding/platform"

// ensureTickets reports whether a step may be placed as far as the queue's policy
// is concerned: the queue has no policy, or there are valid tickets. Otherwise it
// requests tickets from the policy, unless a request is in flight or has just
// failed.
func (p *pass) ensureTickets(st *step) bool {
	if !st.occurrence.job.queue.Advice.Needed() {
		return true
	}
	k := &st.tickets
	if k.byHost != nil && p.now.Before(k.until) {
		// A task that fits only on upstreams without a ticket waits for the next request.
		p.s.adviceRetry.add(k.until)
		return true
	}
	if k.requested || p.now.Before(k.retryAt) {
		return false
	}
	var ids []string
	for _, h := range p.hosts {
		if h.hasLabel(st.def.GetRequires()) && len(ids) < platform.MaxAdviceUpstreams {
			ids = append(ids, h.up.ID)
		}
	}
	if len(ids) == 0 {
		return false
	}
	k.requested, k.byHost = true, nil
	p.s.emit(Advise{Step: st.name, Hosts: ids})
	return false
}
