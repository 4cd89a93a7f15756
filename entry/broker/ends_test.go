package broker_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/keys"
)

// driver asks one broker at random and judges every end it gives.
type driver struct {
	b       broker.Broker
	journal keys.Journal
	now     time.Time
	next    uint64
	offset  uint64
	open    map[uint64]asked
	granted map[uint64]broker.Grant
	waiting map[uint64]broker.Journal
	byTeam  map[string]int
	byHost  map[string]int
	runs    map[keys.Key]int
	lost    []lostRun
}

// lostRun is a run whose end isn't known before it must have ended.
type lostRun struct {
	until time.Time
	team  string
	host  string
}

type asked struct {
	broker.Ask
	at time.Time
}

var _driverLimits = broker.Limits{
	Classes: []broker.Class{
		{Name: "urgent", Urgency: broker.Urgent, StartWithin: _startWithin, Deadline: 3 * time.Second, MaxRun: _worldMaxRun},
		{Name: "relaxed", Deadline: time.Minute, MaxRun: _worldMaxRun},
	},
	Teams: []broker.Team{{Name: "one", Quota: 1}, {Name: "two", Quota: 2, Weight: 3}, {Name: "any"}},
}

func newDriver() *driver {
	d := &driver{
		now: _epoch, open: make(map[uint64]asked), granted: make(map[uint64]broker.Grant),
		waiting: make(map[uint64]broker.Journal), byTeam: make(map[string]int), byHost: make(map[string]int),
		runs: make(map[keys.Key]int),
	}
	d.b.SetKeyJournal(&d.journal)
	d.b.SetLimits(d.now, _driverLimits)
	d.b.SetHosts(d.now, []broker.Host{
		{Name: "h0", Rack: "r0", Slots: _worldSlots, State: broker.Serving},
		{Name: "h1", Rack: "r1", Slots: _worldSlots, State: broker.Serving},
	})
	return d
}

func (d *driver) take(t *rapid.T, ops []broker.Op) {
	for _, o := range ops {
		switch o := o.(type) {
		case broker.Grant:
			d.grant(t, o)
		case broker.Refuse:
			d.close(t, o.Request)
		case broker.Repeat:
			d.close(t, o.Request)
		case broker.Journal:
			d.waiting[o.Request] = o
		}
	}
}

// close counts the end of a request; a second one fails the test.
func (d *driver) close(t *rapid.T, id uint64) asked {
	a, ok := d.open[id]
	if !ok {
		t.Fatalf("request %d has a second end", id)
	}
	delete(d.open, id)
	return a
}

func (d *driver) grant(t *rapid.T, g broker.Grant) {
	a := d.close(t, g.Request)
	if w := d.now.Sub(a.at); a.Class == "urgent" && a.Key.IsZero() && w > _startWithin {
		t.Fatalf("urgent request %d started after %v", g.Request, w)
	}
	d.granted[g.Request] = g
	d.byTeam[a.Team]++
	d.byHost[g.Host]++
	for _, k := range _driverLimits.Teams {
		if k.Quota > 0 && d.byTeam[k.Name] > k.Quota {
			t.Fatalf("team %s holds %d", k.Name, d.byTeam[k.Name])
		}
	}
	if d.byHost[g.Host] > _worldSlots {
		t.Fatalf("%s runs %d", g.Host, d.byHost[g.Host])
	}
	d.granted[g.Request] = g
	d.open[g.Request+_heldMark] = a
	if a.Key.IsZero() {
		return
	}
	if d.runs[a.Key]++; d.runs[a.Key] > 1 {
		t.Fatalf("key %v runs again", a.Key)
	}
}

// _heldMark sets the numbers of granted requests apart from those that wait.
const _heldMark = 1 << 32

func (d *driver) done(t *rapid.T, id uint64, o broker.Outcome) {
	g := d.granted[id]
	a := d.open[id+_heldMark]
	delete(d.granted, id)
	delete(d.open, id+_heldMark)
	if o == broker.Lost {
		d.lost = append(d.lost, lostRun{until: g.Until, team: a.Team, host: g.Host})
	} else {
		d.byTeam[a.Team]--
		d.byHost[g.Host]--
	}
	if o == broker.NotSent && !a.Key.IsZero() {
		d.runs[a.Key]--
	}
	d.take(t, d.b.Done(d.now, g.Slot, broker.Result{Outcome: o, Run: 500 * time.Millisecond}))
}

