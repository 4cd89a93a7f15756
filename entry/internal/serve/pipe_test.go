package serve

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/caller"
	"fescuelanding/entry/internal/hold"
	"fescuelanding/entry/internal/viewtest"
	"fescuelanding/entry/keys"
	"fescuelanding/entry/upstream"
)

var _self = broker.Entry{Name: "e1", Incarnation: 1}

// harness is a forwarder with one upstream and a scripted broker.
type harness struct {
	forwarder *Forwarder
	fleet     viewtest.Fleet
	runs      atomic.Int64

	mu        sync.Mutex
	asks      []broker.Ask
	done      []broker.Result
	cancelled int
	witnessed int
}

// newHarness returns a harness. The function answer is called for each ask,
// with n counting from zero.
func newHarness(t *testing.T, up http.HandlerFunc, answer func(s *harness, n int, a broker.Ask) (broker.Op, error)) *harness {
	s := &harness{}
	s.fleet.Configure(t, viewtest.Small)
	s.fleet.Register(t, "e1", 1)
	s.fleet.Register(t, "e2", 2)
	now := time.Now()
	table := hold.New(_self, now)
	table.SetView(s.fleet.View())
	table.SetFreshUntil(now.Add(time.Minute))
	v := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		s.runs.Add(1)
		up(w, q)
	}))
	sender := &upstream.Sender{Dial: dialTo(v)}
	t.Cleanup(func() {
		s.forwarder.Wait()
		sender.Close()
		v.Close()
	})
	s.forwarder = &Forwarder{Self: _self, Table: table, Sender: sender, Slots: Slots{
		Ask: func(_ context.Context, _, _ string, a broker.Ask) (broker.Op, error) {
			s.mu.Lock()
			s.asks = append(s.asks, a)
			n := len(s.asks) - 1
			s.mu.Unlock()
			return answer(s, n, a)
		},
		Cancel: func(string, string, uint64) { s.count(&s.cancelled) },
		Done: func(_, _ string, _ uint64, r broker.Result) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.done = append(s.done, r)
			return nil
		},
		AddWitnessed: func(context.Context, string, string, broker.Hold) error {
			s.count(&s.witnessed)
			return nil
		},
		RemoveWitnessed: func(string, string, broker.Hold) {},
	}}
	return s
}

func (s *harness) count(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

// outcomes waits for the requests in flight and returns the outcomes of all
// grants.
func (s *harness) outcomes() []broker.Outcome {
	s.forwarder.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []broker.Outcome
	for _, r := range s.done {
		l = append(l, r.Outcome)
	}
	return l
}

// serve forwards a request with the given time until its deadline.
func (s *harness) serve(ctx context.Context, service, method, key string, left time.Duration) caller.End {
	var end caller.End
	h := caller.Handler{
		Ready: func() bool { return true },
		LookupService: func(n, _ string) (caller.Service, time.Duration, bool) {
			return caller.Service{Name: n, Pool: "fitting", Class: "counter", Idempotent: n == "sizeCheck"}, left, true
		},
		HasTeam: func(string) bool { return true },
		Serve: func(ctx context.Context, r caller.Request) caller.End {
			end = s.forwarder.Serve(ctx, r)
			return end
		},
	}
	q := httptest.NewRequestWithContext(ctx, method, "/"+service+"/x", nil)
	q.Header.Set(caller.KeyHeader, key)
	h.ServeHTTP(httptest.NewRecorder(), q)
	return end
}

// grantOn returns a grant for slot n+1 on a host, in the current broker's term.
func (s *harness) grantOn(n int, a broker.Ask, host string) broker.Op {
	o, _ := s.fleet.View().Broker("fitting")
	return broker.Grant{
		Request: a.Request, Entry: _self, Slot: uint64(n + 1), Host: host, Term: o.Term(), Until: time.Now().Add(5 * time.Second),
	}
}

func alwaysGrant(s *harness, n int, a broker.Ask) (broker.Op, error) {
	return s.grantOn(n, a, []string{"h1", "h2"}[n%2]), nil
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) }

// abort closes the connection without an answer.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestAnswerIsForwarded(t *testing.T) {
	s := newHarness(t, ok, alwaysGrant)
	a, is := s.serve(t.Context(), "kitHold", http.MethodPost, "k1", time.Second).(caller.Answered)
	assert.Assert(t, is)
	assert.Equal(t, string(a.Body), "answer")
	assert.DeepEqual(t, s.outcomes(), []broker.Outcome{broker.Answered})
	assert.Assert(t, s.done[0].Answer != nil, "the answer to a keyed request was not stored")
}

func TestNonIdempotentRequestIsNotRetriedAfterLoss(t *testing.T) {
	s := newHarness(t, abort, alwaysGrant)
	_, is := s.serve(t.Context(), "kitHold", http.MethodPost, "k1", time.Second).(caller.Unknown)
	assert.Assert(t, is)
	assert.Equal(t, s.runs.Load(), int64(1))
	assert.DeepEqual(t, s.outcomes(), []broker.Outcome{broker.Lost})
}

func TestIdempotentRequestIsRetriedOnAnotherHost(t *testing.T) {
	var first atomic.Bool
	s := newHarness(t, func(w http.ResponseWriter, q *http.Request) {
		if first.CompareAndSwap(false, true) {
			abort(w, q)
		}
		ok(w, q)
	}, alwaysGrant)
	_, is := s.serve(t.Context(), "sizeCheck", http.MethodPost, "", time.Second).(caller.Answered)
	assert.Assert(t, is)
	assert.DeepEqual(t, s.asks[1].Exclude, []string{"h1"})
	assert.Equal(t, s.asks[1].Attempt, 2)
	assert.Equal(t, s.asks[1].Request, s.asks[0].Request)
}

