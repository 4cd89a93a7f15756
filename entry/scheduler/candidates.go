package scheduler

import (
	"cmp"
	"slices"
	"strings"

	"fescuelanding/platform"
)

// Which upstreams a policy is asked about.

const (
	// _firstAdvice is the number of upstreams in the first request about a step. It doubles with each
	// further one.
	_firstAdvice = 30
	// _likelyMargin is the number of upstreams in a request beside those that are likely to be enough.
	_likelyMargin = 4
)

// candidates are the upstreams on which a step could run, by what is known of them.
type candidates struct {
	// need is the number of tasks without a run.
	need int
	// lapsed are allowed, have room, and their tickets have lapsed. room is how many tasks they take.
	lapsed []*host
	room   int
	// unknown have room and full have none; nothing is known of either. denied counts the upstreams
	// that aren't allowed, and recheck are those of them that are asked about again.
	unknown, full, recheck []*host
	denied                 int
	// recheckAt is when a denied one is asked about again.
	recheckAt earliest
	// capacity is how many tasks the allowed upstreams would take if they were empty.
	capacity int
}

// candidates finds the upstreams on which a task could run.
func (p *pass) candidates(t *task) candidates {
	st, d := t.step, p.trial(t)
	c := candidates{need: max(st.left-st.running, 1)}
	add := func(h *host) {
		if !h.hasLabel(st.def.GetRequires()) || !fitsIn(st.def, h.up.Capacity) {
			return
		}
		room := !p.reserved[h] && fitsIn(st.def, h.free()) && p.suits(t, h) && p.admits(t, h, d)
		v, known := st.advice.verdict(h)
		switch {
		case !known && room:
			c.unknown = append(c.unknown, h)
		case !known:
			c.full = append(c.full, h)
		case !v.allowed:
			c.denied++
			if p.now.Before(v.until) {
				c.recheckAt.add(v.until)
			} else {
				c.recheck = append(c.recheck, h)
			}
		default:
			c.capacity += countFitting(st, h.up.Capacity)
			switch {
			case !room || v.ticket != "" && p.now.Before(v.until):
			case p.now.Before(v.until):
				c.recheckAt.add(v.until) // Its tickets were refused.
			default:
				c.lapsed = append(c.lapsed, h)
				c.room += countFitting(st, h.free())
			}
		}
	}
	vacated := !t.waitingSince.IsZero() && p.now.Sub(t.waitingSince) >= _reclaimAfter
	for _, h := range p.s.hosts.order {
		if !h.unresponsive(p.now, p.s.flow.delay) && (h.usable(p.now) || vacated && h.reclaims(p.now)) {
			add(h)
		}
	}
	p.order(st, c.lapsed)
	p.order(st, c.unknown)
	p.order(st, c.full)
	return c
}

// countFitting returns how many tasks of a step fit into a capacity, as far as CPU and anti-affinity tell.
func countFitting(st *step, c platform.Capacity) int {
	n := st.left
	if q := st.cpuRequest(); q > 0 {
		n = min(n, int(c.MilliCPU/q))
	}
	if l := int(st.def.GetAntiAffinity()); l > 0 {
		n = min(n, l)
	}
	return max(n, 1)
}

// order sorts upstreams by how well a step would run on them: those near its data first, those that its
// queue's policy is likely to allow, the racks with the most free CPU for tasks that have to share one,
// and then by their own free CPU.
func (p *pass) order(st *step, hosts []*host) {
	near, queue := st.def.GetAffinity(), st.occurrence.job.def.GetQueue()
	var racks map[string]int64
	if st.def.GetSameRack() {
		racks = make(map[string]int64)
		for _, h := range hosts {
			racks[h.rack] += h.free().MilliCPU
		}
	}
	slices.SortStableFunc(hosts, func(a, b *host) int {
		if near != "" && (a.rack == near) != (b.rack == near) {
			return signOf(b.rack == near)
		}
		return cmp.Or(
			cmp.Compare(b.hint(queue), a.hint(queue)),
			cmp.Compare(racks[b.rack], racks[a.rack]),
			compareIf(racks != nil, a.rack, b.rack),
			cmp.Compare(b.free().MilliCPU, a.free().MilliCPU),
		)
	})
}

// compareIf compares two texts if that is wanted, and returns zero otherwise.
func compareIf(wanted bool, a, b string) int {
	if !wanted {
		return 0
	}
	return strings.Compare(a, b)
}

// choose returns the upstreams for the next request. Upstreams that are known to be allowed are enough
// if they have room for all tasks. Upstreams without room are asked about only if the step will need
// them, and denied ones only if nothing else is left.
func (c candidates) choose(st *step) []*host {
	renewed := first(c.lapsed, min(c.need, renewalLimit(st.occurrence.job.queue.Advice)))
	if c.room >= c.need {
		return renewed
	}
	if len(c.lapsed)+len(c.unknown) == 0 && c.capacity >= c.need {
		return nil
	}
	size := max(_firstAdvice, st.advice.size)
	if n := c.likely(st); n > 0 && st.advice.size == 0 {
		size = n
	}
	size = max(size>>st.advice.timeouts, 1)
	l := slices.Concat(renewed, first(c.unknown, min(size, platform.MaxAdviceUpstreams-len(renewed))))
	if len(l) == 0 {
		l = first(c.full, size)
	}
	if len(l) == 0 {
		l = first(c.recheck, size)
	}
	return l
}

// likely returns the number of unknown upstreams that take all tasks if the policy allows those that it
// allowed for another step; zero if they don't. Some more are counted, as it may deny a few.
func (c candidates) likely(st *step) int {
	room := c.room
	for i, h := range c.unknown {
		if h.hint(st.occurrence.job.def.GetQueue()) <= 0 {
			return 0
		}
		if room += countFitting(st, h.free()); room >= c.need {
			return min(i+1+_likelyMargin, _firstAdvice)
		}
	}
	return 0
}

func first(l []*host, n int) []*host { return slices.Clone(l[:min(n, len(l))]) }

// renewalLimit returns how many upstreams a request for new tickets names at most, so that the first of them
// hasn't lapsed when the policy has decided on the last.
func renewalLimit(q platform.Advice) int {
	n := platform.MaxAdviceUpstreams
	if q.TimePerUpstream > 0 {
		n = min(n, int(q.Valid/2/q.TimePerUpstream))
	}
	return max(n, 1)
}

// noteHint notes what the policy has said about an upstream, for other steps of the queue. They are asked
// about those first that the policy allowed last.
func (h *host) noteHint(queue string, allowed bool) {
	if h.hints == nil {
		h.hints = make(map[string]bool)
	}
	h.hints[queue] = allowed
}

// hint returns how likely the policy of a queue allows an upstream: 1 if it did so for the last step that
// was asked about, -1 if it didn't, and 0 if there was none.
func (h *host) hint(queue string) int {
	allowed, known := h.hints[queue]
	switch {
	case !known:
		return 0
	case allowed:
		return 1
	}
	return -1
}
