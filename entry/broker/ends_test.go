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

// driver sends random asks to one broker and checks each result.
type driver struct {
	b       broker.Broker
	journal keys.Journal
	now     time.Time
	next    uint64
	offset  uint64
	// open holds the asks without a result, and the granted ones under their
	// request plus _grantedOffset.
	open    map[uint64]asked
	granted map[uint64]broker.Grant
	// toJournal holds the Journal ops whose result hasn't been reported.
	toJournal map[uint64]broker.Journal
	// heldByTeam and heldByHost count the slots taken.
	heldByTeam map[string]int
	heldByHost map[string]int
	runs       map[keys.Key]int
	lost       []lostRun
}

// lostRun is a run whose end isn't reported.
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
		{Name: "urgent", Urgency: broker.Urgent, StartWithin: _startWithin, Deadline: 3 * time.Second, MaxRun: _simMaxRun},
		{Name: "relaxed", Deadline: time.Minute, MaxRun: _simMaxRun},
	},
	Teams: []broker.Team{{Name: "one", Quota: 1}, {Name: "two", Quota: 2, Weight: 3}, {Name: "any"}},
}

func newDriver() *driver {
	d := &driver{
		now: _epoch, open: make(map[uint64]asked), granted: make(map[uint64]broker.Grant),
		toJournal: make(map[uint64]broker.Journal), heldByTeam: make(map[string]int), heldByHost: make(map[string]int),
		runs: make(map[keys.Key]int),
	}
	d.b.SetKeyJournal(&d.journal)
	d.b.SetLimits(d.now, _driverLimits)
	d.b.SetHosts(d.now, []broker.Host{
		{Name: "h0", Rack: "r0", Slots: _simSlots, State: broker.Serving},
		{Name: "h1", Rack: "r1", Slots: _simSlots, State: broker.Serving},
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
			d.toJournal[o.Request] = o
		}
	}
}

// close records the end of a request and fails the test if the request has
// ended before.
func (d *driver) close(t *rapid.T, id uint64) asked {
	a, ok := d.open[id]
	if !ok {
		t.Fatalf("request %d ended twice", id)
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
	d.heldByTeam[a.Team]++
	d.heldByHost[g.Host]++
	for _, k := range _driverLimits.Teams {
		if k.Quota > 0 && d.heldByTeam[k.Name] > k.Quota {
			t.Fatalf("team %s holds %d slots, more than its quota", k.Name, d.heldByTeam[k.Name])
		}
	}
	if d.heldByHost[g.Host] > _simSlots {
		t.Fatalf("host %s has %d holds, more than its slots", g.Host, d.heldByHost[g.Host])
	}
	d.granted[g.Request] = g
	d.open[g.Request+_grantedOffset] = a
	if a.Key.IsZero() {
		return
	}
	if d.runs[a.Key]++; d.runs[a.Key] > 1 {
		t.Fatalf("key %v ran twice", a.Key)
	}
}

// _grantedOffset separates granted requests from the others in the keys of
// open.
const _grantedOffset = 1 << 32

func (d *driver) done(t *rapid.T, id uint64, o broker.Outcome) {
	g := d.granted[id]
	a := d.open[id+_grantedOffset]
	delete(d.granted, id)
	delete(d.open, id+_grantedOffset)
	if o == broker.Lost {
		d.lost = append(d.lost, lostRun{until: g.Until, team: a.Team, host: g.Host})
	} else {
		d.heldByTeam[a.Team]--
		d.heldByHost[g.Host]--
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

// journaled reports the result of the Journal op of a request.
func (d *driver) journaled(t *rapid.T, id uint64, res broker.JournalResult) {
	j := d.toJournal[id]
	delete(d.toJournal, id)
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

// advance moves the clock forward. Lost runs end when their holds expire.
func (d *driver) advance(t *rapid.T, by time.Duration) {
	d.now = d.now.Add(by)
	d.lost = slices.DeleteFunc(d.lost, func(l lostRun) bool {
		if d.now.Before(l.until) {
			return false
		}
		d.heldByTeam[l.team]--
		d.heldByHost[l.host]--
		return true
	})
	for _, id := range slices.Sorted(maps.Keys(d.granted)) {
		if !d.now.Before(d.granted[id].Until) {
			d.done(t, id, broker.Answered)
		}
	}
	d.take(t, d.b.Tick(d.now))
}

// settle brings every open request to its end.
func (d *driver) settle(t *rapid.T) {
	for range 100 {
		for _, id := range slices.Sorted(maps.Keys(d.toJournal)) {
			d.journaled(t, id, broker.JournalStarted)
		}
		for _, id := range slices.Sorted(maps.Keys(d.granted)) {
			d.done(t, id, broker.Answered)
		}
		d.advance(t, time.Second)
	}
	if len(d.open) > 0 {
		t.Fatalf("%d requests did not end", len(d.open))
	}
}

// TestEveryAskHasOneEnd checks that each ask ends exactly once, whatever the
// order of events. It also checks that quotas and slots aren't exceeded, that
// urgent requests without a key start in time, and that a key runs at most
// once.
func TestEveryAskHasOneEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver()
		t.Repeat(map[string]func(*rapid.T){
			"ask":  d.ask,
			"ask2": d.ask, // Makes asks twice as likely as other actions.
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
			"repeatAsk": func(t *rapid.T) {
				if len(d.open) == 0 {
					return
				}
				id := slices.Min(slices.Collect(maps.Keys(d.open)))
				if id < _grantedOffset {
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
				if len(d.toJournal) == 0 {
					return
				}
				id := rapid.SampledFrom(slices.Sorted(maps.Keys(d.toJournal))).Draw(t, "id")
				res := rapid.SampledFrom([]broker.JournalResult{broker.JournalStarted, broker.JournalFailed}).Draw(t, "result")
				d.journaled(t, id, res)
			},
			"advance": func(t *rapid.T) {
				d.advance(t, time.Duration(rapid.IntRange(1, 700).Draw(t, "ms"))*time.Millisecond)
			},
			"": func(*rapid.T) {},
		})
		d.settle(t)
	})
}
