package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/entry/scheduler"
)

func TestLoadCountsByKind(t *testing.T) {
	l := newLoad("load")
	l.handled([]scheduler.Event{
		scheduler.Submitted{}, scheduler.Polled{}, scheduler.Ordered{Op: scheduler.Start{}}, scheduler.Ordered{Op: scheduler.Pace{}}, scheduler.Woken{},
	}, 3, time.Second)
	l.ordered(scheduler.Start{})
	l.ordered(scheduler.Note{})
	for kind, n := range [_kinds]uint64{_submitKind: 1, _pollKind: 1, _startKind: 1, _otherKind: 2} {
		assert.Equal(t, l.events[kind].Get(), n, _kindNames[kind])
	}
	assert.Equal(t, l.operations[_startKind].Get(), uint64(1))
	assert.Equal(t, l.operations[_otherKind].Get(), uint64(1))
}

func TestOverloadIsLoggedOnceInAnInterval(t *testing.T) {
	var l load
	now := time.Unix(1000, 0)
	assert.Assert(t, !l.overloaded(now, _patience-1))
	assert.Assert(t, l.overloaded(now, _patience))
	assert.Assert(t, !l.overloaded(now.Add(_overloadLogInterval-1), time.Minute))
	assert.Assert(t, l.overloaded(now.Add(_overloadLogInterval), time.Minute))
}
