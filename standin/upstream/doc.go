// Package upstream is a stand-in for upstreams: executors that echo a request's
// body, each on a port of its own, with the faults of real ones on demand. It
// serves tests and the first run only.
//
// Its counts are the judge of what really ran: runs by idempotency key and by
// request, and the slots and connections held at the same time. Faults come
// from POST /control/fault, or from the header Standin-Fault of a request.
//
//	e := upstream.NewExecutor("h1", 20*time.Millisecond)
//	go e.Serve(listener)
//	s := upstream.NewServer(e)
//	err := http.ListenAndServe("127.0.0.1:7300", s)
package upstream
