package capacity

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/fleet/config"
	"fescuelanding/fleet/config/configtest"
	"fescuelanding/fleet/platform"
	"fescuelanding/fleet/record"
	"fescuelanding/standin/internal/publish"
)

const (
	// _settleTime is the wait between readiness and measurement.
	_settleTime = 10 * time.Second
	// _measureTime is how long the usage without changes is measured.
	_measureTime = 20 * time.Second
	// _changeCount is the number of configuration changes measured.
	_changeCount = 40
)

// BenchmarkControl measures entries that get no requests, first without and then
// with configuration changes.
func BenchmarkControl(b *testing.B) {
	const entries = 9
	for _, c := range []struct{ entries, hosts, pools int }{
		{entries, 330, 26},
		{entries, 1100, 87},
		{entries, configtest.Hosts, configtest.Pools},
		{3, configtest.Hosts, configtest.Pools},
		{6, configtest.Hosts, configtest.Pools},
	} {
		b.Run(fmt.Sprintf("entries=%d/hosts=%d", c.entries, c.hosts), func(b *testing.B) {
			control(b, c.entries, configtest.Size{Hosts: c.hosts, Pools: c.pools})
		})
	}
}

func control(b *testing.B, entries int, s configtest.Size) {
	sections := s.Sections()
	c, err := config.FromSections(sections)
	assert.NilError(b, err)
	r := start(b, entries)
	p := publish.Publisher{Platform: platform.New(r.platform)}
	ctx, cancel := context.WithTimeout(b.Context(), 5*time.Minute)
	defer cancel()
	_, size, err := p.Publish(ctx, c)
	assert.NilError(b, err)
	b.ReportMetric(float64(size), "configBytes")
	r.ready(b)
	time.Sleep(_settleTime)
	measureRates(b, r.entries, _measureTime, "rest")
	measureChanges(ctx, b, r, &p, sections)
	b.ReportMetric(0, "ns/op")
}

// measureChanges publishes changes of a team's weight one after the other. It
// reports the longest time until all entries had applied a change, the size of the
// last change, the average duration of a change, and the average processor time of
// a change on the entry that used the most.
func measureChanges(ctx context.Context, b *testing.B, r *processes, p *publish.Publisher, l []*record.Section) {
	b.Helper()
	before := make([]usage, len(r.entries))
	for i, e := range r.entries {
		before[i] = readUsage(b, e)
	}
	var longest time.Duration
	var bytes int
	begin := time.Now()
	for n := range _changeCount {
		for _, s := range l {
			if s.GetKind() == config.KindTeam {
				s.Settings[0].Value = fmt.Sprint(2 + n)
				break
			}
		}
		c, err := config.FromSections(l)
		assert.NilError(b, err)
		start := time.Now()
		o, size, err := p.Publish(ctx, c)
		assert.NilError(b, err)
		r.applied(b, o)
		longest = max(longest, time.Since(start))
		bytes = size
	}
	took := time.Since(begin)
	var most time.Duration
	for i, e := range r.entries {
		most = max(most, readUsage(b, e).processor-before[i].processor)
	}
	b.ReportMetric(float64(longest.Milliseconds()), "longestInForceMs")
	b.ReportMetric(float64(bytes), "changeBytes")
	b.ReportMetric(float64(most.Microseconds())/_changeCount, "changeProcessorUs")
	b.ReportMetric(took.Seconds()/_changeCount, "changeSeconds")
}
