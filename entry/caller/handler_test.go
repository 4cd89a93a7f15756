package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/entry/internal/intake"
)

func handler(serve func(context.Context, Request) End) *Handler {
	return &Handler{
		Ready: func() bool { return true },
		LookupService: func(service, class string) (Service, time.Duration, bool) {
			ok := service == "fitting" && (class == "" || class == "counter")
			return Service{Name: "fitting", Pool: "fitting", Class: "counter"}, time.Second, ok
		},
		HasTeam: func(t string) bool { return t == "desk" },
		Serve:   serve,
	}
}

// reply is a response as the caller received it.
type reply struct {
	status int
	header http.Header
	body   string
}

func send(t *testing.T, h http.Handler, path string, header map[string]string, body string) (reply, error) {
	v := httptest.NewServer(h)
	t.Cleanup(v.Close)
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, v.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	q.Header.Set(TeamHeader, "desk")
	for n, s := range header {
		q.Header.Set(n, s)
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return reply{}, err
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	return reply{status: p.StatusCode, header: p.Header, body: string(b)}, err
}

func TestRefusedBeforeServing(t *testing.T) {
	cases := []struct {
		name, path, reason, body string
		header                   map[string]string
		status                   int
	}{
		{name: "service", path: "/none/", reason: "unknownServiceOrClass", status: 404},
		{name: "class", path: "/fitting/", reason: "unknownServiceOrClass", status: 404, header: map[string]string{ClassHeader: "x"}},
		{name: "team", path: "/fitting/", reason: "unknownTeam", status: 400, header: map[string]string{TeamHeader: "x"}},
		{name: "deadline", path: "/fitting/", reason: "badDeadline", status: 400, header: map[string]string{DeadlineHeader: "-1s"}},
		{name: "body", path: "/fitting/", reason: "bodyTooLarge", status: 413, body: strings.Repeat("x", 200)},
		{name: "key", path: "/fitting/", reason: "keyTooLong", status: 400, header: map[string]string{KeyHeader: strings.Repeat("k", 300)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := handler(func(context.Context, Request) End {
				t.Error("served")
				return Unknown{}
			})
			h.MaxBody = 100
			p, err := send(t, h, c.path, c.header, c.body)
			assert.NilError(t, err)
			assert.Equal(t, p.status, c.status)
			assert.Equal(t, p.header.Get(EndHeader), _notRun)
			assert.Equal(t, p.header.Get(ReasonHeader), c.reason)
		})
	}
}

func TestEnds(t *testing.T) {
	h := handler(func(context.Context, Request) End {
		return NotRun{Reason: "queueFull", RetryAfter: 1500 * time.Millisecond}
	})
	p, err := send(t, h, "/fitting/", nil, "")
	assert.NilError(t, err)
	assert.Equal(t, p.header.Get("Retry-After"), "2")
	assert.Equal(t, p.header.Get(RetryHeader), "1.5s")
	assert.Equal(t, p.status, 503)

	h.Serve = func(_ context.Context, r Request) End {
		return Answered{Status: 201, Header: http.Header{"X": {"y"}}, Body: r.Body()}
	}
	p, err = send(t, h, "/fitting/", nil, "content")
	assert.NilError(t, err)
	assert.Equal(t, p.status, 201)
	assert.Equal(t, p.body, "content")
	assert.Equal(t, p.header.Get(EndHeader), _answered)
}

func TestNotReadyIsRefused(t *testing.T) {
	h := handler(nil)
	h.Ready = func() bool { return false }
	p, err := send(t, h, "/fitting/", nil, "")
	assert.NilError(t, err)
	assert.Equal(t, p.status, http.StatusServiceUnavailable)
	assert.Equal(t, p.header.Get(ReasonHeader), "notReady")
}

// brokenReader returns an error in place of io.EOF.
type brokenReader struct{ io.Reader }

func (b brokenReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		err = errors.New("upstream ended early")
	}
	return n, err
}

func (brokenReader) Close() error { return nil }

// If the upstream's stream fails after the first part, the caller must get an
// error, not a truncated body that looks complete.
func TestBrokenStreamIsNotEndedCleanly(t *testing.T) {
	h := handler(func(context.Context, Request) End {
		return Answered{Status: 200, Body: []byte("begin"), Rest: brokenReader{strings.NewReader("part")}}
	})
	_, err := send(t, h, "/fitting/", nil, "")
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF), "%v", err)
}

// serveBudget serves a handler on connections with a budget and returns its address.
func serveBudget(t *testing.T, h *Handler, b *intake.Budget) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s, done := &http.Server{Handler: h}, make(chan error)
	go func() { done <- b.Serve(s, l) }()
	t.Cleanup(func() {
		assert.NilError(t, s.Close())
		assert.Assert(t, errors.Is(<-done, http.ErrServerClosed))
	})
	return l.Addr().String()
}

// begin sends a request whose body lacks its last byte.
func begin(t *testing.T, address, deadline string, size int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(c, "POST /fitting/ HTTP/1.1\r\nHost: a\r\n%s: desk\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		TeamHeader, DeadlineHeader, deadline, size, strings.Repeat("x", size-1))
	assert.NilError(t, err)
	return c
}

// TestUnfinishedBodies has bodies without an end exceed the budget, and one its deadline.
func TestUnfinishedBodies(t *testing.T) {
	const size = 200_000
	address := serveBudget(t, handler(func(_ context.Context, r Request) End {
		return Answered{Status: 200, Body: r.Body()}
	}), &intake.Budget{MaxBytes: 4 << 20})
	var l []net.Conn
	for range 6 {
		l = append(l, begin(t, address, "10s", size))
	}
	p, err := http.ReadResponse(bufio.NewReader(l[0]), nil)
	assert.NilError(t, err)
	defer p.Body.Close()
	assert.Equal(t, p.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, p.Header.Get(ReasonHeader), "entryFull")
	assert.Equal(t, p.Header.Get("Retry-After"), "1")
	assert.Assert(t, p.Close)

	_, err = io.WriteString(l[5], "x")
	assert.NilError(t, err)
	p, err = http.ReadResponse(bufio.NewReader(l[5]), nil)
	assert.NilError(t, err)
	defer p.Body.Close()
	assert.Equal(t, p.StatusCode, http.StatusOK)
	assert.Equal(t, p.ContentLength, int64(size))

	p, err = http.ReadResponse(bufio.NewReader(begin(t, address, "100ms", 10)), nil)
	assert.NilError(t, err)
	defer p.Body.Close()
	assert.Equal(t, p.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, p.Header.Get(ReasonHeader), "bodyTooLate")
}
