package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
}

func ask(t *testing.T, h http.Handler, path string, header map[string]string, body string) (reply, error) {
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
			p, err := ask(t, h, c.path, c.header, c.body)
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
	p, err := ask(t, h, "/fitting/", nil, "")
	assert.NilError(t, err)
	assert.Equal(t, p.header.Get("Retry-After"), "2")
	assert.Equal(t, p.header.Get(RetryHeader), "1.5s")
	assert.Equal(t, p.status, 503)

	h.Serve = func(_ context.Context, r Request) End {
		return Answered{Status: 201, Header: http.Header{"X": {"y"}}, Body: r.Body()}
	}
	p, err = ask(t, h, "/fitting/", nil, "content")
	assert.NilError(t, err)
	assert.Equal(t, p.status, 201)
	assert.Equal(t, p.body, "content")
	assert.Equal(t, p.header.Get(EndHeader), _answered)
}

func TestNoConfigurationYet(t *testing.T) {
	h := handler(nil)
	h.Ready = func() bool { return false }
	p, err := ask(t, h, "/fitting/", nil, "")
	assert.NilError(t, err)
	assert.Equal(t, p.status, http.StatusServiceUnavailable)
	assert.Equal(t, p.header.Get(ReasonHeader), "notReady")
}

// brokenReader ends early with an error.
type brokenReader struct{ io.Reader }

func (b brokenReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		err = errors.New("upstream ended early")
	}
	return n, err
}

func (brokenReader) Close() error { return nil }

func TestBrokenStreamIsNotEndedCleanly(t *testing.T) {
	h := handler(func(context.Context, Request) End {
		return Answered{Status: 200, Body: []byte("begin"), Rest: brokenReader{strings.NewReader("part")}}
	})
	_, err := ask(t, h, "/fitting/", nil, "")
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF), "%v", err)
}
