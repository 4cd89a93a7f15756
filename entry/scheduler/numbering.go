package scheduler

import (
	"errors"
	"net/http"

	"fescuelanding/platform"
)

// AppendSequence numbers a pool's appends, so that the store recognises a
// repeated one. The zero value is for an owner that has appended nothing.
type AppendSequence struct {
	next int64
	// unanswered is set after an attempt without an answer: the store may have
	// carried it out, or may still do so.
	unanswered bool
}

// Next returns the number of the append in flight, or of the next one if there is
// none.
func (n *AppendSequence) Next() int64 { return n.next }

// Attempt is the result of an attempt to append.
type Attempt uint8

const (
	// AttemptDone means that the records were appended.
	AttemptDone Attempt = iota
	// AttemptRenumbered means that the append has to be repeated at once under
	// the new number.
	AttemptRenumbered
	// AttemptRepeat means that the outcome is unknown and the append has to be
	// repeated after a pause.
	AttemptRepeat
	// AttemptRefused means that nothing was appended.
	AttemptRefused
)

// Answered handles the store's answer to an attempt; a nil error means success.
func (n *AppendSequence) Answered(err error) Attempt {
	var e *platform.Error
	switch {
	case err == nil:
		n.next, n.unanswered = n.next+1, false
		return AttemptDone
	case platform.Reason(err) == "seq" && errors.As(err, &e):
		done := n.unanswered && e.Expected == n.next+1
		n.next = e.Expected
		if done {
			n.unanswered = false
			return AttemptDone
		}
		return AttemptRenumbered
	case platform.Status(err) == http.StatusConflict:
		return AttemptRefused
	case platform.Status(err) == 0:
		n.unanswered = true
	case !n.unanswered:
		return AttemptRefused
	}
	return AttemptRepeat
}
