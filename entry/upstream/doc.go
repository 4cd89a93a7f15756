// Package upstream is the HTTP client for upstreams. Each call of Send makes one
// attempt to run a request on one upstream; retries are up to the caller of
// Send.
//
// An attempt has exactly one result, which states whether the upstream may have
// run the request:
//
//	var s upstream.Sender
//	a := upstream.NewAttempt("a1", "10.0.0.7:8080", "POST", "/orders?n=1", header, body, time.Second)
//	switch r := s.Send(ctx, a).(type) {
//	case upstream.Answer: // The complete header, and the body or its beginning.
//	case upstream.NotSent: // No byte was written; another upstream may be tried.
//	case upstream.Declined: // The upstream answered that it did not run the request.
//	case upstream.Unknown: // The request may have run.
//	}
//
// Connections are pooled by net/http. Its transport never sends a request a
// second time by itself: a request with a body but without GetBody can't be
// replayed, whatever its method and header.
package upstream
