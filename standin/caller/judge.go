package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"fescuelanding/standin/upstream"
)

// compareWithRuns compares the outcomes that the entries reported with the runs
// that the upstreams counted, and sets the report's fields Untrue and Twice.
func compareWithRuns(ctx context.Context, urls []string, outcomes []outcome, r *Report) error {
	requests, keys := make(map[string]int), make(map[string]int)
	for _, u := range urls {
		n, err := runs(ctx, u)
		if err != nil {
			return err
		}
		sum(requests, n.Requests)
		sum(keys, n.Keys)
	}
	twice := make(map[string]bool)
	for _, o := range outcomes {
		ran := requests[o.id]
		if o.key != "" && keys[o.key] > 1 {
			twice[o.key] = true
		}
		switch {
		case o.end == endNotRun && ran > 0:
			r.Untrue++
		// An answer may come from the run of another request with the same key.
		case o.end == endAnswered && ran == 0 && keys[o.key] == 0:
			r.Untrue++
		}
	}
	r.Twice = len(twice)
	return nil
}

// sum adds the counts of from to those of to.
func sum(to, from map[string]int) {
	for n, v := range from {
		to[n] += v
	}
}

// runs fetches the run counts of the upstream stand-in at a control URL.
func runs(ctx context.Context, url string) (upstream.Runs, error) {
	var n upstream.Runs
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/control/runs", nil)
	if err != nil {
		return n, fmt.Errorf("make request: %w", err)
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return n, fmt.Errorf("read runs: %w", err)
	}
	defer a.Body.Close()
	if err := json.NewDecoder(a.Body).Decode(&n); err != nil {
		return n, fmt.Errorf("decode runs: %w", err)
	}
	return n, nil
}
