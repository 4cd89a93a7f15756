package platform

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	client "fescuelanding/fleet/platform"

	"gotest.tools/v3/assert"
)

const _stream = "fleet"

func start(t *testing.T, s *Server) string {
	t.Helper()
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	return h.URL
}

func control(t *testing.T, url, body string) {
	t.Helper()
	a, err := http.Post(url, "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	assert.Equal(t, a.StatusCode, http.StatusOK, "%s", b)
}

func newClient(url string) *client.Client {
	return client.New(url, client.WithCallTimeout(100*time.Millisecond), client.WithRetryFor(time.Millisecond))
}

func TestAppendAndLongPoll(t *testing.T) {
	c := newClient(start(t, &Server{}))
	got := make(chan client.Batch, 1)
	go func() {
		b, err := c.Read(t.Context(), _stream, 1, 5*time.Second)
		assert.Check(t, err)
		got <- b
	}()
	time.Sleep(10 * time.Millisecond)
	o, err := c.Append(t.Context(), _stream, []byte("a"))
	assert.NilError(t, err)
	assert.Equal(t, o, uint64(1))
	b := <-got
	assert.Equal(t, b.Head(), uint64(1))
	assert.Equal(t, string(b.Records()[0].Data()), "a")
	b, err = c.Read(t.Context(), _stream, 2, time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Records()), 0)
}

// TestOutages delays answers by far more than the client's timeout, so that even a
// test process that is suspended for a while gives up before the answer arrives.
func TestOutages(t *testing.T) {
	for mode, want := range map[Mode]error{
		ModeRefuse: client.ErrUnavailable,
		ModeHang:   client.ErrUnknownOutcome,
		ModeSlow:   client.ErrUnknownOutcome,
	} {
		t.Run(string(mode), func(t *testing.T) {
			u := start(t, &Server{})
			c := newClient(u)
			control(t, u+"/control/faults", `{"mode":"`+string(mode)+`","delayMs":2000}`)
			_, err := c.Append(t.Context(), _stream, []byte("a"))
			assert.ErrorIs(t, err, want)
			_, err = c.Read(t.Context(), _stream, 1, 0)
			assert.ErrorIs(t, err, client.ErrUnavailable)
			_, err = c.Live(t.Context())
			assert.ErrorIs(t, err, client.ErrUnavailable)
			control(t, u+"/control/faults", `{}`)
			_, err = c.Append(t.Context(), _stream, []byte("b"))
			assert.NilError(t, err)
		})
	}
}

// TestOutageEndsWaitingRead checks that an outage aborts a long poll that began
// before it. An empty answer during the outage would wrongly prove to the client
// that it has read up to the head.
func TestOutageEndsWaitingRead(t *testing.T) {
	u := start(t, &Server{})
	time.AfterFunc(20*time.Millisecond, func() { control(t, u+"/control/faults", `{"mode":"refuse"}`) })
	_, err := newClient(u).Read(t.Context(), _stream, 1, 200*time.Millisecond)
	assert.ErrorIs(t, err, client.ErrUnavailable)
}

func TestLostAnswerAppendsOnce(t *testing.T) {
	u := start(t, &Server{})
	c := client.New(u)
	control(t, u+"/control/faults", `{"loseAnswers":2}`)
	_, err := c.Append(t.Context(), _stream, []byte("other"))
	assert.ErrorIs(t, err, client.ErrUnknownOutcome)
	own := func(d []byte) bool { return bytes.Equal(d, []byte("own")) }
	o, err := c.AppendRecord(t.Context(), _stream, 0, []byte("own"), own)
	assert.NilError(t, err)
	assert.Equal(t, o, uint64(2))
	b, err := c.Read(t.Context(), _stream, 1, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Records()), 2)
}

// TestFaultOfOneVia checks that an outage for one via name leaves another
// client's appends working.
func TestFaultOfOneVia(t *testing.T) {
	u := start(t, &Server{})
	cut, other := newClient(u+"/via/a"), newClient(u+"/via/b")
	control(t, u+"/control/faults", `{"via":"a","mode":"refuse"}`)
	_, err := cut.Append(t.Context(), _stream, nil)
	assert.ErrorIs(t, err, client.ErrUnavailable)
	_, err = other.Append(t.Context(), _stream, nil)
	assert.NilError(t, err)
}

