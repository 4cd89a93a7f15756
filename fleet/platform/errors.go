package platform

import (
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrUnavailable reports that the platform did not perform the call: it
	// refused, or could not be reached, or its answer to a read was unusable.
	ErrUnavailable = merry.Sentinel("platform unavailable", merry.WithHTTPCode(http.StatusServiceUnavailable))
	// ErrUnknownOutcome reports that an append may or may not have taken
	// effect, now or later, because its answer was lost.
	ErrUnknownOutcome = merry.Sentinel("outcome of append unknown", merry.WithHTTPCode(http.StatusGatewayTimeout))
	// ErrRejected reports a call that the platform will never accept as it is,
	// such as a record over its size limit.
	ErrRejected = merry.Sentinel("rejected by platform", merry.WithHTTPCode(http.StatusBadRequest))
	// ErrStale reports an answer older than one already received. It matches
	// ErrUnavailable too.
	ErrStale = fmt.Errorf("stale answer: %w", ErrUnavailable)
)

// ExpiredError reports that records from an offset on were asked for, but that
// the platform has already dropped the earliest of them.
type ExpiredError struct {
	// From is the offset that was asked for.
	From uint64
	// First is the first offset that the platform still retains.
	First uint64
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("offset %d expired, first retained is %d", e.From, e.First)
}

// RateLimitError reports an append that was not performed because the platform
// limits the rate of appends.
type RateLimitError struct {
	// After is the time to wait before the next attempt; zero if not told.
	After time.Duration
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("append rate limited, retry after %s", e.After)
}

// Is makes the error match ErrUnavailable, as nothing was done.
func (e *RateLimitError) Is(target error) bool {
	return target == ErrUnavailable
}
