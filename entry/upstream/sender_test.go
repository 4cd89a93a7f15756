package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// attempt returns an attempt with an idempotency key, as the transport's own
// retries look for one.
func attempt(address, method, body string) Attempt {
	h := http.Header{"Idempotency-Key": {"k1"}}
	return NewAttempt("a1", address, method, "/x?y=1", h, []byte(body), 0)
}

// closingUpstream answers the first request of each connection and closes the
// connection after it has read the second one. It counts what it read.
func closingUpstream(t *testing.T) (string, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var n atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go closeOnSecond(c, &n)
		}
	}()
	return l.Addr().String(), &n
}

func closeOnSecond(c net.Conn, n *atomic.Int64) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for i := range 2 {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		n.Add(1)
		if i == 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

func TestClosedAfterReadRunsOnce(t *testing.T) {
	for _, m := range []string{http.MethodGet, http.MethodPost} {
		for _, body := range []string{"", "content"} {
			address, runs := closingUpstream(t)
			var s Sender
			_, ok := s.Send(t.Context(), attempt(address, m, body)).(Answer)
			assert.Assert(t, ok)
			_, ok = s.Send(t.Context(), attempt(address, m, body)).(Unknown)
			assert.Assert(t, ok, "%s with %q", m, body)
			assert.Equal(t, runs.Load(), int64(2), "%s with %q ran again", m, body)
		}
	}
}

func TestNothingListens(t *testing.T) {
	var s Sender
	s.Dial = func(context.Context, string, string) (net.Conn, error) {
		return nil, errors.New("refused")
	}
	_, ok := s.Send(t.Context(), attempt("127.0.0.1:1", http.MethodPost, "b")).(NotSent)
	assert.Assert(t, ok)
}

func TestAnswers(t *testing.T) {
	cases := []struct {
		name   string
		answer func(http.ResponseWriter, *http.Request)
		check  func(Result) bool
	}{
		{"crossed", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(AttemptHeader, "other")
		}, func(r Result) bool {
			u, ok := r.(Unknown)
			return ok && errors.Is(u.Err(), ErrAttemptMismatch)
		}},
		{"half", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
			panic(http.ErrAbortHandler)
		}, func(r Result) bool { _, ok := r.(Unknown); return ok }},
		{"declined", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(EndHeader, _notRun)
			w.Header().Set(LeavingHeader, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, func(r Result) bool { d, ok := r.(Declined); return ok && d.Leaving() }},
		{"large", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", 100))
		}, func(r Result) bool {
			a, ok := r.(Answer)
			if !ok || a.Rest() == nil {
				return false
			}
			b, err := io.ReadAll(a.Rest())
			return err == nil && len(a.Body())+len(b) == 100
		}},
		{"whole", func(w http.ResponseWriter, q *http.Request) {
			b, _ := io.ReadAll(q.Body)
			w.Header().Set(AttemptHeader, q.Header.Get(AttemptHeader))
			_, _ = w.Write(b)
		}, func(r Result) bool {
			a, ok := r.(Answer)
			return ok && bytes.Equal(a.Body(), []byte("content")) && a.Header().Get(AttemptHeader) == ""
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := httptest.NewServer(http.HandlerFunc(c.answer))
			defer v.Close()
			s := Sender{MaxBuffered: 10}
			r := s.Send(t.Context(), attempt(v.Listener.Addr().String(), http.MethodPost, "content"))
			assert.Assert(t, c.check(r), "%#v", r)
		})
	}
}

func TestCancelledAfterSendIsUnknown(t *testing.T) {
	started := make(chan struct{})
	release := make(chan struct{})
	v := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	}))
	defer v.Close()
	defer close(release)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	var s Sender
	_, ok := s.Send(ctx, attempt(v.Listener.Addr().String(), http.MethodPost, "b")).(Unknown)
	assert.Assert(t, ok)
}
