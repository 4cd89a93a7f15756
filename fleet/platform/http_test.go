package platform

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAppendLostResponse guards against a second append by the HTTP transport, which
// by default repeats some requests if a reused connection is closed without a
// response. The server responds once, then closes the connection, and counts the
// requests.
func TestAppendLostResponse(t *testing.T) {
	var got atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if got.Add(1) == 1 {
			_, _ = w.Write([]byte(`{"offset":1}`))
			return
		}
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	c := New(s.URL)
	_, err := c.Append(t.Context(), "s", []byte("a"))
	assert.NilError(t, err)
	_, err = c.Append(t.Context(), "s", []byte("b"))
	assert.ErrorIs(t, err, ErrUnknownOutcome)
	assert.Assert(t, !errors.Is(err, ErrUnavailable))
	assert.Equal(t, got.Load(), int32(2))
}

func TestAppendErrors(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	_, err := New(closed.URL).Append(t.Context(), "s", nil)
	assert.ErrorIs(t, err, ErrUnavailable)
	for status, want := range map[int]error{
		http.StatusServiceUnavailable:    ErrUnavailable,
		http.StatusTooManyRequests:       ErrUnavailable,
		http.StatusRequestEntityTooLarge: ErrRejected,
		http.StatusBadGateway:            ErrUnknownOutcome,
		http.StatusOK:                    ErrUnknownOutcome, // no offset in the response
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte("{}"))
		}))
		_, err := New(s.URL).Append(t.Context(), "s", nil)
		assert.ErrorIs(t, err, want)
		s.Close()
	}
}

// TestAppendTimeout appends to a platform that accepts the request and never responds.
func TestAppendTimeout(t *testing.T) {
	stop := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-stop }))
	defer s.Close()
	defer close(stop)
	_, err := New(s.URL, WithCallTimeout(20*time.Millisecond)).Append(t.Context(), "s", nil)
	assert.ErrorIs(t, err, ErrUnknownOutcome)
}

func TestReadErrors(t *testing.T) {
	for response, want := range map[string]string{
		`{"first":1,"head":2,"records":[{"offset":2,"data":""}]}`: "record 2 in place of 1",
		`{"first":1,"head":2,"records":[{"off`:                    "decode response",
		`{"first":5,"head":9}`:                                    "offset 1 expired, first retained is 5",
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(response))
		}))
		_, err := New(s.URL, WithRetryFor(time.Nanosecond)).Read(t.Context(), "s", 1, 0)
		assert.ErrorContains(t, err, want)
		s.Close()
	}
}

// TestReadStale expects an error for a response with a head below an earlier one.
func TestReadStale(t *testing.T) {
	heads := make(chan string, 3)
	heads <- `{"first":1,"head":7}`
	heads <- `{"first":1,"head":6}`
	heads <- `{"first":1,"head":7}`
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(<-heads))
	}))
	defer s.Close()
	c := New(s.URL, WithRetryFor(time.Nanosecond))
	_, err := c.Read(t.Context(), "s", 8, 0)
	assert.NilError(t, err)
	_, err = c.Read(t.Context(), "s", 8, 0)
	assert.ErrorIs(t, err, ErrStale)
	assert.ErrorIs(t, err, ErrUnavailable)
	_, err = c.Read(t.Context(), "s", 8, 0)
	assert.NilError(t, err)
}

func TestZeroClient(t *testing.T) {
	var c Client
	_, err := c.Append(t.Context(), "s", nil)
	assert.ErrorIs(t, err, ErrUnavailable)
}
