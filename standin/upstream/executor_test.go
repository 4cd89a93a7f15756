package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// faultCase is a case of testdata/faults.json.
type faultCase struct {
	Fault  Fault  `json:"fault"`
	Status int    `json:"status"` // zero if the connection is closed without an answer
	Body   string `json:"body"`
	ID     string `json:"id"`
	Cut    bool   `json:"cut"`
	Runs   int    `json:"runs"`
}

func startServer(t *testing.T) (*Server, string, string) {
	t.Helper()
	e := NewExecutor("h1", 0)
	s := NewServer(e)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		assert.Check(t, errors.Is(e.Serve(l), net.ErrClosed))
	}()
	t.Cleanup(func() { _ = l.Close(); <-done })
	c := httptest.NewServer(s)
	t.Cleanup(c.Close)
	return s, "http://" + l.Addr().String(), c.URL
}

func request(ctx context.Context, t *testing.T, url, id string, f Fault) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(strings.NewReader("body "+id)))
	assert.NilError(t, err)
	r.Header.Set(_attemptHeader, id)
	r.Header.Set(_keyHeader, "k")
	r.Header.Set(FaultHeader, string(f))
	return http.DefaultTransport.RoundTrip(r)
}

func TestFaults(t *testing.T) {
	text, err := os.ReadFile("testdata/faults.json")
	assert.NilError(t, err)
	var cases []faultCase
	assert.NilError(t, json.Unmarshal(text, &cases))
	for _, c := range cases {
		t.Run(string(c.Fault), func(t *testing.T) {
			s, u, _ := startServer(t)
			first, err := request(t.Context(), t, u, "a0", FaultNone)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, first.Body)
			assert.NilError(t, err)
			assert.NilError(t, first.Body.Close())
			c.check(t, u)
			assert.Equal(t, s.tally.read().Keys["k"], 1+c.Runs)
		})
	}
}

func (c faultCase) check(t *testing.T, url string) {
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	a, err := request(ctx, t, url, "a1", c.Fault)
	if c.Status == 0 {
		assert.Assert(t, err != nil)
		return
	}
	assert.NilError(t, err)
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	assert.Equal(t, err != nil, c.Cut)
	assert.Equal(t, a.StatusCode, c.Status)
	assert.Equal(t, string(b), c.Body)
	assert.Equal(t, a.Header.Get(_attemptHeader), c.ID)
}

// TestCounts holds one run more than there are slots, each on its own
// connection, and checks that the excess is counted. One run continues after
// its client has disconnected and must keep its slot until it ends.
func TestCounts(t *testing.T) {
	s, u, _ := startServer(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for n := range _maxSlots + 1 {
		f := FaultHang
		if n == 0 {
			f = FaultGhost
		}
		go func() {
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, u, strings.NewReader("x"))
			assert.Check(t, err)
			r.Header.Set(FaultHeader, string(f))
			r.Header.Set(RunHeader, "300ms")
			if a, err := http.DefaultTransport.RoundTrip(r); err == nil {
				_ = a.Body.Close()
			}
		}()
	}
	waitFor(t, s, func(g Gauge) bool { return g.Slots == _maxSlots+1 })
	cancel()
	waitFor(t, s, func(g Gauge) bool { return g.Slots == 1 })
	waitFor(t, s, func(g Gauge) bool { return g.Slots == 0 && g.Connections == 0 })
	g := s.executors[0].readGauge()
	assert.Equal(t, g.MaxSlots, _maxSlots+1)
	assert.Equal(t, g.OverSlots, 1)
	assert.Equal(t, g.MaxConnections, _maxSlots+1)
	assert.Equal(t, g.OverConnections, 0)
}

func waitFor(t *testing.T, s *Server, ok func(Gauge) bool) {
	t.Helper()
	for range 200 {
		if ok(s.executors[0].readGauge()) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("executor did not reach the expected state: %+v", s.executors[0].readGauge())
}

// TestFaultWithCount checks that a fault set by the control API applies only to
// the given number of requests.
func TestFaultWithCount(t *testing.T) {
	_, u, control := startServer(t)
	a, err := http.Post(control+"/control/fault", "application/json",
		strings.NewReader(`{"executor":"h1","fault":"fail","count":1}`))
	assert.NilError(t, err)
	assert.NilError(t, a.Body.Close())
	for _, want := range []int{http.StatusInternalServerError, http.StatusOK} {
		a, err := request(t.Context(), t, u, "a", FaultNone)
		assert.NilError(t, err)
		assert.NilError(t, a.Body.Close())
		assert.Equal(t, a.StatusCode, want)
	}
}
