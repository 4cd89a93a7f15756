package intake

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Reasons for which connections are given up.
const (
	_reasonBytes = "memory"
	_reasonConns = "connections"
	// _reasonRefused is that of connections which were closed as soon as they were accepted.
	_reasonRefused = "refused"
)

// _calmTime is how long no connection has been given up when an episode ends.
const _calmTime = time.Second

// episode is a time in which connections are given up.
type episode struct {
	begun time.Time
	last  time.Time
	// bytes, conns and refused count the connections by reason.
	bytes, conns, refused int
}

// register registers the gauges of the budget.
func (b *Budget) register() {
	metrics.GetOrCreateGauge(fmt.Sprintf("entry_intake_bytes{listener=%q}", b.Name), func() float64 { return float64(b.Held()) })
	metrics.GetOrCreateGauge(fmt.Sprintf("entry_intake_connections{listener=%q}", b.Name), func() float64 { return float64(b.Conns()) })
}

// count counts a connection that is given up, and begins an episode if there is none.
func (b *Budget) count(now time.Time, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("entry_intake_given_up_total{listener=%q,reason=%q}", b.Name, reason)).Inc()
	e := &b.episode
	e.last = now
	switch reason {
	case _reasonBytes:
		e.bytes++
	case _reasonConns:
		e.conns++
	default:
		e.refused++
	}
	if !e.begun.IsZero() {
		return
	}
	e.begun = now
	pairs := []any{
		"for", b.Name, "why", reason, "bytes", b.held, "limitBytes", b.MaxBytes,
		"connections", b.conns, "limitConnections", b.MaxConns,
	}
	// The log may block, and the budget is locked.
	go b.log("Connections are given up.", pairs)
	time.AfterFunc(_calmTime, b.checkCalm)
}

// checkCalm ends an episode if it is over.
func (b *Budget) checkCalm() {
	b.mu.Lock()
	e := b.episode
	left := e.left(time.Now())
	if left > 0 {
		time.AfterFunc(left, b.checkCalm)
	} else {
		b.episode = episode{}
	}
	b.mu.Unlock()
	if left <= 0 {
		b.log("Connections are no longer given up.", []any{
			"for", b.Name, "forMemory", e.bytes, "forConnections", e.conns, "refused", e.refused, "tookMs", e.last.Sub(e.begun).Milliseconds(),
		})
	}
}

// left returns how long the episode still lasts if nothing happens.
func (e episode) left(now time.Time) time.Duration { return e.last.Add(_calmTime).Sub(now) }

func (b *Budget) log(message string, pairs []any) {
	if b.Log != nil {
		b.Log(message, pairs...)
	}
}
