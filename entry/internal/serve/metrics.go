package serve

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// observe counts a time, in seconds, in the histogram of a class and team.
func observe(name string, r *request, d time.Duration) {
	n := fmt.Sprintf("%s{class=%q,team=%q}", name, r.Class(), r.Team())
	metrics.GetOrCreateHistogram(n).Update(d.Seconds())
}