func TestStaleAnswers(t *testing.T) {
	u := start(t, &Server{})
	c := newClient(u)
	_, err := c.Append(t.Context(), _stream, []byte("a"))
	assert.NilError(t, err)
	control(t, u+"/control/faults", `{"mode":"stale"}`)
	b, err := c.Read(t.Context(), _stream, 2, 0)
	assert.NilError(t, err)
	assert.Equal(t, b.Head(), uint64(1))
	_, err = c.Append(t.Context(), _stream, []byte("b"))
	assert.NilError(t, err)
	_, err = c.Read(t.Context(), _stream, 2, 0)
	assert.ErrorIs(t, err, client.ErrStale)
	b, err = newClient(u).Read(t.Context(), _stream, 2, 0)
	assert.NilError(t, err)
	assert.Equal(t, b.Head(), uint64(1), "a client that has not seen a later head must accept the stale one")
}

func TestRetention(t *testing.T) {
	u := start(t, &Server{})
	c := newClient(u)
	for range 5 {
		_, err := c.Append(t.Context(), _stream, nil)
		assert.NilError(t, err)
	}
	control(t, u+"/control/retention", `{"count":2}`)
	_, err := c.Read(t.Context(), _stream, 1, 0)
	var e *client.ExpiredError
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, e.First, uint64(4))
	control(t, u+"/control/retention", `{"ageMs":1}`)
	time.Sleep(5 * time.Millisecond)
	b, err := c.Read(t.Context(), _stream, 6, 0)
	assert.NilError(t, err)
	assert.Equal(t, b.First(), uint64(6))
	assert.Equal(t, b.Head(), uint64(5))
}

func TestAppendRate(t *testing.T) {
	u := start(t, &Server{})
	control(t, u+"/control/appendRate", `{"perSecond":1,"burst":2}`)
	c := newClient(u)
	var limited *client.RateLimitError
	for n := range 3 {
		_, err := c.Append(t.Context(), _stream, nil)
		assert.Equal(t, errors.As(err, &limited), n == 2, "append %d: %v", n, err)
	}
	assert.Equal(t, limited.After, time.Second)
}

func TestLiveListLags(t *testing.T) {
	u := start(t, &Server{})
	c := newClient(u)
	control(t, u+"/control/hosts", `[{"name":"h1","state":"live"},{"name":"h2","state":"leaving"}]`)
	l, err := c.Live(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(l), 2)
	assert.Equal(t, l[1].State(), client.HostLeaving)
	control(t, u+"/control/lag", `{"lagMs":60000}`)
	l, err = c.Live(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(l), 0)
}

// TestJournal checks that a restart loads the log without an incomplete last
// line, and that later appends continue behind it.
func TestJournal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	var a Server
	assert.NilError(t, a.Open(path))
	for _, d := range []string{"a", strings.Repeat("b", 100)} {
		_, err := a.append(_stream, []byte(d), time.Now())
		assert.NilError(t, err)
	}
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, text[:len(text)-5], 0o600))
	for want := uint64(2); want < 4; want++ {
		var b Server
		assert.NilError(t, b.Open(path))
		o, err := b.append(_stream, []byte("c"), time.Now())
		assert.NilError(t, err)
		assert.Equal(t, o, want)
	}
}

func TestLease(t *testing.T) {
	var s Server
	now := time.UnixMilli(0)
	_, ok := s.lease("t", leaseRequest{Holder: "a", TTLMs: 1000}, now)
	assert.Assert(t, ok)
	_, ok = s.lease("t", leaseRequest{Holder: "b", TTLMs: 1000}, now)
	assert.Assert(t, !ok)
	_, ok = s.lease("t", leaseRequest{Holder: "b", TTLMs: 1000}, now.Add(time.Second))
	assert.Assert(t, ok)
	_, ok = s.lease("t", leaseRequest{Holder: "a", TTLMs: 1000}, now.Add(time.Second))
	assert.Assert(t, !ok)
}
