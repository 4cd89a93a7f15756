// Package upstream is a stand-in for upstreams. Its executors echo the body of
// each request, each executor on a port of its own, and inject the faults of
// real upstreams on demand. It is meant for tests and the first run only.
//
// Its counters are the reference for what really ran: the runs by idempotency
// key, request and attempt, and the slots and connections in use at the same
// time. Faults are set with POST /control/fault, or for one request with the
// header Standin-Fault.
//
//	e := upstream.NewExecutor("h1", 20*time.Millisecond)
//	go e.Serve(listener)
//	s := upstream.NewServer(e)
//	err := http.ListenAndServe("127.0.0.1:7300", s)
package upstream
