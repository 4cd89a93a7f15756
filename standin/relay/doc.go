// Package relay passes TCP connections on to one address, and cuts them as a
// network does: connections stay open, no byte passes and no new connection
// comes through, until the cut is healed. What had been sent then goes on.
//
//	r := relay.New("127.0.0.1:7001")
//	go r.Serve(listener)
//	http.ListenAndServe("127.0.0.1:7002", r)
//
// POST /control/mode takes {"mode":"cut"}; GET /control/stats counts.
package relay
