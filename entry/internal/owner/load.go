package owner

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"fescuelanding/entry/scheduler"
)

// load counts what the owner of a pool handles and orders.
type load struct {
	events, operations [_kinds]*metrics.Counter
	// waiting is the number of events that are waiting behind those that are handled.
	waiting *metrics.Histogram
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
	l := &load{waiting: metrics.GetOrCreateHistogram(fmt.Sprintf("entry_owner_events_waiting{pool=%q}", pool))}
	for k, name := range _kindNames {
		l.events[k] = metrics.GetOrCreateCounter(fmt.Sprintf("entry_owner_events_total{pool=%q,kind=%q}", pool, name))
		l.operations[k] = metrics.GetOrCreateCounter(fmt.Sprintf("entry_owner_operations_total{pool=%q,kind=%q}", pool, name))
	}
	return l
}

// handled counts events that were handled together, and those that were waiting behind them.
func (l *load) handled(events []scheduler.Event, waiting int) {
	l.waiting.Update(float64(waiting))
	for _, e := range events {
		l.events[eventKind(e)].Inc()
	}
}

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
