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
	_longest = int64(10 * time.Minute / time.Microsecond)
	_digits  = 3
)

// Report counts the ends of a load.
type Report struct {
	// Answered, NotRun and Unknown are the three ends the entries named.
	Answered, NotRun, Unknown int
	// Wrong are answers that belong to another request, or have no known end.
	Wrong int
	// Cut are requests whose connection broke before the end was told.
	Cut int
	// NoEntry are requests for which every entry refused the connection.
	NoEntry int
	// Untrue are requests said to be not run that ran, and those said to be
	// answered that did not.
	Untrue int
	// Twice are requests with a key that ran more than once.
	Twice int

	reasons map[string]int
	took    *hdrhistogram.Histogram // of answered requests, in microseconds
}

// add counts the end of a request.
func (r *Report) add(o outcome) {
	switch o.end {
	case endAnswered:
		r.Answered++
		if r.took == nil {
			r.took = hdrhistogram.New(1, _longest, _digits)
		}
		_ = r.took.RecordValue(min(o.took.Microseconds(), _longest))
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

// Percentile returns the time within which a share of the answered requests
// was answered, in percent.
func (r *Report) Percentile(p float64) time.Duration {
	if r.took == nil {
		return 0
	}
	return time.Duration(r.took.ValueAtPercentile(p)) * time.Microsecond
}

// Faults is the number of requests that broke a promise.
func (r *Report) Violations() int { return r.Wrong + r.Cut + r.Untrue + r.Twice }

// Print writes the counts, one a line, and the reasons given.
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
