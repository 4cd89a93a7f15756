package front

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"fescuelanding/entry/access"
	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

func TestRequestsAreCountedByQueue(t *testing.T) {
	table := NewTable([]platform.Queue{{Name: "counted", Host: "desk.example", Prefix: "/sizes/", Pool: "fitting"}})
	f := &Handler{
		FindQueue: func(host, path string) (platform.Queue, bool, bool) {
			q, ok := table.Find(host, path)
			return q, ok, true
		},
		Authorize: func(time.Time, platform.Queue, platform.KeyHash, bool) (access.Decision, *link.Credential) {
			return access.Decision{Workspace: "counted"}, nil
		},
		Limits: func() platform.Limits { return platform.Limits{} },
		CallOwner: func(context.Context, *link.Call) *link.Answer {
			return &link.Answer{Outcome: link.Outcome_OUTCOME_OVERLOADED, RetryAfterMs: 1500}
		},
		Log:     func(string, ...any) {},
		Closing: func() bool { return false },
	}
	r := httptest.NewRequest(http.MethodPost, "http://desk.example/sizes/00000000000000a1",
		strings.NewReader(`{"spec":"s","phases":[{"count":1}]}`))
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusTooManyRequests)
	assert.Equal(t, w.Header().Get("Retry-After"), "2")
	var b bytes.Buffer
	metrics.WritePrometheus(&b, false)
	assert.Assert(t, strings.Contains(b.String(), `entry_requests_total{queue="counted",method="POST",status="429"} 1`))
	assert.Assert(t, strings.Contains(b.String(), `entry_request_duration_seconds_count{queue="counted",method="POST"} 1`))
	assert.Assert(t, strings.Contains(b.String(), `entry_workspace_requests_total{workspace="counted",method="POST",status="429"} 1`))
}
