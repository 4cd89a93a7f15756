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

// countCrash counts a crashed upstream and the runs lost with it.
func countCrash(pool string, c scheduler.CountCrash) {
	metrics.GetOrCreateCounter(fmt.Sprintf("entry_upstream_crashes_total{pool=%q}", pool)).Inc()
	metrics.GetOrCreateCounter(fmt.Sprintf("entry_crash_lost_runs_total{pool=%q}", pool)).Add(c.Runs)
}

// countGivenUp counts runs whose tasks are placed again although the ends of the runs weren't read.
func countGivenUp(pool string, c scheduler.CountGivenUp) {
	metrics.GetOrCreateCounter(fmt.Sprintf("entry_runs_given_up_total{pool=%q,why=%q}", pool, c.Why)).Add(c.Runs)
}

// countStop counts a stop by its reason.
func countStop(pool string, c scheduler.CountStop) {
	metrics.GetOrCreateCounter(fmt.Sprintf("entry_stops_total{pool=%q,why=%q}", pool, c.Why)).Inc()
}
