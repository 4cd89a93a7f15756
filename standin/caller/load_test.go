package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"

	"fescuelanding/standin/upstream"

	"gotest.tools/v3/assert"
)

// TestRun checks that the report counts each kind of faulty response in the right
// field. The entry answers eight requests, most of them wrongly.
func TestRun(t *testing.T) {
	e := upstream.NewExecutor("h1", 0)
	control := httptest.NewServer(upstream.NewServer(e))
	defer control.Close()
	var n atomic.Int32
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(_endHeader, "answered")
		switch n.Add(1) {
		case 1:
			e.ServeHTTP(w, r)
		case 2:
			e.ServeHTTP(httptest.NewRecorder(), r)
			_, _ = io.WriteString(w, "another body")
		case 3:
			e.ServeHTTP(httptest.NewRecorder(), r)
			w.Header().Set(_endHeader, "notRun")
			w.Header().Set(_reasonHeader, "queueFull")
		case 4:
			w.Header().Set(_endHeader, "unknown")
		case 5:
			panic(http.ErrAbortHandler)
		case 6:
			w.Header().Del(_endHeader)
		case 7:
			b, _ := io.ReadAll(r.Body)
			_, _ = w.Write(b)
		case 8:
			e.ServeHTTP(httptest.NewRecorder(), r)
			e.ServeHTTP(httptest.NewRecorder(), r)
			w.Header().Set(_endHeader, "unknown")
		}
	}))
	defer entry.Close()
	l := Load{Entries: []string{entry.URL}, Service: "s", Requests: 8, Workers: 1, Keyed: true, UpstreamControls: []string{control.URL}}
	r, err := l.Run(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, r.Answered, 2)
	assert.Equal(t, r.Wrong, 2)
	assert.Equal(t, r.NotRun, 1)
	assert.Equal(t, r.Unknown, 2)
	assert.Equal(t, r.Cut, 1)
	assert.Equal(t, r.Untrue, 2, "one request reported as not run that ran, and one reported as answered that did not run")
	assert.Equal(t, r.Twice, 1)
	assert.Equal(t, r.reasons["queueFull"], 1)
}

// TestRunNextEntry checks that a request goes to the next entry if a connection
// is refused, and that it is counted if all entries refuse.
func TestRunNextEntry(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set(_endHeader, "answered")
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
		_, _ = w.Write(b)
	}))
	defer entry.Close()
	l := Load{Entries: []string{gone.URL, entry.URL}, Service: "s", Requests: 4, Workers: 2}
	r, err := l.Run(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, r.Answered, 4)
	l.Entries = l.Entries[:1]
	r, err = l.Run(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, r.NoEntry, 4)
}

// TestRunSkipsUnreadyEntry checks that an entry whose probe fails gets no
// requests.
func TestRunSkipsUnreadyEntry(t *testing.T) {
	serve := func(status int, got *atomic.Int32) *httptest.Server {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/ready" {
				w.WriteHeader(status)
				return
			}
			got.Add(1)
			w.Header().Set(_endHeader, "unknown")
		}))
		t.Cleanup(s.Close)
		return s
	}
	var unready, ready atomic.Int32
	a := serve(http.StatusServiceUnavailable, &unready)
	b := serve(http.StatusOK, &ready)
	l := Load{
		Entries: []string{a.URL, b.URL}, Ready: []string{a.URL + "/ready", b.URL + "/ready"},
		Service: "s", Requests: 10, Workers: 1, Rate: 20,
	}
	_, err := l.Run(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, unready.Load() <= 1, "only the first request may be sent before the first probe ends")
	assert.Assert(t, ready.Load() >= 9)
}
