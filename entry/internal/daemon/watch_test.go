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

// connectedTo returns the statuses of connected entries. Each letter of names is
// the name of one.
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

func TestDisconnectedEntriesAreSuspected(t *testing.T) {
	f := newFleet(t, 5)
	d := failureDetector{self: "a"}
	for _, c := range []struct {
		after                  time.Duration
		connected              string
		disconnected, suspects string
	}{
		{0, "bcde", "", ""},
		{0, "bc", "de", ""}, // They may still be starting.
		{_connectGrace - 1, "bc", "", ""},
		{_connectGrace, "bcde", "", ""},
		{_connectGrace, "bc", "de", "de"},
		{_connectGrace, "bc", "", "de"},
		{_connectGrace, "b", "c", ""}, // It may be this entry that is cut off.
	} {
		disconnected, suspects := d.checkConnections(_start.Add(c.after), f.View(), connectedTo(c.connected))
		assert.Equal(t, names(disconnected), c.disconnected, "%+v", c)
		assert.Equal(t, names(suspects), c.suspects, "%+v", c)
	}
	f.Suspect(t, "a", "d", 1)
	f.Apply(t, &record.Record{Writer: "e", Body: &record.Record_EntryLeaving{
		EntryLeaving: &record.EntryLeaving{Entry: "e", Incarnation: 1},
	}})
	_, suspects := d.checkConnections(_start.Add(_connectGrace), f.View(), connectedTo("bc"))
	assert.Equal(t, names(suspects), "", "an entry that is suspected or leaving was suspected again")
	f.Register(t, "d", 2)
	_, suspects = d.checkConnections(_start.Add(_connectGrace), f.View(), connectedTo("bc"))
	assert.Equal(t, names(suspects), "", "a new process was suspected within the grace period")
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
		{lag, "b", ""}, // Half of the entries isn't a majority.
		{lag, "bc", "d"},
		{lag, "bcd", ""},
		{lag, "bc", ""}, // The time without a connection starts again.
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
		assert.Equal(t, names(d.lost(_start.Add(lag), three.View(), connectedTo("b"))), "", "an entry that isn't suspected was unregistered")
	}
}

// TestListedEntryStaysRegistered checks that a disconnected entry isn't
// unregistered while it is on the live list, or while the list covers no entries.
func TestListedEntryStaysRegistered(t *testing.T) {
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
		{2 * lag, "abc", ""}, // The live list may lag.
		{3 * lag, "abc", "d"},
		{3 * lag, "h", ""}, // This list covers no entries.
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

// listAsOf returns the platform's live list as of a time. Each letter of names is
// the name of one host.
func listAsOf(asOf time.Duration, names string) []platform.LiveHost {
	var l []platform.LiveHost
	for _, n := range names {
		l = append(l, platform.NewLiveHost(string(n), platform.HostLive, _start.Add(asOf)))
	}
	return l
}

func TestSuspicionIsLiftedAfterDelay(t *testing.T) {
	f := newFleet(t, 5)
	v := f.View()
	d := failureDetector{self: "a"}
	now := _start
	for i, delay := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		delay *= time.Second
		assert.Assert(t, !d.shouldLiftSuspicion(now, v, connectedTo("bc")), fmt.Sprint(i))
		assert.Assert(t, !d.shouldLiftSuspicion(now.Add(delay-1), v, connectedTo("bc")), fmt.Sprint(i))
		now = now.Add(delay)
		assert.Assert(t, d.shouldLiftSuspicion(now, v, connectedTo("bc")), fmt.Sprint(i))
	}
	assert.Assert(t, !d.shouldLiftSuspicion(now.Add(_maxLiftDelay), v, connectedTo("b")), "lifted without a majority")
	now = now.Add(2 * _maxLiftDelay)
	assert.Assert(t, !d.shouldLiftSuspicion(now, v, connectedTo("bc")), "the delay did not start again")
	d.recordNotSuspected()
	assert.Assert(t, !d.shouldLiftSuspicion(now.Add(_maxLiftDelay), v, connectedTo("bc")), "the delay did not start again")

	d = failureDetector{self: "a"}
	v = newFleet(t, 2).View()
	assert.Assert(t, !d.shouldLiftSuspicion(_start, v, nil))
	assert.Assert(t, d.shouldLiftSuspicion(_start.Add(_minLiftDelay), v, nil), "one of two entries needs no majority")
}

func TestStepsAreConfirmedOnIdleHosts(t *testing.T) {
	f := newFleet(t, 2)
	o := f.Drain(t, "h1")
	idle := map[string]bool{"h2": true}
	check := func(entry string) int {
		return len(confirmableSteps(f.View(), entry, func(h string) bool { return idle[h] }))
	}
	assert.Equal(t, check("a"), 0, "a step on a busy host was confirmed")
	idle["h1"] = true
	assert.Equal(t, check("a"), 1)
	assert.Equal(t, check("c"), 0, "an entry confirmed a step that doesn't wait for it")
	l := confirmableSteps(f.View(), "a", func(string) bool { return true })
	assert.Equal(t, l[0].GetHost(), "h1")
	assert.Equal(t, l[0].GetOffset(), o)
	f.Apply(t, &record.Record{Writer: "a", Body: &record.Record_Confirm{
		Confirm: &record.Confirm{Entry: "a", Incarnation: 1, Steps: l},
	}})
	assert.Equal(t, check("a"), 0)
	assert.Equal(t, check("b"), 1)
}
