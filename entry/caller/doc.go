// Package caller is the HTTP server for callers. It validates each request,
// reads its body, passes it to a function that runs it, and writes the end of
// the request as the HTTP response.
//
// The first segment of a request's path names the service, which determines the
// pool of hosts that runs the request. Header fields name the team, to whose
// quota the request counts, and the class, a group of requests with common time
// limits.
//
// Every request has exactly one of three ends, which the response names in the
// header field Fescue-End: answered, with the upstream's complete answer;
// notRun, with the reason and, where a retry may help, the delay before it;
// unknown, if the request may have run and there is no answer.
//
// A Handler needs functions that look up the configuration, and the function
// that runs a request:
//
//	h := caller.Handler{
//		Ready:   func() bool { return true },
//		HasTeam: func(team string) bool { return team == "desk" },
//		LookupService: func(service, class string) (caller.Service, time.Duration, bool) {
//			return caller.Service{Name: "fitting", Pool: "fitting", Class: "counter"}, time.Second, service == "fitting"
//		},
//		Serve: func(ctx context.Context, r caller.Request) caller.End {
//			return caller.NotRun{Reason: "queueFull", RetryAfter: time.Second}
//		},
//	}
//	err := http.Serve(l, &h)
package caller
