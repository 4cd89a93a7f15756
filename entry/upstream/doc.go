// Package upstream speaks HTTP to the upstreams, one attempt at a time.
//
// An attempt has exactly one result, and the result says what the entry knows
// about whether the upstream ran the request:
//
//	switch r := s.Send(ctx, a).(type) {
//	case upstream.Answer: // The whole head, and the body or its beginning.
//	case upstream.NotSent: // No byte was written; another upstream may be tried.
//	case upstream.Declined: // The upstream says that it did not run it.
//	case upstream.Unknown: // It may have run.
//	}
//
// Connections are those of net/http, but nothing is sent twice by the
// transport: a request body without GetBody is never held for replayable,
// whatever its method and headers.
package upstream
