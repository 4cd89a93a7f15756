// Package intake bounds what the connections of callers hold, so that callers can't
// exhaust the memory or the descriptors of the entry.
//
//	b := &intake.Budget{Name: "callers", MaxBytes: 64 << 20, MaxConns: 1000, Log: log.Info}
//	l, err := intake.Listen(address, warn)
//	err = b.Serve(server, l)
//
// Each connection has an account. It is charged for the connection itself, for the header
// that is being read, by its bytes and lines, and for the body, by what its bytes take up
// until the request has been passed on. The charges of a request end when its handler
// returns. A handler finds the account in the context of its request, reads the body through
// it, and tells it when the request is passed on.
//
// When the accounts exceed a limit, connections are given up. For memory it is the one that
// holds most among those of the address whose connections together hold the most, and the
// oldest of equals; so a small request isn't refused because of large ones. For the number of
// connections it is the one that has been idle the longest, of the address with the most
// connections, and only if none is idle the one that holds most. The reads of a connection
// that is given up end at once: a handler that reads the body answers that the caller should
// come again, and a connection without a handler is closed. A request that has been passed on
// is never given up.
//
// A connection that was given up counts no longer, since what it holds is about to be free.
// Once such connections hold a quarter of the bytes, no others are given up for them, and one
// that wants more than a small request needs is given up itself. Of connections there are at
// most a quarter more than their limit. Large requests that have been passed on may hold half of
// the bytes; another one is refused, unless it is the only one. So callers hold at most the
// limit, a quarter of it, one more request, and a small request for each connection.
//
// The zero Budget has no limits.
package intake
