package owner

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"fescuelanding/entry/scheduler"
)

// countJob counts a decision on a job. All labels come from the configuration.
func countJob(pool string, c scheduler.Count) {
	metrics.GetOrCreateCounter(fmt.Sprintf(
		"entry_jobs_total{pool=%q,queue=%q,workspace=%q,what=%q}", pool, c.Queue, c.Workspace, c.What)).Inc()
}
