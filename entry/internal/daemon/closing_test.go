package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLeavingAsksForClose has a caller's connection closed by an answer of a
// leaving entry, and by no other.
func TestLeavingAsksForClose(t *testing.T) {
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
