package broker

import (
	"container/heap"
	"time"
)

// hold is a slot that is taken.
type hold struct {
	Hold
	class   *class
	team    *team
	request *request
	index   int
	// outcomeRecorded marks that the key's outcome is stored.
	outcomeRecorded bool
}

func (h *hold) grant() Grant {
	return Grant{Request: h.Request, Entry: h.Entry, Slot: h.Slot, Host: h.Host, Term: h.Term, Until: h.Until}
}

// holds are the slots taken, in a heap by time of expiry.
type holds struct {
	bySlot map[uint64]*hold
	heap   holdHeap
	byHost map[string]int
}

func (s *holds) add(h *hold) {
	if s.bySlot == nil {
		s.bySlot = make(map[uint64]*hold)
		s.byHost = make(map[string]int)
	}
	s.bySlot[h.Slot] = h
	s.byHost[h.Host]++
	heap.Push(&s.heap, h)
}

func (s *holds) remove(h *hold) {
	delete(s.bySlot, h.Slot)
	if s.byHost[h.Host]--; s.byHost[h.Host] == 0 {
		delete(s.byHost, h.Host)
	}
	heap.Remove(&s.heap, h.index)
}

func (s *holds) onHost(name string) int {
	return s.byHost[name]
}

// expired returns the holds whose runs must have ended.
func (s *holds) expired(now time.Time) []*hold {
	var hs []*hold
	for _, h := range s.heap {
		if h.Until.Add(_holdMargin).Before(now) {
			hs = append(hs, h)
		}
	}
	return hs
}

func (s *holds) next() time.Time {
	if len(s.heap) == 0 {
		return time.Time{}
	}
	return s.heap[0].Until.Add(_holdMargin + time.Nanosecond)
}

// holdHeap implements heap.Interface, ordered by time of expiry.
type holdHeap []*hold

func (s holdHeap) Len() int           { return len(s) }
func (s holdHeap) Less(i, j int) bool { return s[i].Until.Before(s[j].Until) }
func (s holdHeap) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}

// Push implements heap.Interface.
func (s *holdHeap) Push(x any) {
	h := x.(*hold)
	h.index = len(*s)
	*s = append(*s, h)
}

// Pop implements heap.Interface.
func (s *holdHeap) Pop() any {
	n := len(*s) - 1
	h := (*s)[n]
	(*s)[n] = nil
	*s = (*s)[:n]
	return h
}

// acquire adds a hold and counts it for its host, class and team.
func (b *Broker) acquire(h *hold) {
	b.holds.add(h)
	b.hosts.acquire(h.Host)
	if h.class != nil {
		h.class.held++
	}
	if h.team != nil {
		h.team.held++
	}
}

// markLost marks a hold whose run's end will not be reported. The hold lasts
// until it expires.
func (b *Broker) markLost(h *hold) {
	if h.Lost {
		return
	}
	h.Lost = true
	if h.class != nil {
		h.class.lost++
	}
}

// release removes a hold.
func (b *Broker) release(h *hold) {
	b.holds.remove(h)
	b.hosts.release(h.Host)
	if h.class != nil {
		h.class.held--
		if h.Lost {
			h.class.lost--
		}
	}
	if h.team != nil {
		h.team.held--
	}
}

// reserve takes a slot on a host for a request.
func (b *Broker) reserve(now time.Time, r *request, host string) {
	h := &hold{class: r.class, team: r.team, request: r}
	h.Hold = Hold{
		Slot: b.newSlotID(), Request: r.Request, Entry: r.Entry, Host: host,
		Service: r.Service, Class: r.Class, Team: r.Team,
		Term: b.term, Until: now.Add(r.class.maxRun()),
	}
	if r.needsJournal() {
		h.Key = r.Key
	}
	r.hold = h
	b.acquire(h)
}

// unreserve frees a slot that was reserved and not granted.
func (b *Broker) unreserve(r *request) {
	b.release(r.hold)
	r.hold = nil
}

// grant emits the grant of the reserved slot. The maximum run time counts
// from now.
func (b *Broker) grant(now time.Time, r *request) {
	r.stage = _held
	h := r.hold
	h.Until = now.Add(r.class.maxRun())
	heap.Fix(&b.holds.heap, h.index)
	b.emit(h.grant())
}
