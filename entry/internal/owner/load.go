package owner

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"fescuelanding/entry/scheduler"
)

// load counts what the owner of a pool handles and orders.
type load struct {
	events, operations [_kinds]*metrics.Counter
	// waiting is the number of events that are waiting behind those that are handled.
	waiting *metrics.Histogram
	// waited is how long the oldest event of an upstream has waited then, in seconds.
	waited *metrics.Histogram
	// overloadedAt is when the log had last that events of upstreams take turns with urgent ones.
	overloadedAt time.Time
}

// The kinds of events and operations that are counted apart.
const (
	_otherKind = iota
	_submitKind
	_stateKind
	_loadKind
	_startKind
	_stopKind
	_pollKind
	_appendKind
	_kinds
)

// _kindNames are the values of the label kind.
var _kindNames = [_kinds]string{"other", "submit", "state", "load", "start", "stop", "poll", "append"}

func newLoad(pool string) *load {
	l := &load{
		waiting: metrics.GetOrCreateHistogram(fmt.Sprintf("entry_owner_events_waiting{pool=%q}", pool)),
		waited:  metrics.GetOrCreateHistogram(fmt.Sprintf("entry_owner_upstream_event_wait_seconds{pool=%q}", pool)),
	}
	for k, name := range _kindNames {
		l.events[k] = metrics.GetOrCreateCounter(fmt.Sprintf("entry_owner_events_total{pool=%q,kind=%q}", pool, name))
		l.operations[k] = metrics.GetOrCreateCounter(fmt.Sprintf("entry_owner_operations_total{pool=%q,kind=%q}", pool, name))
	}
	return l
}

// handled counts events that were handled together, those that were waiting behind them, and how long the
// oldest of an upstream has waited.
func (l *load) handled(events []scheduler.Event, waiting int, waited time.Duration) {
	l.waiting.Update(float64(waiting))
	l.waited.Update(waited.Seconds())
	for _, e := range events {
		l.events[eventKind(e)].Inc()
	}
}

// overloaded reports whether the log is to say that the owner can't keep up: events of upstreams have waited
// until they take turns with urgent ones. It does so once in _overloadLogInterval.
func (l *load) overloaded(now time.Time, waited time.Duration) bool {
	if waited < _patience || now.Sub(l.overloadedAt) < _overloadLogInterval {
		return false
	}
	l.overloadedAt = now
	return true
}

// _overloadLogInterval is the time between two log lines about an owner that can't keep up.
const _overloadLogInterval = time.Second

// ordered counts an operation.
func (l *load) ordered(o scheduler.Op) { l.operations[opKind(o)].Inc() }

// eventKind returns the kind of an event: for an answer, that of the operation.
func eventKind(e scheduler.Event) int {
	switch e := e.(type) {
	case scheduler.Submitted:
		return _submitKind
	case scheduler.StateRequested:
		return _stateKind
	case scheduler.LoadRequested:
		return _loadKind
	case scheduler.Polled:
		return _pollKind
	case scheduler.Appended:
		return _appendKind
	case scheduler.Ordered:
		return opKind(e.Op)
	}
	return _otherKind
}

func opKind(o scheduler.Op) int {
	switch o.(type) {
	case scheduler.Start:
		return _startKind
	case scheduler.Stop:
		return _stopKind
	case scheduler.Poll:
		return _pollKind
	case scheduler.Append:
		return _appendKind
	}
	return _otherKind
}
