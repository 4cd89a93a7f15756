package hold

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/internal/viewtest"
)

var (
	_now  = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	_self = broker.Entry{Name: "e1", Incarnation: 1}
)

// registered returns a table of entry e1 with a fresh view, and the fleet that
// the view comes from.
func registered(t *testing.T) (*Table, *viewtest.Fleet) {
	var f viewtest.Fleet
	f.Configure(t, viewtest.Small)
	f.Register(t, "e1", 1)
	f.Register(t, "e2", 2)
	f.Register(t, "e3", 3)
	b := New(_self, _now)
	b.SetView(f.View())
	b.SetFreshUntil(_now.Add(time.Second))
	return b, &f
}

// grant returns a hold granted by the pool's current broker.
func grant(f *viewtest.Fleet, slot uint64, host string) broker.Hold {
	o, _ := f.View().Broker("fitting")
	return broker.Hold{Slot: slot, Host: host, Entry: _self, Term: o.Term(), Until: _now.Add(time.Minute)}
}

func TestAdmitErrors(t *testing.T) {
	cases := []struct {
		name string
		do   func(*testing.T, *Table, *viewtest.Fleet)
		want error
	}{
		{"admitted", func(*testing.T, *Table, *viewtest.Fleet) {}, nil},
		{"view older than the bound", func(_ *testing.T, b *Table, _ *viewtest.Fleet) {
			b.start = b.start.Add(-2 * time.Second)
		}, ErrStale},
		{"another process registered", func(t *testing.T, b *Table, f *viewtest.Fleet) {
			f.Register(t, "e1", 9)
			b.SetView(f.View())
		}, ErrUnregistered},
		{"host is draining", func(t *testing.T, b *Table, f *viewtest.Fleet) {
			f.Drain(t, "h1")
			b.SetView(f.View())
		}, ErrHostUnavailable},
		{"newer broker in the view", func(t *testing.T, b *Table, f *viewtest.Fleet) {
			o, _ := f.View().Broker("fitting")
			by := "e1"
			if o.Entry() == by {
				by = "e2"
			}
			f.Suspect(t, by, o.Entry(), o.Incarnation())
			b.SetView(f.View())
		}, ErrOldBroker},
		{"reported to a newer broker", func(_ *testing.T, b *Table, f *viewtest.Fleet) {
			o, _ := f.View().Broker("fitting")
			_, ok := b.Report(_now, "fitting", Broker{Entry: "e2", Term: o.Term() + 1})
			if !ok {
				panic("newer broker was refused")
			}
		}, ErrOldBroker},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b, f := registered(t)
			h := grant(f, 1, "h1")
			c.do(t, b, f)
			assert.Equal(t, b.Admit(_now, "fitting", h), c.want)
			assert.Equal(t, b.Idle("h1"), c.want != nil)
		})
	}
}

func TestOlderViewIsIgnored(t *testing.T) {
	b, f := registered(t)
	old := f.View()
	h := grant(f, 1, "h1")
	f.Drain(t, "h1")
	b.SetView(f.View())
	b.SetView(old)
	assert.Equal(t, b.Admit(_now, "fitting", h), ErrHostUnavailable)
}

func TestReportHasOwnAndWitnessedHolds(t *testing.T) {
	b, f := registered(t)
	h := grant(f, 1, "h1")
	assert.NilError(t, b.Admit(_now, "fitting", h))
	other := grant(f, 2, "h2")
	other.Entry = broker.Entry{Name: "e2", Incarnation: 2}
	assert.Assert(t, b.AddWitnessed(_now, "fitting", other.Term, other))
	l, ok := b.Report(_now, "fitting", Broker{Entry: "e3", Term: h.Term + 1})
	assert.Assert(t, ok)
	assert.Equal(t, len(l), 2)

	_, ok = b.Report(_now, "fitting", Broker{Entry: "e2", Term: h.Term})
	assert.Assert(t, !ok, "holds were reported to an older broker")
	assert.Assert(t, !b.AddWitnessed(_now, "fitting", other.Term, other), "a hold was recorded for an older broker")

	assert.DeepEqual(t, b.Release("fitting", 1, broker.Answered), Broker{Entry: "e3", Term: h.Term + 1})
	assert.Assert(t, b.Idle("h1"))
}

func TestExpiredWitnessedHoldIsRemoved(t *testing.T) {
	b, f := registered(t)
	h := grant(f, 1, "h1")
	h.Until = _now.Add(time.Second)
	assert.Assert(t, b.AddWitnessed(_now, "fitting", h.Term, h))
	later := grant(f, 2, "h1")
	assert.Assert(t, b.AddWitnessed(_now.Add(2*time.Second), "fitting", later.Term, later))
	l, _ := b.Report(_now.Add(2*time.Second), "fitting", Broker{Entry: "e2", Term: h.Term})
	assert.Equal(t, len(l), 1)
	assert.Equal(t, l[0].Slot, uint64(2))
}

func TestLostAttemptIsReportedUntilHoldExpires(t *testing.T) {
	b, f := registered(t)
	h := grant(f, 1, "h1")
	assert.NilError(t, b.Admit(_now, "fitting", h))
	b.Release("fitting", 1, broker.Lost)
	l, _ := b.Report(_now, "fitting", Broker{Entry: "e2", Term: h.Term})
	assert.Equal(t, len(l), 1, "the slot of a request that may still run was not reported")
	l, _ = b.Report(h.Until.Add(time.Second), "fitting", Broker{Entry: "e2", Term: h.Term})
	assert.Equal(t, len(l), 0)
}
