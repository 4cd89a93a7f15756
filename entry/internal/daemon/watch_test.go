package daemon

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/internal/viewtest"
	"fescuelanding/entry/peer"
	"fescuelanding/fleet/platform"
	"fescuelanding/fleet/record"
)

var _start = time.Unix(1_000_000, 0)

// newFleet returns a configured fleet with entries a, b and so on.
func newFleet(t *testing.T, entries int) *viewtest.Fleet {
	f := &viewtest.Fleet{}
	f.Configure(t, viewtest.Small)
	for i := range entries {
		f.Register(t, string(rune('a'+i)), 1)
	}
	return f
}

// hears returns the statuses of connected entries, named in one word.
func hears(names string) map[string]peer.Status {
	m := map[string]peer.Status{}
	for _, n := range names {
		m[string(n)] = peer.Status{}
	}
	return m
}

func names(l []broker.Entry) string {
	var s strings.Builder
	for _, b := range l {
		s.WriteString(b.Name)
	}
	return s.String()
}

func TestSilentEntriesAreAccused(t *testing.T) {
	f := newFleet(t, 5)
	w := watch{self: "a"}
	for _, c := range []struct {
		after         time.Duration
		heard         string
		lost, accused string
	}{
		{0, "bcde", "", ""},
		{0, "bc", "de", ""}, // They may be starting.
		{_grace - 1, "bc", "", ""},
		{_grace, "bcde", "", ""},
		{_grace, "bc", "de", "de"},
		{_grace, "bc", "", "de"},
		{_grace, "b", "c", ""}, // It may be this entry that is cut off.
	} {
		lost, accused := w.silent(_start.Add(c.after), f.View(), hears(c.heard))
		assert.Equal(t, names(lost), c.lost, "%+v", c)
		assert.Equal(t, names(accused), c.accused, "%+v", c)
	}
	f.Suspect(t, "a", "d", 1)
	f.Apply(t, &record.Record{Writer: "e", Body: &record.Record_EntryLeaving{
		EntryLeaving: &record.EntryLeaving{Entry: "e", Incarnation: 1},
	}})
	_, accused := w.silent(_start.Add(_grace), f.View(), hears("bc"))
	assert.Equal(t, names(accused), "", "suspects and leaving entries were accused")
	f.Register(t, "d", 2)
	_, accused = w.silent(_start.Add(_grace), f.View(), hears("bc"))
	assert.Equal(t, names(accused), "", "a new process had no time to connect")
	_, accused = w.silent(_start.Add(2*_grace), f.View(), hears("bc"))
	assert.Equal(t, names(accused), "d")
}

func TestLostEntriesAreUnregistered(t *testing.T) {
	f := newFleet(t, 4)
	f.Suspect(t, "a", "d", 1)
	lag := f.View().Config().Fleet().LiveListLag()
	assert.Assert(t, lag > 0)
	w := watch{self: "a"}
	w.listed(_start, lists(0, "abc"))
	w.listed(_start.Add(lag), lists(lag, "abc"))
	for _, c := range []struct {
		after time.Duration
		heard string
		lost  string
	}{
		{0, "bc", ""},
		{lag - 1, "bc", ""},
		{lag, "b", ""}, // Half of them isn't a majority.
		{lag, "bc", "d"},
		{lag, "bcd", ""},
		{lag, "bc", ""}, // The silence begins anew.
		{2*lag - 1, "bc", ""},
		{2 * lag, "bc", "d"},
		{2 * lag, "b", ""},
	} {
		assert.Equal(t, names(w.lost(_start.Add(c.after), f.View(), hears(c.heard))), c.lost, "%+v", c)
	}
	three := newFleet(t, 3)
	w = watch{self: "a"}
	w.listed(_start, lists(0, "ab"))
	w.listed(_start.Add(lag), lists(lag, "ab"))
	for range 2 {
		assert.Equal(t, names(w.lost(_start, three.View(), hears("b"))), "")
		assert.Equal(t, names(w.lost(_start.Add(lag), three.View(), hears("b"))), "", "no suspect")
	}
}

