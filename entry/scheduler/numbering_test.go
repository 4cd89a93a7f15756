package scheduler

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"fescuelanding/platform"
)

// TestAppendSequence follows appends whose answers are lost, late or refused.
func TestAppendSequence(t *testing.T) {
	var n AppendSequence
	none := errors.New("no answer")
	unsent := fmt.Errorf("append: %w", platform.ErrNotSent)
	busy := &platform.Error{Status: http.StatusServiceUnavailable}
	fenced := &platform.Error{Status: http.StatusConflict, Reason: platform.ReasonFenced}
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
		{busy, AttemptRepeat, 1},           // the lost append may still be carried out
		{expects(2), AttemptDone, 2},       // it was
		{busy, AttemptRefused, 2},          // no attempt at the next append is unanswered
		{expects(9), AttemptRenumbered, 9}, // this owner never sent number 2
		{nil, AttemptDone, 10},
		{unsent, AttemptRefused, 10}, // no connection was made
		{none, AttemptRepeat, 10},
		{unsent, AttemptRepeat, 10}, // the lost append may still be carried out
		{fenced, AttemptRefused, 10},
	} {
		n.Send()
		assert.Equal(t, n.Answered(x.err), x.want, "line %d", i)
		assert.Equal(t, n.Next(), x.next, "line %d", i)
	}
}

// TestAppendSequenceOverlapping follows attempts at one append that are without an answer at the
// same time.
func TestAppendSequenceOverlapping(t *testing.T) {
	var n AppendSequence
	busy := &platform.Error{Status: http.StatusServiceUnavailable}
	assert.Equal(t, n.Send(), int64(0))
	assert.Equal(t, n.Send(), int64(0))
	assert.Equal(t, n.Answered(busy), AttemptRepeat)  // the other may still be carried out
	assert.Equal(t, n.Answered(busy), AttemptRefused) // neither was
	assert.Equal(t, n.Send(), int64(0))
	assert.Equal(t, n.Send(), int64(0))
	assert.Equal(t, n.Answered(nil), AttemptDone)
	assert.Equal(t, n.Send(), int64(1))
	assert.Equal(t, n.Answered(busy), AttemptRefused)
}
