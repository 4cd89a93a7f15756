package scheduler

import (
	"errors"
	"net/http"

	"fescuelanding/platform"
)

// Numbering is the sequence of a pool's appends, by which the store knows a repeat. The
// zero value is that of an owner that has appended nothing.
type AppendSequence struct {
	next int64
	// unsure is set while an attempt has had no answer: it may have been carried out,
	// and may be yet.
	unsure bool
}

// Next is the number of the append that is under way, or of the next one.
func (n *AppendSequence) Next() int64 { return n.next }

// Attempt says what an answer to an attempt means.
type Attempt uint8

const (
	// AttemptDone says that the append was carried out.
	AttemptDone Attempt = iota
	// AttemptAgain says that it goes out again at once, under another number.
	AttemptRenumbered
	// AttemptLater says that its outcome isn't known, and it is repeated after a pause.
	AttemptRepeat
	// AttemptRefused says that nothing was appended.
	AttemptRefused
)

// Answered takes in the store's answer to an attempt.
func (n *AppendSequence) Answered(err error) Attempt {
	var e *platform.Error
	switch {
	case err == nil:
		n.next, n.unsure = n.next+1, false
		return AttemptDone
	case platform.Reason(err) == "seq" && errors.As(err, &e):
		done := n.unsure && e.Expected == n.next+1
		n.next = e.Expected
		if done {
			n.unsure = false
			return AttemptDone
		}
		return AttemptRenumbered
	case platform.Status(err) == http.StatusConflict:
		return AttemptRefused
	case platform.Status(err) == 0:
		n.unsure = true
	case !n.unsure:
		return AttemptRefused
	}
	return AttemptRepeat
}
