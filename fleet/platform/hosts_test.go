package platform

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLiveUnchanged reads a list three times: complete, unchanged with a later time,
// and unchanged without a time, which is an error.
func TestLiveUnchanged(t *testing.T) {
	const tag = `W/"7"`
	var tags []string
	asOf := "2000"
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tags = append(tags, r.Header.Get("If-None-Match"))
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.Header().Set(_asOfHeader, asOf)
			w.WriteHeader(http.StatusNotModified)
			return
		}
		_, _ = w.Write([]byte(`{"asOfUnixMs":1000,"hosts":[{"name":"h1","state":"leaving"}]}`))
	}))
	defer s.Close()
	c := New(s.URL, WithRetryFor(time.Nanosecond))
	for _, ms := range []int64{1000, 2000} {
		l, err := c.Live(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(l), 1)
		assert.Equal(t, l[0], NewLiveHost("h1", HostLeaving, time.UnixMilli(ms)))
	}
	assert.DeepEqual(t, tags, []string{"", tag})
	asOf = ""
	_, err := c.Live(t.Context())
	assert.ErrorIs(t, err, ErrUnavailable)
}

// TestLiveWithoutTag reads from a platform that sends no ETag. The client must request
// the complete list each time, and return an error for a 304 without a stored list.
func TestLiveWithoutTag(t *testing.T) {
	status := http.StatusOK
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, len(r.Header.Values("If-None-Match")) == 0)
		w.Header().Set(_asOfHeader, "2000")
		w.WriteHeader(status)
		if status == http.StatusOK {
			_, _ = w.Write([]byte(`{"asOfUnixMs":1000,"hosts":[]}`))
		}
	}))
	defer s.Close()
	c := New(s.URL, WithRetryFor(time.Nanosecond))
	for range 2 {
		_, err := c.Live(t.Context())
		assert.NilError(t, err)
	}
	status = http.StatusNotModified
	_, err := c.Live(t.Context())
	assert.ErrorIs(t, err, ErrUnavailable)
}
