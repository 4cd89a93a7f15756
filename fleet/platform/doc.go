// Package platform is the client of the platform's services: the append-only
// log and the list of hosts.
//
// A [Client] holds a [Dialect], a set of functions that speak to one kind of
// platform and report failures as the errors of this package; [HTTP] is the
// dialect used today. The client adds what every dialect needs: time limits,
// retries with backoff and jitter for reads, protection against stale answers,
// and appends whose answer was lost.
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
// Offsets begin at 1. A stream is at-least-once: a record whose append had to
// be repeated can stand in it twice, so records carry an id of their own and
// readers skip an id they have seen.
package platform
