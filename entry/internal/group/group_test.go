package group

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/entry/member"
	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

// TestSlowStore joins through a store that answers each call late, and checks that the
// confirmations are never older than a member may use.
func TestSlowStore(t *testing.T) {
	for _, answer := range []time.Duration{380 * time.Millisecond, 420 * time.Millisecond, 480 * time.Millisecond} {
		t.Run(answer.String(), func(t *testing.T) {
			t.Parallel()
			l := joinsOf(t, answer, 3*time.Second)
			assert.Assert(t, len(l) > 3, "%v", l)
			for i, x := range l[1:] {
				age := x.at.Sub(l[i].confirmed)
				assert.Assert(t, age < member.MaxConfirmationAge, "confirmation %d was %v old", i, age)
			}
		})
	}
}

// TestVerySlowStore joins through a store whose answers take longer than the usual time-out.
func TestVerySlowStore(t *testing.T) {
	t.Parallel()
	assert.Assert(t, len(joinsOf(t, 750*time.Millisecond, 4*time.Second)) > 1)
}

// TestRefreshEndsWithCaller asks for the owners with less time than the store takes.
func TestRefreshEndsWithCaller(t *testing.T) {
	t.Parallel()
	s := &serve.Store{
		Owners: func(string) map[int]string { return map[int]string{1: "10.0.0.2:7180/1/1000"} },
		Intercept: func(http.ResponseWriter, *http.Request) bool {
			time.Sleep(500 * time.Millisecond)
			return false
		},
	}
	w := httptest.NewServer(s)
	defer w.Close()
	g := New(platform.NewStore(w.Listener.Addr().String(), 8), "10.0.0.1:7180", "1", 1000)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	start := time.Now()
	assert.Assert(t, !g.Refresh(ctx))
	assert.Assert(t, time.Since(start) < 400*time.Millisecond)
	assert.Assert(t, g.Refresh(t.Context()), "the query goes on for others")
	address, _ := g.Owner(1)
	assert.Equal(t, address, "10.0.0.2:7180")
}

// join is an answered join: when it was answered, and from when it confirms the membership.
type join struct{ at, confirmed time.Time }

// joinsOf runs a member for a time while the store answers each call after a delay, with a new
// generation every other time, and returns its answered joins.
func joinsOf(t *testing.T, answer, during time.Duration) []join {
	t.Helper()
	var joins atomic.Int64
	s := &serve.Store{
		Join: func(serve.Member) platform.Membership {
			return platform.Membership{Generation: 1 + joins.Add(1)/2, Partitions: []int{0}}
		},
		Owners: func(string) map[int]string { return nil },
		Intercept: func(http.ResponseWriter, *http.Request) bool {
			time.Sleep(answer)
			return false
		},
	}
	w := httptest.NewServer(s)
	defer w.Close()
	g := New(platform.NewStore(w.Listener.Addr().String(), 8), "10.0.0.1:7180", "1", 1000)
	var l []join
	g.OnJoined = func(a member.Assignment) { l = append(l, join{time.Now(), a.ConfirmedAt}) }
	g.OnOthersMustRejoin = func() {}
	g.OnStoreStatus = func(error) {}
	ctx, cancel := context.WithTimeout(t.Context(), during)
	defer cancel()
	g.Run(ctx)
	return l
}