func (d *driver) ask(t *rapid.T) {
	d.next++
	a := broker.Ask{
		Request: d.next, Entry: broker.Entry{Name: "e1"}, Service: "s", Idempotent: true,
		Class: rapid.SampledFrom([]string{"urgent", "relaxed"}).Draw(t, "class"),
		Team:  rapid.SampledFrom([]string{"one", "two", "any"}).Draw(t, "team"),
	}
	if k := rapid.IntRange(-6, 3).Draw(t, "key"); k > 0 {
		a.Key, a.Idempotent = keys.Key{byte(k)}, false
	}
	d.open[a.Request] = asked{Ask: a, at: d.now}
	d.take(t, d.b.Ask(d.now, a))
}

// journaled lets the key of a waiting request be read back, or lost.
func (d *driver) journaled(t *rapid.T, id uint64, res broker.JournalResult) {
	j := d.waiting[id]
	delete(d.waiting, id)
	if res == broker.JournalStarted {
		d.offset++
		ss, err := d.journal.Apply(d.offset, &keys.Record{Batches: []*keys.Batch{{Pool: "p", Keys: j.Key[:]}}})
		if err != nil {
			t.Fatal(err)
		}
		if ss[0].Verdict != keys.Started {
			res = broker.JournalDuplicate
		}
	}
	d.take(t, d.b.Journaled(d.now, id, res))
}

// pass lets time go on: lost runs end at the latest when their holds say.
func (d *driver) pass(t *rapid.T, by time.Duration) {
	d.now = d.now.Add(by)
	d.lost = slices.DeleteFunc(d.lost, func(l lostRun) bool {
		if d.now.Before(l.until) {
			return false
		}
		d.byTeam[l.team]--
		d.byHost[l.host]--
		return true
	})
	for _, id := range slices.Sorted(maps.Keys(d.granted)) {
		if !d.now.Before(d.granted[id].Until) {
			d.done(t, id, broker.Answered)
		}
	}
	d.take(t, d.b.Tick(d.now))
}

// settle lets everything that is open come to its end.
func (d *driver) settle(t *rapid.T) {
	for range 100 {
		for _, id := range slices.Sorted(maps.Keys(d.waiting)) {
			d.journaled(t, id, broker.JournalStarted)
		}
		for _, id := range slices.Sorted(maps.Keys(d.granted)) {
			d.done(t, id, broker.Answered)
		}
		d.pass(t, time.Second)
	}
	if len(d.open) > 0 {
		t.Fatalf("%d requests have no end", len(d.open))
	}
}

func TestEveryAskHasOneEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver()
		t.Repeat(map[string]func(*rapid.T){
			"ask":  d.ask,
			"ask2": d.ask,
			"cancel": func(t *rapid.T) {
				if d.next == 0 {
					return
				}
				id := rapid.Uint64Range(1, d.next).Draw(t, "id")
				if _, ok := d.granted[id]; !ok {
					delete(d.open, id)
				}
				d.take(t, d.b.Cancel(d.now, id))
			},
			"again": func(t *rapid.T) {
				if len(d.open) == 0 {
					return
				}
				id := slices.Min(slices.Collect(maps.Keys(d.open)))
				if id < _heldMark {
					d.take(t, d.b.Ask(d.now, d.open[id].Ask))
				}
			},
			"done": func(t *rapid.T) {
				if len(d.granted) == 0 {
					return
				}
				id := rapid.SampledFrom(slices.Sorted(maps.Keys(d.granted))).Draw(t, "id")
				o := rapid.SampledFrom([]broker.Outcome{broker.Answered, broker.NotSent, broker.Lost, broker.Failed}).Draw(t, "outcome")
				d.done(t, id, o)
			},
			"journaled": func(t *rapid.T) {
				if len(d.waiting) == 0 {
					return
				}
				id := rapid.SampledFrom(slices.Sorted(maps.Keys(d.waiting))).Draw(t, "id")
				res := rapid.SampledFrom([]broker.JournalResult{broker.JournalStarted, broker.JournalFailed}).Draw(t, "result")
				d.journaled(t, id, res)
			},
			"pass": func(t *rapid.T) {
				d.pass(t, time.Duration(rapid.IntRange(1, 700).Draw(t, "ms"))*time.Millisecond)
			},
			"": func(*rapid.T) {},
		})
		d.settle(t)
	})
}
