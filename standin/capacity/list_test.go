package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/fleet/config"
	"fescuelanding/fleet/config/configtest"
	"fescuelanding/fleet/platform"
	standin "fescuelanding/standin/platform"

	"fescuelanding/standin/internal/publish"
)

const (
	// _listSettle is how long the planner needs for its first steps.
	_listSettle  = 30 * time.Second
	_changeEvery = time.Second
)

// BenchmarkList measures nine entries with a configuration of full size while the
// platform lists every host, first without changes of the list and then with one
// change per second.
func BenchmarkList(b *testing.B) {
	const entries = 9
	c, err := config.FromSections(configtest.Size{Hosts: configtest.Hosts, Pools: configtest.Pools}.Sections())
	assert.NilError(b, err)
	r := start(b, entries)
	p := publish.Publisher{Platform: platform.New(r.platform)}
	ctx, cancel := context.WithTimeout(b.Context(), 5*time.Minute)
	defer cancel()
	_, _, err = p.Publish(ctx, c)
	assert.NilError(b, err)
	r.ready(b)
	var l []standin.Host
	for _, h := range c.Hosts() {
		l = append(l, standin.Host{Name: h.Name(), State: "live"})
	}
	r.list(b, l...)
	time.Sleep(_listSettle)
	measureRates(b, r.entries, _measureTime, "rest")
	stop := r.flap(b)
	measureRates(b, r.entries, _measureTime, "changing")
	close(stop)
	b.ReportMetric(0, "ns/op")
}

// list sets the state of hosts on the platform's live list.
func (r *processes) list(b *testing.B, l ...standin.Host) {
	b.Helper()
	t, err := json.Marshal(l)
	assert.NilError(b, err)
	a, err := http.Post(r.platform+"/control/hosts", "application/json", bytes.NewReader(t))
	assert.NilError(b, err)
	defer a.Body.Close()
	assert.Equal(b, a.StatusCode, http.StatusOK)
}

// flap adds and removes a host that is in no pool until the returned channel is
// closed. The list changes each time, but the planner has nothing to do for it.
func (r *processes) flap(b *testing.B) chan<- struct{} {
	stop := make(chan struct{})
	go func() {
		t := time.NewTicker(_changeEvery)
		defer t.Stop()
		for state := "live"; ; {
			select {
			case <-stop:
				return
			case <-t.C:
			}
			r.list(b, standin.Host{Name: "unknown", State: state})
			if state == "" {
				state = "live"
			} else {
				state = ""
			}
		}
	}()
	return stop
}
