package capacity

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/fleet/config"
	"fescuelanding/fleet/platform"
	"fescuelanding/standin/internal/publish"
)

// BenchmarkKeys measures, by rate, what the keyed requests of one pool cost the
// entries that don't serve them: the pool's witness, to which the broker sends
// the slots that its own entry's requests hold, and an entry that only reads the
// keys stream.
func BenchmarkKeys(b *testing.B) {
	const entries = 5
	for _, rate := range []int{0, 20, 60, 180} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			r := start(b, entries)
			_, text := r.upstreams(b)
			c, err := config.Parse([]byte(text))
			assert.NilError(b, err)
			p := publish.Publisher{Platform: platform.New(r.platform)}
			o, _, err := p.Publish(b.Context(), c)
			assert.NilError(b, err)
			r.ready(b)
			r.applied(b, o)
			measureOthers(b, r, r.owner(b), rate)
			b.ReportMetric(0, "ns/op")
		})
	}
}

// measureOthers sends keyed requests through the owner and reports the usage of
// two other entries. The one that read the most bytes is the witness, since it
// gets messages from the broker as well. The one that read the fewest bytes
// stands for the entries that only read the keys stream.
func measureOthers(b *testing.B, r *processes, owner, rate int) {
	b.Helper()
	before := make([]usage, len(r.entries))
	for i, e := range r.entries {
		before[i] = readUsage(b, e)
	}
	begin := time.Now()
	n := sendAtRate(b, r.callers[owner], rate)
	s := time.Since(begin).Seconds()
	var l []usage
	for i, e := range r.entries {
		if u := readUsage(b, e); i != owner {
			l = append(l, usage{processor: u.processor - before[i].processor, read: u.read - before[i].read})
		}
	}
	slices.SortFunc(l, func(a, b usage) int { return cmp.Compare(a.read, b.read) })
	b.ReportMetric(float64(n)/s, "keys/s")
	for _, w := range []struct {
		name string
		usage
	}{{"reader", l[0]}, {"witness", l[len(l)-1]}} {
		b.ReportMetric(float64(w.read)/s, w.name+"ReadBytes/s")
		b.ReportMetric(100*w.processor.Seconds()/s, w.name+"CorePercent")
	}
}

// sendAtRate sends requests, each with its own key, at a rate per second for ten
// seconds, and returns the number answered.
func sendAtRate(b *testing.B, url string, rate int) int {
	b.Helper()
	const over = 10 * time.Second
	if rate == 0 {
		time.Sleep(over)
		return 0
	}
	t := time.NewTicker(time.Second / time.Duration(rate))
	defer t.Stop()
	answers := make(chan bool, rate*int(over/time.Second))
	sent := 0
	for ; sent < cap(answers); sent++ {
		<-t.C
		key := fmt.Sprint(rate, "-", sent)
		go func() { answers <- sendKeyed(b, url, key) }()
	}
	n := 0
	for range sent {
		if <-answers {
			n++
		}
	}
	return n
}

// sendKeyed sends one request that must run at most once, and reports whether it
// was answered.
func sendKeyed(b *testing.B, url, key string) bool {
	q, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url+"/kitHold/x", strings.NewReader(_body))
	if err != nil {
		return false
	}
	q.Header.Set("Fescue-Team", "desk")
	q.Header.Set("Idempotency-Key", key)
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = p.Body.Close()
	return p.StatusCode == http.StatusOK
}
