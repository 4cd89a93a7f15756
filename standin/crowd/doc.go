// Package crowd emulates callers that hold an entry's memory and connections: many at
// once, each with requests of legal size, most of which stop just short of their end while
// the connection stays open. Some callers come back when they are closed, a few times.
//
// A Script says what the callers send, how many there are, and which bounds the entry has
// to keep meanwhile. A Crowd plays it against one address:
//
//	c := crowd.New(script, target)
//	c.Start()
//	<-c.Settled()
//	// The crowd stands here.
//	c.Stop()
//	fmt.Println(c.Answers())
//
// A crowd is bounded in connections, bytes and time, and ends by itself. It lives in the
// process that plays it. Nothing about it depends on how fast the entry is.
package crowd
