package front

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// statusRecorder records the status code of a response for the metrics.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// recordRequest updates the duration and status metrics of a queue, and of a workspace if
// there is one. Requests that match no queue have an empty queue label, and those without a
// valid key no workspace, so that callers can't create new label values.
func recordRequest(queue, workspace, method string, status int, d time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf(
		"entry_request_duration_seconds{queue=%q,method=%q}", queue, methodLabel(method))).Update(d.Seconds())
	metrics.GetOrCreateCounter(fmt.Sprintf(
		"entry_requests_total{queue=%q,method=%q,status=\"%d\"}", queue, methodLabel(method), status)).Inc()
	if workspace == "" {
		return
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf(
		"entry_workspace_request_duration_seconds{workspace=%q,method=%q}", workspace, methodLabel(method))).Update(d.Seconds())
	metrics.GetOrCreateCounter(fmt.Sprintf(
		"entry_workspace_requests_total{workspace=%q,method=%q,status=\"%d\"}", workspace, methodLabel(method), status)).Inc()
}

// methodLabel returns the method if it is supported, and "other" if not.
func methodLabel(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}
