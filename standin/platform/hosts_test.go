package platform

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestListIsSentOnceForEachChange compares the lists of a client that revalidates
// its cached copy with those of new clients that download the whole list, and
// checks that the list's time still advances when its content doesn't.
func TestListIsSentOnceForEachChange(t *testing.T) {
	var s Server
	u := start(t, &s)
	c := newClient(u)
	var asOf time.Time
	for _, h := range []Host{
		{Name: "h1", State: "live"},
		{Name: "h2", State: "live"},
		{Name: "h1", State: "leaving"},
		{Name: "h2"},
		{Name: "h1", State: "live"},
	} {
		s.SetHost(h, time.Now())
		for range 2 {
			time.Sleep(2 * time.Millisecond)
			l, err := c.Live(t.Context())
			assert.NilError(t, err)
			fresh, err := newClient(u).Live(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, len(l), len(fresh))
			for i := range l {
				assert.Equal(t, l[i].Name()+string(l[i].State()), fresh[i].Name()+string(fresh[i].State()))
			}
			assert.Assert(t, l[0].AsOf().After(asOf), "the time of the list did not advance")
			asOf = l[0].AsOf()
		}
	}
}

func TestListEncodings(t *testing.T) {
	var s Server
	u := start(t, &s)
	s.SetHost(Host{Name: "h1", State: "live"}, time.Now())
	get := func(match, encoding string) (status int, header http.Header) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, u+"/hosts", http.NoBody)
		assert.NilError(t, err)
		r.Header.Set("If-None-Match", match)
		r.Header.Set("Accept-Encoding", encoding)
		a, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		defer a.Body.Close()
		return a.StatusCode, a.Header
	}
	_, h := get("", "gzip")
	assert.Equal(t, h.Get("Content-Encoding"), "gzip")
	tag := h.Get("ETag")
	_, h = get("", "identity")
	assert.Equal(t, h.Get("Content-Encoding"), "")
	code, _ := get(tag, "gzip")
	assert.Equal(t, code, http.StatusNotModified)
	s.SetHost(Host{Name: "h1", State: "leaving"}, time.Now())
	code, _ = get(tag, "gzip")
	assert.Equal(t, code, http.StatusOK)
}
