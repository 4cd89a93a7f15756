package broker_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fescuelanding/entry/broker"
)

const (
	_simSlots  = 2
	_simMaxRun = 10 * time.Second
	_staleness = 2 * time.Second
)

// simulation holds entries, their upstream runs and the brokers of one pool.
// All brokers but the last have been replaced and may not have learned of it.
type simulation struct {
	now        time.Time
	brokers    []*broker.Broker
	owners     []broker.Entry
	startedAt  []time.Time
	hosts      []broker.Host
	alive      map[broker.Entry]*process
	runs       map[uint64]broker.Grant
	sent       []broker.Grant
	ended      []uint64
	next       uint64
	dead       map[broker.Entry]time.Time
	runsByHost map[string]int
}

// process is a running entry: its holds, the runs whose end it can't observe,
// and the newest term it has reported to.
type process struct {
	term  uint64
	holds map[uint64]broker.Grant
	lost  map[uint64]broker.Grant
}

func newProcess(term uint64) *process {
	return &process{term: term, holds: make(map[uint64]broker.Grant), lost: make(map[uint64]broker.Grant)}
}

func newSimulation() *simulation {
	w := &simulation{
		now: _epoch, alive: make(map[broker.Entry]*process), runs: make(map[uint64]broker.Grant),
		runsByHost: make(map[string]int), dead: make(map[broker.Entry]time.Time),
	}
	for i := range 2 {
		w.hosts = append(w.hosts, broker.Host{
			Name: fmt.Sprintf("h%d", i), Rack: fmt.Sprintf("r%d", i), Slots: _simSlots, State: broker.Serving,
		})
	}
	for i := range 3 {
		w.alive[broker.Entry{Name: fmt.Sprintf("e%d", i), Incarnation: 1}] = newProcess(0)
	}
	w.takeover(w.entries()[0])
	for _, e := range w.entries() {
		w.report(e)
	}
	return w
}

func (w *simulation) entries() []broker.Entry {
	var es []broker.Entry
	for e := range w.alive {
		es = append(es, e)
	}
	slices.SortFunc(es, func(a, b broker.Entry) int { return int(a.Name[1]) - int(b.Name[1]) })
	return es
}

// takeover starts a broker that expects the running entries, and those that
// ended so recently that their requests may still run.
func (w *simulation) takeover(owner broker.Entry) {
	b := &broker.Broker{}
	b.SetLimits(w.now, broker.Limits{Classes: []broker.Class{{
		Name: "urgent", Urgency: broker.Urgent, Deadline: time.Minute, MaxRun: _simMaxRun,
	}}})
	b.SetHosts(w.now, w.hosts)
	w.brokers = append(w.brokers, b)
	w.owners = append(w.owners, owner)
	w.startedAt = append(w.startedAt, w.now)
	expected := w.entries()
	for e, at := range w.dead {
		if w.now.Sub(at) <= _simMaxRun+_staleness {
			expected = append(expected, e)
		}
	}
	w.take(b.Takeover(w.now, broker.Takeover{Term: uint64(len(w.brokers)), Owner: owner, Expected: expected, Staleness: _staleness}))
}

func (w *simulation) take(ops []broker.Op) {
	for _, o := range ops {
		if g, ok := o.(broker.Grant); ok {
			w.sent = append(w.sent, g)
		}
	}
}

// deliver delivers a grant to its entry, which starts the run.
func (w *simulation) deliver(t *rapid.T) {
	i := rapid.IntRange(0, len(w.sent)-1).Draw(t, "grant")
	g := w.sent[i]
	w.sent = slices.Delete(w.sent, i, i+1)
	p := w.alive[g.Entry]
	if p == nil || g.Term < p.term || !w.now.Before(g.Until) {
		return
	}
	p.holds[g.Slot] = g
	w.runs[g.Slot] = g
	w.runsByHost[g.Host]++
	if w.runsByHost[g.Host] > _simSlots {
		t.Fatalf("host %s has %d runs, more than its slots", g.Host, w.runsByHost[g.Host])
	}
}

