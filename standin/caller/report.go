package caller

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	_maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	_significantDigits = 3
)

// Report counts the outcomes of a load's requests.
type Report struct {
	// Answered, NotRun and Unknown count the outcomes that the entries reported
	// in the header Fescue-End.
	Answered, NotRun, Unknown int
	// Wrong counts responses that belong to another request or report no valid
	// outcome.
	Wrong int
	// Cut counts requests whose connection broke before the response was
	// complete.
	Cut int
	// NoEntry counts requests for which no ready entry accepted a connection.
	NoEntry int
	// Untrue counts requests that were reported as not run but ran, and those
	// that were reported as answered but never ran.
	Untrue int
	// Twice counts the idempotency keys that ran more than once.
	Twice int

	reasons map[string]int
	took    *hdrhistogram.Histogram // of answered requests, in microseconds
}

// add counts the outcome of one request.
func (r *Report) add(o outcome) {
	switch o.end {
	case endAnswered:
		r.Answered++
		if r.took == nil {
			r.took = hdrhistogram.New(1, _maxLatencyMicros, _significantDigits)
		}
		_ = r.took.RecordValue(min(o.took.Microseconds(), _maxLatencyMicros))
	case endNotRun:
		r.NotRun++
	case endUnknown:
		r.Unknown++
	case endCut:
		r.Cut++
	case endNoEntry:
		r.NoEntry++
	default:
		r.Wrong++
	}
	if o.reason != "" {
		if r.reasons == nil {
			r.reasons = make(map[string]int)
		}
		r.reasons[o.reason]++
	}
}

// Percentile returns the latency that p percent of the answered requests did
// not exceed, or zero if none was answered.
func (r *Report) Percentile(p float64) time.Duration {
	if r.took == nil {
		return 0
	}
	return time.Duration(r.took.ValueAtPercentile(p)) * time.Microsecond
}

// Violations returns the number of outcomes that violate a guarantee of the
// entries: wrong, cut, untrue or run twice.
func (r *Report) Violations() int { return r.Wrong + r.Cut + r.Untrue + r.Twice }

// Print writes the counts, one per line, and then the count of each reason.
func (r *Report) Print(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "answered %d\nnotRun %d\nunknown %d\n", r.Answered, r.NotRun, r.Unknown)
	fmt.Fprintf(&b, "wrong %d\ncut %d\nnoEntry %d\nuntrue %d\ntwice %d\n", r.Wrong, r.Cut, r.NoEntry, r.Untrue, r.Twice)
	var names []string
	for n := range r.reasons {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		fmt.Fprintf(&b, "reason %s %d\n", n, r.reasons[n])
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	return nil
}
