package serve

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// observe adds a duration, in seconds, to the histogram for the request's class
// and team.
func observe(name string, r *request, d time.Duration) {
	n := fmt.Sprintf("%s{class=%q,team=%q}", name, r.Class(), r.Team())
	metrics.GetOrCreateHistogram(n).Update(d.Seconds())
}
