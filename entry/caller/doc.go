// Package caller speaks HTTP to callers: it identifies each request and writes
// its end.
//
// Every request has exactly one of three ends, named in the header field
// Fescue-End: answered, with the upstream's whole answer; notRun, with the
// reason and a time to come back; unknown, where the request may have run. A
// handler needs a directory of services and a function that serves:
//
//	h := caller.Handler{Services: view.Services, Serve: pipe.Serve}
//	http.Serve(l, &h)
package caller