func (w *simulation) end(slot uint64) {
	if g, ok := w.runs[slot]; ok {
		delete(w.runs, slot)
		w.runsByHost[g.Host]--
	}
}

func (w *simulation) report(e broker.Entry) {
	p := w.alive[e]
	p.term = uint64(len(w.brokers))
	var hs []broker.Hold
	all := maps.Clone(p.holds)
	maps.Copy(all, p.lost)
	for _, g := range all {
		hs = append(hs, broker.Hold{
			Slot: g.Slot, Request: g.Request, Entry: e, Host: g.Host, Class: "urgent", Term: g.Term, Until: g.Until,
		})
	}
	w.take(w.last().Report(w.now, e, hs))
}

// granting returns the last broker and those that may not have learned that
// they were replaced.
func (w *simulation) granting() []*broker.Broker {
	i := len(w.brokers) - 1
	for i > 0 && w.now.Sub(w.startedAt[i]) <= _staleness {
		i--
	}
	return w.brokers[i:]
}

func (w *simulation) last() *broker.Broker {
	return w.brokers[len(w.brokers)-1]
}

// advance moves the clock forward. Runs end no later than their holds expire.
func (w *simulation) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for s, g := range w.runs {
		if !w.now.Before(g.Until) {
			w.end(s)
			if p := w.alive[g.Entry]; p != nil {
				delete(p.holds, s)
				delete(p.lost, s)
			}
		}
	}
	for _, b := range w.granting() {
		w.take(b.Tick(w.now))
	}
}

// finish ends a run at its entry; the report of it to the broker follows
// later.
func (w *simulation) finish(t *rapid.T) {
	p := w.alive[rapid.SampledFrom(w.entries()).Draw(t, "entry")]
	for _, s := range slices.Sorted(maps.Keys(p.holds)) {
		delete(p.holds, s)
		w.end(s)
		w.ended = append(w.ended, s)
		return
	}
}

// TestSlotsHoldThroughTakeovers checks that a host never has more runs than
// slots while entries crash, brokers are replaced, and grants and reports
// arrive late or twice.
func TestSlotsHoldThroughTakeovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation()
		entry := func() broker.Entry { return rapid.SampledFrom(w.entries()).Draw(t, "entry") }
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				w.next++
				bs := w.granting()
				b := bs[rapid.IntRange(0, len(bs)-1).Draw(t, "broker")]
				w.take(b.Ask(w.now, broker.Ask{Request: w.next, Entry: entry(), Class: "urgent", Idempotent: true}))
			},
			"deliver": func(t *rapid.T) {
				if len(w.sent) > 0 {
					w.deliver(t)
				}
			},
			"finish": w.finish,
			"done": func(t *rapid.T) {
				if len(w.ended) == 0 {
					return
				}
				s := rapid.SampledFrom(w.ended).Draw(t, "done")
				w.take(w.last().Done(w.now, s, broker.Result{Outcome: broker.Answered, Run: time.Second}))
			},
			"lose": func(t *rapid.T) {
				for _, e := range w.entries() {
					for s, g := range w.alive[e].holds {
						delete(w.alive[e].holds, s)
						w.alive[e].lost[s] = g
						w.take(w.last().Done(w.now, s, broker.Result{Outcome: broker.Lost}))
						return
					}
				}
			},
			"crash": func(t *rapid.T) {
				e := entry()
				delete(w.alive, e)
				w.dead[e] = w.now
				w.take(w.last().EntryLost(w.now, e))
				fresh := broker.Entry{Name: e.Name, Incarnation: e.Incarnation + 1}
				w.alive[fresh] = newProcess(uint64(len(w.brokers)))
				if w.owners[len(w.owners)-1] == e {
					w.takeover(entry())
				}
			},
			"takeover": func(t *rapid.T) { w.takeover(entry()) },
			"report":   func(t *rapid.T) { w.report(entry()) },
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}
