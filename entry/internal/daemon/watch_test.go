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
func connectedTo(names string) map[string]peer.Status {
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
	d := failureDetector{self: "a"}
	for _, c := range []struct {
		after          time.Duration
		connected      string
		lost, suspects string
	}{
		{0, "bcde", "", ""},
		{0, "bc", "de", ""}, // They may be starting.
		{_connectGrace - 1, "bc", "", ""},
		{_connectGrace, "bcde", "", ""},
		{_connectGrace, "bc", "de", "de"},
		{_connectGrace, "bc", "", "de"},
		{_connectGrace, "b", "c", ""}, // It may be this entry that is cut off.
	} {
		lost, suspects := d.checkConnections(_start.Add(c.after), f.View(), connectedTo(c.connected))
		assert.Equal(t, names(lost), c.lost, "%+v", c)
		assert.Equal(t, names(suspects), c.suspects, "%+v", c)
	}
	f.Suspect(t, "a", "d", 1)
	f.Apply(t, &record.Record{Writer: "e", Body: &record.Record_EntryLeaving{
		EntryLeaving: &record.EntryLeaving{Entry: "e", Incarnation: 1},
	}})
	_, suspects := d.checkConnections(_start.Add(_connectGrace), f.View(), connectedTo("bc"))
	assert.Equal(t, names(suspects), "", "suspects and leaving entries were suspects")
	f.Register(t, "d", 2)
	_, suspects = d.checkConnections(_start.Add(_connectGrace), f.View(), connectedTo("bc"))
	assert.Equal(t, names(suspects), "", "a new process had no time to connect")
	_, suspects = d.checkConnections(_start.Add(2*_connectGrace), f.View(), connectedTo("bc"))
	assert.Equal(t, names(suspects), "d")
}

func TestLostEntriesAreUnregistered(t *testing.T) {
	f := newFleet(t, 4)
	f.Suspect(t, "a", "d", 1)
	lag := f.View().Config().Fleet().LiveListLag()
	assert.Assert(t, lag > 0)
	d := failureDetector{self: "a"}
	d.addLiveList(_start, listAsOf(0, "abc"))
	d.addLiveList(_start.Add(lag), listAsOf(lag, "abc"))
	for _, c := range []struct {
		after     time.Duration
		connected string
		lost      string
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
		assert.Equal(t, names(d.lost(_start.Add(c.after), f.View(), connectedTo(c.connected))), c.lost, "%+v", c)
	}
	three := newFleet(t, 3)
	d = failureDetector{self: "a"}
	d.addLiveList(_start, listAsOf(0, "ab"))
	d.addLiveList(_start.Add(lag), listAsOf(lag, "ab"))
	for range 2 {
		assert.Equal(t, names(d.lost(_start, three.View(), connectedTo("b"))), "")
		assert.Equal(t, names(d.lost(_start.Add(lag), three.View(), connectedTo("b"))), "", "no suspect")
	}
}

// TestSilentEntryOnTheListStaysRegistered has the platform's list contradict the
// silence, and say nothing of entries at all.
func TestSilentEntryOnTheListStaysRegistered(t *testing.T) {
	f := newFleet(t, 4)
	f.Suspect(t, "a", "d", 1)
	lag := f.View().Config().Fleet().LiveListLag()
	d := failureDetector{self: "a"}
	d.lost(_start, f.View(), connectedTo("bc"))
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
		d.addLiveList(now, listAsOf(c.after, c.list))
		assert.Equal(t, names(d.lost(now, f.View(), connectedTo("bc"))), c.lost, "%+v", c)
	}
}

// lists returns the platform's list as of a time, with hosts named in one word.
func listAsOf(asOf time.Duration, names string) []platform.LiveHost {
	var l []platform.LiveHost
	for _, n := range names {
		l = append(l, platform.NewLiveHost(string(n), platform.HostLive, _start.Add(asOf)))
	}
	return l
}

func TestSuspicionIsLiftedAfterAPause(t *testing.T) {
	f := newFleet(t, 5)
	v := f.View()
	d := failureDetector{self: "a"}
	now := _start
	for i, pause := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		pause *= time.Second
		assert.Assert(t, !d.shouldLiftSuspicion(now, v, connectedTo("bc")), fmt.Sprint(i))
		assert.Assert(t, !d.shouldLiftSuspicion(now.Add(pause-1), v, connectedTo("bc")), fmt.Sprint(i))
		now = now.Add(pause)
		assert.Assert(t, d.shouldLiftSuspicion(now, v, connectedTo("bc")), fmt.Sprint(i))
	}
	assert.Assert(t, !d.shouldLiftSuspicion(now.Add(_maxLiftDelay), v, connectedTo("b")), "it hears too few")
	now = now.Add(2 * _maxLiftDelay)
	assert.Assert(t, !d.shouldLiftSuspicion(now, v, connectedTo("bc")), "the pause did not begin anew")
	d.notSuspected()
	assert.Assert(t, !d.shouldLiftSuspicion(now.Add(_maxLiftDelay), v, connectedTo("bc")), "the pause did not begin anew")

	d = failureDetector{self: "a"}
	v = newFleet(t, 2).View()
	assert.Assert(t, !d.shouldLiftSuspicion(_start, v, nil))
	assert.Assert(t, d.shouldLiftSuspicion(_start.Add(_minLiftDelay), v, nil), "of two, neither hears a majority")
}

func TestStepsAreConfirmedOnIdleHosts(t *testing.T) {
	f := newFleet(t, 2)
	o := f.Drain(t, "h1")
	idle := map[string]bool{"h2": true}
	check := func(entry string) int {
		return len(confirmableSteps(f.View(), entry, func(h string) bool { return idle[h] }))
	}
	assert.Equal(t, check("a"), 0, "a busy host was confirmed")
	idle["h1"] = true
	assert.Equal(t, check("a"), 1)
	assert.Equal(t, check("c"), 0, "an entry confirmed that isn't waited for")
	l := confirmableSteps(f.View(), "a", func(string) bool { return true })
	assert.Equal(t, l[0].GetHost(), "h1")
	assert.Equal(t, l[0].GetOffset(), o)
	f.Apply(t, &record.Record{Writer: "a", Body: &record.Record_Confirm{
		Confirm: &record.Confirm{Entry: "a", Incarnation: 1, Steps: l},
	}})
	assert.Equal(t, check("a"), 0)
	assert.Equal(t, check("b"), 1)
}
