// Package relay forwards TCP connections to one address and can emulate a
// network partition. During a cut, connections stay open, but no bytes are
// forwarded and no new connection is established. When the cut ends, the bytes
// sent in the meantime are delivered.
//
//	r := relay.New("127.0.0.1:7001")
//	go r.Serve(listener)
//	http.ListenAndServe("127.0.0.1:7002", r)
//
// POST /control/mode sets the mode, for example with {"mode":"cut"}.
// GET /control/stats returns the counts.
package relay
