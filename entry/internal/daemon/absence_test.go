package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/fleet/platform"
)

func TestAbsenceCountsOnlyNewerLists(t *testing.T) {
	const host = "b"
	var a absenceTracker
	start := time.Unix(1000, 0)
	addList := func(asOf, now time.Duration, names ...string) {
		var l []platform.LiveHost
		for _, n := range names {
			l = append(l, platform.NewLiveHost(n, platform.HostLive, start.Add(asOf)))
		}
		a.add(l, start.Add(now))
	}
	assert.Equal(t, a.missingFor(host), time.Duration(0))
	addList(time.Second, time.Second, "a", host)
	addList(2*time.Second, 2*time.Second, "a")
	assert.Equal(t, a.missingFor(host), time.Duration(0)) // Absence counts from this list on.
	addList(2*time.Second, 9*time.Second, "a")            // The same list again is ignored.
	addList(9*time.Second, 9*time.Second)                 // An empty list is ignored.
	assert.Equal(t, a.missingFor(host), time.Duration(0))
	addList(5*time.Second, 5*time.Second, "a")
	assert.Equal(t, a.missingFor(host), 3*time.Second)
	addList(6*time.Second, 6*time.Second, "a", host)
	assert.Equal(t, a.missingFor(host), time.Duration(0))
	a.reset()
	addList(7*time.Second, 7*time.Second, "a")
	assert.Equal(t, a.missingFor(host), time.Duration(0))
}