// TestSilentEntryOnTheListStaysRegistered has the platform's list contradict the
// silence, and say nothing of entries at all.
func TestSilentEntryOnTheListStaysRegistered(t *testing.T) {
	f := newFleet(t, 4)
	f.Suspect(t, "a", "d", 1)
	lag := f.View().Config().Fleet().LiveListLag()
	w := watch{self: "a"}
	w.lost(_start, f.View(), hears("bc"))
	for _, c := range []struct {
		after time.Duration
		list  string
		lost  string
	}{
		{lag, "abcd", ""},
		{2 * lag, "abc", ""}, // The list may lag.
		{3 * lag, "abc", "d"},
		{3 * lag, "h", ""}, // Entries are not on this list.
		{4 * lag, "abc", ""},
		{5*lag - 1, "abc", ""},
		{5 * lag, "abc", "d"},
		{6 * lag, "abcd", ""},
	} {
		now := _start.Add(c.after)
		w.listed(now, lists(c.after, c.list))
		assert.Equal(t, names(w.lost(now, f.View(), hears("bc"))), c.lost, "%+v", c)
	}
}

// lists returns the platform's list as of a time, with hosts named in one word.
func lists(asOf time.Duration, names string) []platform.LiveHost {
	var l []platform.LiveHost
	for _, n := range names {
		l = append(l, platform.NewLiveHost(string(n), platform.HostLive, _start.Add(asOf)))
	}
	return l
}

func TestSuspicionIsLiftedAfterAPause(t *testing.T) {
	f := newFleet(t, 5)
	v := f.View()
	w := watch{self: "a"}
	now := _start
	for i, pause := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		pause *= time.Second
		assert.Assert(t, !w.alive(now, v, hears("bc")), fmt.Sprint(i))
		assert.Assert(t, !w.alive(now.Add(pause-1), v, hears("bc")), fmt.Sprint(i))
		now = now.Add(pause)
		assert.Assert(t, w.alive(now, v, hears("bc")), fmt.Sprint(i))
	}
	assert.Assert(t, !w.alive(now.Add(_aliveLongest), v, hears("b")), "it hears too few")
	now = now.Add(2 * _aliveLongest)
	assert.Assert(t, !w.alive(now, v, hears("bc")), "the pause did not begin anew")
	w.cleared()
	assert.Assert(t, !w.alive(now.Add(_aliveLongest), v, hears("bc")), "the pause did not begin anew")

	w = watch{self: "a"}
	v = newFleet(t, 2).View()
	assert.Assert(t, !w.alive(_start, v, nil))
	assert.Assert(t, w.alive(_start.Add(_aliveFirst), v, nil), "of two, neither hears a majority")
}

func TestStepsAreConfirmedOnIdleHosts(t *testing.T) {
	f := newFleet(t, 2)
	o := f.Drain(t, "h1")
	idle := map[string]bool{"h2": true}
	check := func(entry string) int { return len(confirmed(f.View(), entry, func(h string) bool { return idle[h] })) }
	assert.Equal(t, check("a"), 0, "a busy host was confirmed")
	idle["h1"] = true
	assert.Equal(t, check("a"), 1)
	assert.Equal(t, check("c"), 0, "an entry confirmed that isn't waited for")
	l := confirmed(f.View(), "a", func(string) bool { return true })
	assert.Equal(t, l[0].GetHost(), "h1")
	assert.Equal(t, l[0].GetOffset(), o)
	f.Apply(t, &record.Record{Writer: "a", Body: &record.Record_Confirm{
		Confirm: &record.Confirm{Entry: "a", Incarnation: 1, Steps: l},
	}})
	assert.Equal(t, check("a"), 0)
	assert.Equal(t, check("b"), 1)
}
