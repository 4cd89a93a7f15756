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
	// open is the number of attempts without an answer: the store may have carried them out,
	// or may still do so.
	open int
}

// Send counts an attempt that is about to be sent, and returns its number.
func (n *AppendSequence) Send() int64 {
	n.open++
	return n.next
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

// Answered handles the store's answer to an attempt; a nil error means success. Other attempts
// at the same append may still be without an answer.
func (n *AppendSequence) Answered(err error) Attempt {
	var e *platform.Error
	notSent := errors.Is(err, platform.ErrNotSent)
	if platform.Status(err) != 0 || notSent {
		n.open--
	}
	switch {
	case err == nil:
		n.next, n.open = n.next+1, 0
		return AttemptDone
	case platform.Reason(err) == "seq" && errors.As(err, &e):
		done := n.open > 0 && e.Expected == n.next+1
		n.next = e.Expected
		if done {
			n.open = 0
			return AttemptDone
		}
		return AttemptRenumbered
	case platform.Status(err) == http.StatusConflict:
		return AttemptRefused
	case (platform.Status(err) != 0 || notSent) && n.open == 0:
		return AttemptRefused
	}
	return AttemptRepeat
}
