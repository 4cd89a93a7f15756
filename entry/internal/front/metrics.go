package front

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// recorder keeps the status of an answer for the metrics.
type recorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// count notes how long a request of a queue took, and its outcome. Requests of no
// queue count under an empty one, so that callers can't add names.
func count(queue, method string, status int, took time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf(
		"entry_request_duration_seconds{queue=%q,method=%q}", queue, known(method))).Update(took.Seconds())
	metrics.GetOrCreateCounter(fmt.Sprintf(
		"entry_requests_total{queue=%q,method=%q,status=\"%d\"}", queue, known(method), status)).Inc()
}

// known returns the methods that are spoken, and "other" for the rest.
func known(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}
