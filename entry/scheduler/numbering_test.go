package scheduler

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"fescuelanding/platform"
)

// TestNumbering follows appends whose answers are lost, late or refused.
func TestNumbering(t *testing.T) {
	var n AppendSequence
	none := errors.New("no answer")
	busy := &platform.Error{Status: http.StatusServiceUnavailable}
	fenced := &platform.Error{Status: http.StatusConflict, Reason: "fenced"}
	expects := func(k int64) error {
		return &platform.Error{Status: http.StatusConflict, Reason: "seq", Expected: k}
	}
	for i, x := range []struct {
		err  error
		want Attempt
		next int64
	}{
		{nil, AttemptDone, 1},
		{busy, AttemptRefused, 1},
		{none, AttemptRepeat, 1},
		{busy, AttemptRepeat, 1},           // The lost one may still be carried out.
		{expects(2), AttemptDone, 2},       // It was.
		{busy, AttemptRefused, 2},          // The next one isn't unsure.
		{expects(9), AttemptRenumbered, 9}, // Nobody sent 2.
		{nil, AttemptDone, 10},
		{fenced, AttemptRefused, 10},
	} {
		assert.Equal(t, n.Answered(x.err), x.want, "line %d", i)
		assert.Equal(t, n.Next(), x.next, "line %d", i)
	}
}
