package platform

import (
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrUnavailable reports that the platform refused the call or could not be
	// reached, or that its response to a read was unusable. The call had no effect.
	ErrUnavailable = merry.Sentinel("platform unavailable", merry.WithHTTPCode(http.StatusServiceUnavailable))
	// ErrUnknownOutcome reports that the response to an append was lost. The append
	// may have taken effect or may still take effect later.
	ErrUnknownOutcome = merry.Sentinel("outcome of append unknown", merry.WithHTTPCode(http.StatusGatewayTimeout))
	// ErrRejected reports a call that the platform will never accept as it is,
	// such as a record over its size limit.
	ErrRejected = merry.Sentinel("rejected by platform", merry.WithHTTPCode(http.StatusBadRequest))
	// ErrStale reports a response older than one already received. It also matches
	// ErrUnavailable.
	ErrStale = fmt.Errorf("stale response: %w", ErrUnavailable)
)

// ExpiredError reports a read from an offset that the platform no longer retains.
type ExpiredError struct {
	// From is the requested offset.
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
	// After is the time to wait before the next attempt, zero if the platform gave
	// none.
	After time.Duration
}

// Error implements error.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("append rate limited, retry after %s", e.After)
}

// Is reports a match with ErrUnavailable, because the append had no effect.
func (e *RateLimitError) Is(target error) bool {
	return target == ErrUnavailable
}
