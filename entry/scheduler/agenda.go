package scheduler

import (
	"container/heap"
	"slices"
	"strings"
	"time"
)

// agenda keeps the upstreams in the order in which they are due for work: a poll, a
// repeated stop, the lapse of a lease, the end of an ejection or a draining. Each event
// concerns few upstreams, and only those are looked at.
type agenda struct {
	due dueHeap
	// touched are the upstreams that were due or may have changed since their due time
	// was computed.
	touched []*host
}

// touch marks an upstream whose due time must be computed anew.
func (a *agenda) touch(h *host) {
	if !h.touched {
		h.touched = true
		a.touched = append(a.touched, h)
	}
}

// touchDue touches the upstreams that are due.
func (a *agenda) touchDue(now time.Time) {
	for len(a.due) > 0 && !a.due[0].due.After(now) {
		h := a.due[0]
		a.remove(h)
		a.touch(h)
	}
}

// list returns the touched upstreams in the order of their IDs.
func (a *agenda) list() []*host {
	slices.SortFunc(a.touched, func(x, y *host) int { return strings.Compare(x.up.ID, y.up.ID) })
	return a.touched
}

// set sets the time at which an upstream is due; zero for never.
func (a *agenda) set(h *host, at time.Time) {
	h.touched = false
	switch {
	case at.IsZero():
		a.remove(h)
	case h.dueIndex == 0:
		h.due = at
		heap.Push(&a.due, h)
	case !at.Equal(h.due):
		h.due = at
		heap.Fix(&a.due, h.dueIndex-1)
	}
}

func (a *agenda) remove(h *host) {
	if h.dueIndex > 0 {
		heap.Remove(&a.due, h.dueIndex-1)
	}
}

// next returns when the first upstream is due; zero if none is.
func (a *agenda) next() time.Time {
	if len(a.due) == 0 {
		return time.Time{}
	}
	return a.due[0].due
}

// dueHeap implements heap.Interface. The dueIndex of an upstream is its position,
// beginning with one.
type dueHeap []*host

func (l dueHeap) Len() int { return len(l) }

func (l dueHeap) Less(i, j int) bool { return l[i].due.Before(l[j].due) }

func (l dueHeap) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].dueIndex, l[j].dueIndex = i+1, j+1
}

// Push implements heap.Interface.
func (l *dueHeap) Push(x any) {
	h, ok := x.(*host)
	if !ok {
		return
	}
	*l = append(*l, h)
	h.dueIndex = len(*l)
}

// Pop implements heap.Interface.
func (l *dueHeap) Pop() any {
	n := len(*l) - 1
	h := (*l)[n]
	(*l)[n] = nil
	*l = (*l)[:n]
	h.dueIndex = 0
	return h
}
