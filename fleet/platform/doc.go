// Package platform is the client of the platform's services: the append-only
// log and the list of hosts. Package fescuelanding/platform is the client of a
// different platform, which also has upstreams and a cloud interface.
//
// A [Client] uses a [Dialect], a set of functions that implement the protocol of one
// kind of platform and report failures as the errors of this package. [HTTP] is the
// only dialect so far. The client adds what every dialect needs: time-outs, retries
// of reads with backoff and jitter, detection of stale responses, and retries of
// appends whose response was lost ([Client.AppendRecord]).
//
//	c := platform.New("http://127.0.0.1:7100")
//	b, err := c.Read(ctx, "fleet", 1, time.Second)
//	if err != nil {
//		return fmt.Errorf("read fleet stream: %w", err)
//	}
//	for _, r := range b.Records() {
//		apply(r.Offset(), r.Data())
//	}
//
// Offsets start at 1. Appends are at-least-once: a record whose append was repeated
// can be in the stream twice. Records therefore have a unique ID, and readers skip an
// ID that they have already read.
package platform
