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

// stand is a pipe whose broker answers from a script, with one upstream.
type stand struct {
	pipe  *Forwarder
	fleet viewtest.Fleet
	runs  atomic.Int64

	mu        sync.Mutex
	asks      []broker.Ask
	done      []broker.Result
	cancelled int
	witnessed int
}

// newStand returns a stand; its broker answers the n-th ask, from zero.
func newStand(t *testing.T, up http.HandlerFunc, answer func(s *stand, n int, a broker.Ask) (broker.Op, error)) *stand {
	s := &stand{}
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
		s.pipe.Wait()
		sender.Close()
		v.Close()
	})
	s.pipe = &Forwarder{Self: _self, Table: table, Sender: sender, Slots: Slots{
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

func (s *stand) count(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

// outcomes waits for what is in flight and returns how the grants ended.
func (s *stand) outcomes() []broker.Outcome {
	s.pipe.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []broker.Outcome
	for _, r := range s.done {
		l = append(l, r.Outcome)
	}
	return l
}

// serve sends a request through the pipe.
func (s *stand) serve(ctx context.Context, service, method, key string, left time.Duration) caller.End {
	var end caller.End
	h := caller.Handler{
		Ready: func() bool { return true },
		LookupService: func(n, _ string) (caller.Service, time.Duration, bool) {
			return caller.Service{Name: n, Pool: "fitting", Class: "counter", Idempotent: n == "sizeCheck"}, left, true
		},
		HasTeam: func(string) bool { return true },
		Serve: func(ctx context.Context, r caller.Request) caller.End {
			end = s.pipe.Serve(ctx, r)
			return end
		},
	}
	q := httptest.NewRequestWithContext(ctx, method, "/"+service+"/x", nil)
	q.Header.Set(caller.KeyHeader, key)
	h.ServeHTTP(httptest.NewRecorder(), q)
	return end
}

// grantOn returns a grant of the present broker's term, slot n on a host.
func (s *stand) grantOn(n int, a broker.Ask, host string) broker.Op {
	o, _ := s.fleet.View().Broker("fitting")
	return broker.Grant{
		Request: a.Request, Entry: _self, Slot: uint64(n + 1), Host: host, Term: o.Term(), Until: time.Now().Add(5 * time.Second),
	}
}

func alwaysGrant(s *stand, n int, a broker.Ask) (broker.Op, error) {
	return s.grantOn(n, a, []string{"h1", "h2"}[n%2]), nil
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) }

// abort reads the request and closes without an answer.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestAnswerIsWhole(t *testing.T) {
	s := newStand(t, ok, alwaysGrant)
	a, is := s.serve(t.Context(), "kitHold", http.MethodPost, "k1", time.Second).(caller.Answered)
	assert.Assert(t, is)
	assert.Equal(t, string(a.Body), "answer")
	assert.DeepEqual(t, s.outcomes(), []broker.Outcome{broker.Answered})
	assert.Assert(t, s.done[0].Answer != nil, "a keyed answer was not kept")
}

func TestLostOnceIsNotSentTwice(t *testing.T) {
	s := newStand(t, abort, alwaysGrant)
	_, is := s.serve(t.Context(), "kitHold", http.MethodPost, "k1", time.Second).(caller.Unknown)
	assert.Assert(t, is)
	assert.Equal(t, s.runs.Load(), int64(1))
	assert.DeepEqual(t, s.outcomes(), []broker.Outcome{broker.Lost})
}

func TestIdempotentGoesToAnotherHost(t *testing.T) {
	var first atomic.Bool
	s := newStand(t, func(w http.ResponseWriter, q *http.Request) {
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

func TestRefusalDoesNotHideARun(t *testing.T) {
	s := newStand(t, abort, func(s *stand, n int, a broker.Ask) (broker.Op, error) {
		if n > 0 {
			return broker.Refuse{Request: a.Request, Reason: broker.RetryBudget}, nil
		}
		return s.grantOn(n, a, "h1"), nil
	})
	_, is := s.serve(t.Context(), "sizeCheck", http.MethodGet, "", time.Second).(caller.Unknown)
	assert.Assert(t, is, "a request that may have run was called not run")
}

func TestDeadlineAnswersAtOnceAndTheSlotStays(t *testing.T) {
	release := make(chan struct{})
	s := newStand(t, func(w http.ResponseWriter, q *http.Request) {
		<-release
		ok(w, q)
	}, alwaysGrant)
	start := time.Now()
	end := s.serve(t.Context(), "kitHold", http.MethodPost, "k1", 50*time.Millisecond)
	assert.Assert(t, time.Since(start) < time.Second)
	u, is := end.(caller.Unknown)
	assert.Assert(t, is)
	assert.Equal(t, u.Status, http.StatusGatewayTimeout)
	assert.Equal(t, s.pipe.Table.Len(), 1, "the slot of a running request was given back")
	close(release)
	assert.DeepEqual(t, s.outcomes(), []broker.Outcome{broker.Answered})
	assert.Equal(t, s.pipe.Table.Len(), 0)
}

func TestHangUpWhileQueuedIsCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := newStand(t, ok, func(*stand, int, broker.Ask) (broker.Op, error) {
		cancel()
		return nil, errors.New("gave up")
	})
	_, is := s.serve(ctx, "sizeCheck", http.MethodGet, "", time.Second).(caller.NotRun)
	assert.Assert(t, is)
	assert.Equal(t, s.cancelled, 1)
	assert.Equal(t, s.runs.Load(), int64(0))
}

func TestKeyedRequestThatWaitedInVainIsUnknown(t *testing.T) {
	s := newStand(t, ok, func(*stand, int, broker.Ask) (broker.Op, error) {
		time.Sleep(10 * time.Millisecond)
		return nil, errors.New("no broker")
	})
	_, is := s.serve(t.Context(), "kitHold", http.MethodPost, "k1", 20*time.Millisecond).(caller.Unknown)
	assert.Assert(t, is)
}

func TestGateRefusesATrueNotRun(t *testing.T) {
	s := newStand(t, ok, alwaysGrant)
	s.fleet.Register(t, "e1", 9) // Another process took the name.
	s.pipe.Table.SetView(s.fleet.View())
	e, is := s.serve(t.Context(), "kitHold", http.MethodPost, "k1", time.Second).(caller.NotRun)
	assert.Assert(t, is)
	assert.Equal(t, e.Reason, "entryCutOff")
	assert.Equal(t, s.runs.Load(), int64(0))
	assert.DeepEqual(t, s.outcomes(), []broker.Outcome{broker.NotSent})
}

func TestStaleViewRefusesBeforeItAsks(t *testing.T) {
	s := newStand(t, ok, alwaysGrant)
	s.pipe.Now = func() time.Time { return time.Now().Add(time.Hour) }
	e, is := s.serve(t.Context(), "sizeCheck", http.MethodGet, "", time.Second).(caller.NotRun)
	assert.Assert(t, is)
	assert.Equal(t, e.Reason, "entryCutOff")
	assert.Equal(t, len(s.asks), 0)
	_ = s.serve(t.Context(), "kitHold", http.MethodPost, "k1", time.Second)
	assert.Equal(t, len(s.asks), 1, "a key may be running elsewhere")
}

func TestRepeatGetsTheFirstAnswer(t *testing.T) {
	stored := storeAnswer(upstream.NewAnswer(201, http.Header{"X": {"y"}}, []byte("first")))
	s := newStand(t, ok, func(_ *stand, _ int, a broker.Ask) (broker.Op, error) {
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
	s := newStand(t, ok, func(_ *stand, _ int, a broker.Ask) (broker.Op, error) {
		l = append(l, a.Key)
		return broker.Refuse{Request: a.Request, Reason: broker.Overload}, nil
	})
	s.serve(t.Context(), "kitHold", http.MethodPost, "k1", time.Second)
	s.serve(t.Context(), "other", http.MethodPost, "k1", time.Second)
	s.serve(t.Context(), "kitHold", http.MethodPost, "k1", time.Second)
	s.serve(t.Context(), "sizeCheck", http.MethodPost, "k1", time.Second)
	assert.Assert(t, l[0] != l[1])
	assert.Equal(t, l[0], l[2])
	assert.Assert(t, l[3].IsZero(), "an idempotent request was journaled")
}
