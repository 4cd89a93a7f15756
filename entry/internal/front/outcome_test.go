package front

import (
	"fmt"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"fescuelanding/entry/link"
)

// TestOutcomes answers callers with the outcomes of testdata/outcomes.txt, each a method, an
// outcome, and the time after which to return, in milliseconds. The golden file has the status
// and the header Retry-After.
func TestOutcomes(t *testing.T) {
	text, err := os.ReadFile("testdata/outcomes.txt")
	assert.NilError(t, err)
	var out strings.Builder
	h := &Handler{Log: func(string, ...any) {}}
	for line := range strings.Lines(string(text)) {
		line, _, _ = strings.Cut(line, "#")
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		o, ok := link.Outcome_value["OUTCOME_"+f[1]]
		assert.Assert(t, ok, f[1])
		ms, err := strconv.ParseInt(f[2], 10, 64)
		assert.NilError(t, err)
		w := httptest.NewRecorder()
		h.writeOutcome(w, httptest.NewRequest(f[0], "/q/1", nil), &link.Answer{Outcome: link.Outcome(o), RetryAfterMs: ms})
		fmt.Fprintf(&out, "%-6s %-12s %5s  %d %q\n", f[0], f[1], f[2], w.Code, w.Header().Get("Retry-After"))
	}
	golden.Assert(t, out.String(), "outcomes.golden")
}