func TestRefusalDoesNotHideEarlierAttempt(t *testing.T) {
	s := newHarness(t, abort, func(s *harness, n int, a broker.Ask) (broker.Op, error) {
		if n > 0 {
			return broker.Refuse{Request: a.Request, Reason: broker.RetryBudget}, nil
		}
		return s.grantOn(n, a, "h1"), nil
	})
	_, is := s.serve(t.Context(), "sizeCheck", http.MethodGet, "", time.Second).(caller.Unknown)
	assert.Assert(t, is, "a request that may have run was reported as not run")
}

func TestDeadlineAnswersCallerAndKeepsSlot(t *testing.T) {
	release := make(chan struct{})
	s := newHarness(t, func(w http.ResponseWriter, q *http.Request) {
		<-release
		ok(w, q)
	}, alwaysGrant)
	start := time.Now()
	end := s.serve(t.Context(), "kitHold", http.MethodPost, "k1", 50*time.Millisecond)
	assert.Assert(t, time.Since(start) < time.Second)
	u, is := end.(caller.Unknown)
	assert.Assert(t, is)
	assert.Equal(t, u.Status, http.StatusGatewayTimeout)
	assert.Equal(t, s.forwarder.Table.Len(), 1, "the slot of a running request was returned")
	close(release)
	assert.DeepEqual(t, s.outcomes(), []broker.Outcome{broker.Answered})
	assert.Equal(t, s.forwarder.Table.Len(), 0)
}

func TestDisconnectWhileQueuedCancelsAsk(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := newHarness(t, ok, func(*harness, int, broker.Ask) (broker.Op, error) {
		cancel()
		return nil, errors.New("cancelled")
	})
	_, is := s.serve(ctx, "sizeCheck", http.MethodGet, "", time.Second).(caller.NotRun)
	assert.Assert(t, is)
	assert.Equal(t, s.cancelled, 1)
	assert.Equal(t, s.runs.Load(), int64(0))
}

func TestTimedOutKeyedRequestIsUnknown(t *testing.T) {
	s := newHarness(t, ok, func(*harness, int, broker.Ask) (broker.Op, error) {
		time.Sleep(10 * time.Millisecond)
		return nil, errors.New("no broker")
	})
	_, is := s.serve(t.Context(), "kitHold", http.MethodPost, "k1", 20*time.Millisecond).(caller.Unknown)
	assert.Assert(t, is)
}

func TestUnregisteredProcessSendsNothing(t *testing.T) {
	s := newHarness(t, ok, alwaysGrant)
	s.fleet.Register(t, "e1", 9) // Another process registers under the same name.
	s.forwarder.Table.SetView(s.fleet.View())
	e, is := s.serve(t.Context(), "kitHold", http.MethodPost, "k1", time.Second).(caller.NotRun)
	assert.Assert(t, is)
	assert.Equal(t, e.Reason, "entryCutOff")
	assert.Equal(t, s.runs.Load(), int64(0))
	assert.DeepEqual(t, s.outcomes(), []broker.Outcome{broker.NotSent})
}

func TestStaleViewRefusesUnkeyedRequestBeforeAsk(t *testing.T) {
	s := newHarness(t, ok, alwaysGrant)
	s.forwarder.Now = func() time.Time { return time.Now().Add(time.Hour) }
	e, is := s.serve(t.Context(), "sizeCheck", http.MethodGet, "", time.Second).(caller.NotRun)
	assert.Assert(t, is)
	assert.Equal(t, e.Reason, "entryCutOff")
	assert.Equal(t, len(s.asks), 0)
	_ = s.serve(t.Context(), "kitHold", http.MethodPost, "k1", time.Second)
	assert.Equal(t, len(s.asks), 1, "a keyed request was refused although its key may be running elsewhere")
}

func TestRepeatGetsFirstAnswer(t *testing.T) {
	stored := storeAnswer(upstream.NewAnswer(201, http.Header{"X": {"y"}}, []byte("first")))
	s := newHarness(t, ok, func(_ *harness, _ int, a broker.Ask) (broker.Op, error) {
		return broker.Repeat{Request: a.Request, Outcome: keys.Answered, Answer: stored}, nil
	})
	a, is := s.serve(t.Context(), "kitHold", http.MethodPost, "k1", time.Second).(caller.Answered)
	assert.Assert(t, is)
	assert.Equal(t, string(a.Body), "first")
	assert.Equal(t, a.Status, 201)
	assert.Equal(t, s.runs.Load(), int64(0))
}

func TestKeyDependsOnServiceAndTeam(t *testing.T) {
	var l []keys.Key
	s := newHarness(t, ok, func(_ *harness, _ int, a broker.Ask) (broker.Op, error) {
		l = append(l, a.Key)
		return broker.Refuse{Request: a.Request, Reason: broker.Overload}, nil
	})
	s.serve(t.Context(), "kitHold", http.MethodPost, "k1", time.Second)
	s.serve(t.Context(), "other", http.MethodPost, "k1", time.Second)
	s.serve(t.Context(), "kitHold", http.MethodPost, "k1", time.Second)
	s.serve(t.Context(), "sizeCheck", http.MethodPost, "k1", time.Second)
	assert.Assert(t, l[0] != l[1])
	assert.Equal(t, l[0], l[2])
	assert.Assert(t, l[3].IsZero(), "an idempotent request has a key")
}
