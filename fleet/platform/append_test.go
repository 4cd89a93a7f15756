package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var _data = []byte("own")

// appendCase is a case of testdata/append.json: the faults of consecutive calls, and
// the expected result.
type appendCase struct {
	Name   string   `json:"name"`
	Faults []string `json:"faults"`
	Offset uint64   `json:"offset"`
	Err    string   `json:"err"`
	Copies int      `json:"held"` // expected copies of the record in the log at the end
	Calls  []string `json:"calls"`
}

// scriptedLog is a log with three records of other writers. Its calls fail according
// to faults: requestLost and responseLost both leave the outcome unknown, but only
// responseLost has appended the record.
type scriptedLog struct {
	records [][]byte
	faults  []string
	calls   []string
	cancel  context.CancelFunc
}

func (l *scriptedLog) fault(call string) string {
	l.calls = append(l.calls, call)
	if len(l.faults) == 0 {
		return "ok"
	}
	f := l.faults[0]
	l.faults = l.faults[1:]
	return f
}

func (l *scriptedLog) append(_ context.Context, _ string, data []byte) (uint64, error) {
	switch l.fault("append") {
	case "responseLost":
		l.records = append(l.records, data)
		return 0, ErrUnknownOutcome
	case "requestLost":
		return 0, ErrUnknownOutcome
	case "unavailable":
		return 0, ErrUnavailable
	case "rateLimited":
		return 0, &RateLimitError{After: time.Millisecond}
	case "rejected":
		return 0, ErrRejected
	case "contextEnds":
		l.cancel()
		return 0, ErrUnavailable
	}
	l.records = append(l.records, data)
	return uint64(len(l.records)), nil
}

func (l *scriptedLog) read(_ context.Context, _ string, from uint64, _ int, _ time.Duration) (Batch, error) {
	head := uint64(len(l.records))
	switch l.fault("read") {
	case "unavailable":
		return Batch{}, ErrUnavailable
	case "stale":
		return Batch{first: 1, head: 2}, nil
	case "expired":
		return Batch{first: head + 10, head: head + 9}, nil
	case "contextEnds":
		l.cancel()
		return Batch{}, ErrUnavailable
	}
	b := Batch{first: 1, head: head}
	for o := from; o <= head; o++ {
		b.records = append(b.records, NewRecord(o, l.records[o-1]))
	}
	return b, nil
}

func TestAppendRecord(t *testing.T) {
	text, err := os.ReadFile("testdata/append.json")
	assert.NilError(t, err)
	var cases []appendCase
	assert.NilError(t, json.Unmarshal(text, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			c.run(t)
		})
	}
}

func (c appendCase) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := &scriptedLog{records: [][]byte{{1}, {2}, {3}}, faults: c.Faults, cancel: cancel}
	p := New("", WithDialect(Dialect{Append: l.append, Read: l.read}))
	p.raiseHead("s", 3)
	o, err := p.AppendRecord(ctx, "s", 3, _data, func(d []byte) bool { return bytes.Equal(d, _data) })
	assert.Equal(t, o, c.Offset)
	assert.Equal(t, errorKind(err), c.Err)
	assert.DeepEqual(t, l.calls, c.Calls)
	copies := 0
	for _, r := range l.records {
		if bytes.Equal(r, _data) {
			copies++
		}
	}
	assert.Equal(t, copies, c.Copies)
}

func errorKind(err error) string {
	var e *ExpiredError
	switch {
	case err == nil:
		return ""
	case errors.Is(err, ErrUnknownOutcome) && errors.As(err, &e):
		return "unknown expired"
	case errors.Is(err, ErrUnknownOutcome):
		return "unknown"
	case errors.Is(err, ErrRejected):
		return "rejected"
	case errors.Is(err, ErrUnavailable):
		return "unavailable"
	}
	return err.Error()
}
