package front

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// statusRecorder keeps the status of an answer for the metrics.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// recordRequest notes how long a request of a queue took, and its outcome. Requests of no
// queue recordRequest under an empty one, so that callers can't add names.
func recordRequest(queue, method string, status int, took time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf(
		"entry_request_duration_seconds{queue=%q,method=%q}", queue, methodLabel(method))).Update(took.Seconds())
	metrics.GetOrCreateCounter(fmt.Sprintf(
		"entry_requests_total{queue=%q,method=%q,status=\"%d\"}", queue, methodLabel(method), status)).Inc()
}

// methodLabel returns the methods that are spoken, and "other" for the rest.
func methodLabel(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}
