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

// TestAppendLostAnswer counts the requests of a server that reads a request
// and closes the connection, also one that was used before: the transport must
// not send an append again by itself.
func TestAppendLostAnswer(t *testing.T) {
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
		http.StatusOK:                    ErrUnknownOutcome, // no offset in the answer
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

// TestAppendHangs gives up on a platform that accepts and never answers.
func TestAppendHangs(t *testing.T) {
	stop := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-stop }))
	defer s.Close()
	defer close(stop)
	_, err := New(s.URL, WithCallTimeout(20*time.Millisecond)).Append(t.Context(), "s", nil)
	assert.ErrorIs(t, err, ErrUnknownOutcome)
}

func TestReadErrors(t *testing.T) {
	for answer, want := range map[string]string{
		`{"first":1,"head":2,"records":[{"offset":2,"data":""}]}`: "record 2 in place of 1",
		`{"first":1,"head":2,"records":[{"off`:                    "decode answer",
		`{"first":5,"head":9}`:                                    "offset 1 expired, first retained is 5",
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(answer))
		}))
		_, err := New(s.URL, WithRetryFor(time.Nanosecond)).Read(t.Context(), "s", 1, 0)
		assert.ErrorContains(t, err, want)
		s.Close()
	}
}

// TestReadStale refuses an answer with a head below one seen before.
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
