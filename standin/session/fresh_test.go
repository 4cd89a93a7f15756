package session

import (
	"net/http"

	"github.com/rogpeppe/go-internal/testscript"
)

// checkRefused checks that an entry refuses a request: it reports that the
// request was not run, with the given reason.
func checkRefused(ts *testscript.TestScript, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: refused ENTRY REASON")
	}
	q, err := http.NewRequest(http.MethodPost, "http://"+ts.Getenv("CALLER_"+args[0])+"/sizeCheck", http.NoBody)
	ts.Check(err)
	q.Header.Set("Fescue-Team", "counters")
	a, err := http.DefaultClient.Do(q)
	ts.Check(err)
	ts.Check(a.Body.Close())
	end, reason := a.Header.Get("Fescue-End"), a.Header.Get("Fescue-Reason")
	if end != "notRun" || reason != args[1] {
		ts.Fatalf("%s did not refuse the request as expected: end %q, reason %q", args[0], end, reason)
	}
}
