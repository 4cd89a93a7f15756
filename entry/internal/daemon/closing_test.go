package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLeavingEntryClosesConnections checks that responses close the caller's
// connection if the entry is leaving, and only then.
func TestLeavingEntryClosesConnections(t *testing.T) {
	var d Daemon
	s := httptest.NewServer(d.closeWhenLeaving(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	defer s.Close()
	for _, leaving := range []bool{false, true} {
		d.leaving.Store(leaving)
		a, err := s.Client().Get(s.URL)
		assert.NilError(t, err)
		assert.NilError(t, a.Body.Close())
		assert.Equal(t, a.Close, leaving)
	}
}
