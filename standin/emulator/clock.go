package emulator

import (
	"container/heap"
	"time"
)

// clock is a virtual clock with a queue of events. It jumps to the time of the next event
// without waiting.
type clock struct {
	now    time.Duration
	count  uint64
	events eventQueue
}

// after schedules f. Events that are due at the same time run in the order in which
// they were scheduled.
func (c *clock) after(d time.Duration, f func()) {
	c.count++
	heap.Push(&c.events, event{c.now + max(d, 0), c.count, f})
}

// run executes the events that are due up to a time.
func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e, _ := heap.Pop(&c.events).(event) // The queue holds nothing else.
		c.now = e.at
		e.do()
	}
	c.now = until
}

// event is a function that is due at a time.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

// eventQueue implements heap.Interface.
type eventQueue []event

// Len implements sort.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements sort.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

// Swap implements sort.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) {
	e, _ := x.(event) // Only events are pushed.
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	l := *q
	e := l[len(l)-1]
	*q = l[:len(l)-1]
	return e
}
