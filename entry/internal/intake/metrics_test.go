package intake

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
)

// TestEpisodeIsLogged gives up connections for each reason. One line is logged at the begin, and
// one when a second has passed without any.
func TestEpisodeIsLogged(t *testing.T) {
	lines := make(chan string, 10)
	name := fmt.Sprint("logged", time.Now().UnixNano())
	b := &Budget{Name: name, MaxBytes: 120_000, MaxConns: 3, Log: func(message string, pairs ...any) {
		lines <- fmt.Sprint(message, pairs)
	}}
	b.register()
	open := func() *Account { return b.admit(stub{address: netip.MustParseAddr("10.0.0.1")}) }
	a := open()
	a.begin()
	assert.NilError(t, a.charge(60_000))
	open().begin()
	assert.Error(t, a.charge(30_000), ErrGivenUp.Error())
	b.remove(a)
	open()
	open().begin()
	open()
	b.refuse()
	begin := time.Now()
	line := <-lines
	assert.Assert(t, strings.HasPrefix(line, "Connections are given up.[for "+name+" why memory bytes "), line)
	line = <-lines
	assert.Assert(t, time.Since(begin) > _calmTime/2)
	assert.Assert(t, strings.HasPrefix(line,
		"Connections are no longer given up.[for "+name+" forMemory 1 forConnections 1 refused 1 tookMs "), line)
	assert.Equal(t, len(lines), 0)

	var out bytes.Buffer
	metrics.WritePrometheus(&out, false)
	for _, want := range []string{
		fmt.Sprintf(`entry_intake_given_up_total{listener=%q,reason="memory"} 1`, name),
		fmt.Sprintf(`entry_intake_given_up_total{listener=%q,reason="connections"} 1`, name),
		fmt.Sprintf(`entry_intake_given_up_total{listener=%q,reason="refused"} 1`, name),
		fmt.Sprintf(`entry_intake_connections{listener=%q} %d`, name, b.Conns()),
		fmt.Sprintf(`entry_intake_bytes{listener=%q} %d`, name, b.Held()),
	} {
		assert.Assert(t, strings.Contains(out.String(), want), want)
	}
}
