package capacity

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"fescuelanding/fleet/config"
	"fescuelanding/fleet/platform"
	"fescuelanding/standin/internal/process"
	"fescuelanding/standin/internal/publish"
)

const (
	_requests    = 5000
	_warmUp      = 500
	_parallel    = 8
	_connections = 1000
	_body        = "a size check of a ski boot"
)

// BenchmarkSpeed measures the latency that an entry adds to a request. It sends the
// same requests, alternating within one run, directly to the upstream, to the
// entry that is the pool's broker, and to an entry that has to call the broker
// first. The pool has free slots throughout. It also measures the throughput and
// the memory per connection.
func BenchmarkSpeed(b *testing.B) {
	r := start(b, 3)
	hosts, text := r.upstreams(b)
	c, err := config.Parse([]byte(text))
	assert.NilError(b, err)
	p := publish.Publisher{Platform: platform.New(r.platform)}
	o, _, err := p.Publish(b.Context(), c)
	assert.NilError(b, err)
	r.ready(b)
	r.applied(b, o)
	owner := r.owner(b)
	paths := []struct{ name, url string }{
		{"direct", "http://" + hosts[0]}, {"broker", r.callers[owner]}, {"other", r.callers[(owner+1)%len(r.callers)]},
	}
	histograms := map[string]*hdrhistogram.Histogram{}
	for _, w := range paths {
		histograms[w.name] = newHistogram()
		series(b, w.url, newHistogram(), _warmUp)
	}
	const rounds = 10
	for range rounds {
		for _, w := range paths {
			series(b, w.url, histograms[w.name], _requests/rounds)
		}
	}
	for _, w := range paths {
		h := histograms[w.name]
		b.ReportMetric(float64(h.ValueAtQuantile(50)), w.name+"P50us")
		b.ReportMetric(float64(h.ValueAtQuantile(99)), w.name+"P99us")
	}
	throughput(b, r, owner)
	idleConnections(b, r, owner)
	b.ReportMetric(0, "ns/op")
}

func newHistogram() *hdrhistogram.Histogram {
	const longest = 10 * time.Second
	return hdrhistogram.New(1, longest.Microseconds(), 3)
}

// upstreams starts two executors. It returns their addresses and a configuration
// that has them as hosts.
func (r *processes) upstreams(b *testing.B) ([]string, string) {
	b.Helper()
	a, err := process.FreeAddresses(3)
	assert.NilError(b, err)
	r.run(b, "upstream", "standin", "upstream", "--control", a[0], "--run", "0s",
		"--executor", "h1="+a[1], "--executor", "h2="+a[2])
	waitOK(b, "http://"+a[0]+"/control/stats")
	return a[1:], fmt.Sprintf(_speedConfig, a[1], a[2])
}

const _speedConfig = `
[dataCentre "dc0"]
region = r0
[class "counter"]
urgent = true
startWithin = 1100ms
deadline = 5s
maxRun = 5s
[team "desk"]
weight = 1
[pool "fitting"]
minAvailable = 1
[service "sizeCheck"]
pool = fitting
class = counter
idempotent = true
[service "kitHold"]
pool = fitting
class = counter
[host "h1"]
address = %s
dataCentre = dc0
rack = r1
home = fitting
slots = 8
connections = 64
[host "h2"]
address = %s
dataCentre = dc0
rack = r2
home = fitting
slots = 8
connections = 64
`

// owner returns the index of the entry that is the pool's broker.
func (r *processes) owner(b *testing.B) int {
	b.Helper()
	for i, a := range r.admins {
		p, err := http.Get(a + "/status")
		assert.NilError(b, err)
		s, err := io.ReadAll(p.Body)
		_ = p.Body.Close()
		assert.NilError(b, err)
		if strings.Contains(string(s), `"pool": "fitting"`) {
			return i
		}
	}
	b.Fatal("no entry owns the pool fitting")
	return 0
}

// series sends n requests one after the other on one connection, and records
// their latency in microseconds.
func series(b *testing.B, url string, h *hdrhistogram.Histogram, n int) {
	b.Helper()
	c := &http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	for range n {
		t := time.Now()
		send(b, c, url)
		assert.NilError(b, h.RecordValue(time.Since(t).Microseconds()))
	}
}

// send sends one request and checks its answer.
func send(b *testing.B, c *http.Client, url string) {
	b.Helper()
	q, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url+"/sizeCheck/boot", strings.NewReader(_body))
	assert.NilError(b, err)
	q.Header.Set("Fescue-Team", "desk")
	p, err := c.Do(q)
	assert.NilError(b, err)
	s, err := io.ReadAll(p.Body)
	_ = p.Body.Close()
	assert.NilError(b, err)
	assert.Equal(b, p.StatusCode, http.StatusOK)
	assert.Equal(b, string(s), _body)
}

// throughput sends requests through the broker's entry over _parallel connections,
// each as fast as the answers arrive. It reports requests per second, and requests
// per second of the entry's processor time.
func throughput(b *testing.B, r *processes, owner int) {
	b.Helper()
	before := readUsage(b, r.entries[owner])
	begin := time.Now()
	var w sync.WaitGroup
	for range _parallel {
		w.Go(func() { series(b, r.callers[owner], newHistogram(), _requests) })
	}
	w.Wait()
	took, cpu := time.Since(begin), readUsage(b, r.entries[owner]).processor-before.processor
	b.ReportMetric(_parallel*_requests/took.Seconds(), "requests/s")
	b.ReportMetric(_parallel*_requests/cpu.Seconds(), "requests/coreSecond")
}

// idleConnections reports an entry's memory with many idle caller connections,
// each of which has been used once.
func idleConnections(b *testing.B, r *processes, owner int) {
	b.Helper()
	before := readUsage(b, r.entries[owner]).resident
	var l []*http.Client
	for range _connections {
		c := &http.Client{Transport: &http.Transport{}}
		l = append(l, c)
		send(b, c, r.callers[owner])
	}
	after := readUsage(b, r.entries[owner]).resident
	for _, c := range l {
		c.CloseIdleConnections()
	}
	b.ReportMetric(float64(after)/1024, "connectedMiB")
	b.ReportMetric(float64(after-before)/_connections, "KiB/connection")
}
