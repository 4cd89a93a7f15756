package scheduler

import "time"

// An upstream's clock is known from its answers and its entry in the list, as a lower and an upper bound. Leases
// have deadlines by it.

// tooFarAhead reports whether a listed clock can't be the upstream's, as known from earlier
// readings. By such a clock, leases would seem to have lapsed, and their runs would start anew.
func (h *host) tooFarAhead(now time.Time, ms int64) bool {
	if h.clockReadAt.IsZero() {
		return false
	}
	ahead := _maxClockLead + now.Sub(h.clockReadAt)/_clockLeadDivisor
	return ms-h.clockNow(now) > ahead.Milliseconds()
}

// A listed clock may be ahead of what is known by _maxClockLead, which allows for an answer
// that was on its way, and by one part in _clockLeadDivisor of the time since the last reading.
const (
	_maxClockLead     = 2 * time.Second
	_clockLeadDivisor = 8
)

// clockNow returns a lower bound of the upstream's clock, in milliseconds.
func (h *host) clockNow(now time.Time) int64 {
	if h.clockReadAt.IsZero() {
		return 0
	}
	return h.clockMs + int64(float64(now.Sub(h.clockReadAt).Milliseconds())*_slowestClockRate)
}

// clockAtLeast returns a lower bound of the upstream's clock at a time, which may
// be before the clock was read last.
func (h *host) clockAtLeast(t time.Time) int64 {
	if h.clockReadAt.IsZero() || !t.Before(h.clockReadAt) {
		return h.clockNow(t)
	}
	return h.clockMs - h.clockReadAt.Sub(t).Milliseconds()
}

// extendLongest notes that the upstream may have granted the longest lease when its clock was at ms: the call had a
// deadline by the clock of a former incarnation.
func (s *Scheduler) extendLongest(h *host, ms int64) {
	h.deadlineMs = max(h.deadlineMs, ms+max(s.set.MaxLease, _lease).Milliseconds())
}

// mayShow reports whether the known incarnation's clock may have shown ms at some moment between two times.
func (h *host) mayShow(ms int64, from, to time.Time) bool {
	return ms >= h.clockAtLeast(from) && (h.ceilingAt.IsZero() || ms <= h.clockAtMost(to))
}

// clockAtMost returns an upper bound of the upstream's clock at a time, in milliseconds.
func (h *host) clockAtMost(t time.Time) int64 {
	return h.ceilingMs + int64(float64(t.Sub(h.ceilingAt).Milliseconds()+1)/_slowestClockRate) + 1
}

// boundClock applies an answer with the upstream's clock to the upper bound. Its call was sent at some time.
func (h *host) boundClock(now time.Time, ms int64, sent time.Time) {
	known, knownMs, knownAt := h.clockAtMost(now), h.ceilingMs, h.ceilingAt
	h.ceilingMs, h.ceilingAt = ms, sent
	if !knownAt.IsZero() && known < h.clockAtMost(now) {
		h.ceilingMs, h.ceilingAt = knownMs, knownAt
	}
}

// suspendClocks counts a suspension of the process, which its clock left out, in the upper bounds.
func (s *Scheduler) suspendClocks(d time.Duration) {
	for _, h := range s.hosts.order {
		if !h.ceilingAt.IsZero() {
			h.ceilingAt = h.ceilingAt.Add(-d)
		}
	}
}

// lapsed reports whether every lease that this owner granted has lapsed.
func (h *host) lapsed(now time.Time) bool {
	return h.clockNow(now) >= h.deadlineMs+_leaseLapseMargin.Milliseconds()
}

// lapseTime returns when lapsed becomes true.
func (h *host) lapseTime() time.Time {
	left := float64(h.deadlineMs + _leaseLapseMargin.Milliseconds() - h.clockMs)
	return h.clockReadAt.Add(time.Duration(left/_slowestClockRate)*time.Millisecond + time.Millisecond)
}

// extendLease returns the deadline of a lease that begins now, and stores it. A longer lease that
// the upstream may have granted isn't asked for: the next owner wouldn't know of it.
func (h *host) extendLease(now time.Time, d time.Duration) int64 {
	ms := h.clockNow(now) + d.Milliseconds()
	h.deadlineMs, h.leaseSentAt = max(h.deadlineMs, ms), now
	return ms
}
