package slots

import (
	"time"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/internal/view"
	"fescuelanding/entry/keys"
	"fescuelanding/fleet/platform"
)

// message is a message to the dispatcher's actor.
type message interface{ isMessage() }

// ask asks for a slot. The reply channel must have room for one op.
type ask struct {
	pool  string
	ask   broker.Ask
	reply chan<- broker.Op
}

// done returns a slot.
type done struct {
	pool   string
	slot   uint64
	result broker.Result
}

// cancel withdraws a queued request, or returns its grant unused.
type cancel struct {
	pool    string
	request uint64
}

// viewChanged carries a new view.
type viewChanged struct{ view *view.View }

// holdsReported carries the holds that an entry reported to a new broker.
type holdsReported struct {
	pool     string
	term     uint64
	reporter broker.Entry
	holds    []broker.Hold
}

// entryLost means that a process of an entry no longer answers.
type entryLost struct{ entry broker.Entry }

// keysRead carries the next records of the keys stream.
type keysRead struct{ records []platform.Record }

// appendDone is the result of an append to the keys stream.
type appendDone struct {
	record *keys.Record
	err    error
}

// statusRequest asks for the status of the pools.
type statusRequest struct{ reply chan<- []Status }

// keysIdleRequest asks whether no key is being written to the keys stream or
// read from it.
type keysIdleRequest struct{ reply chan<- bool }

// tick is posted at each interval.
type tick struct{}

func (ask) isMessage()             {}
func (done) isMessage()            {}
func (cancel) isMessage()          {}
func (viewChanged) isMessage()     {}
func (holdsReported) isMessage()   {}
func (entryLost) isMessage()       {}
func (keysRead) isMessage()        {}
func (appendDone) isMessage()      {}
func (statusRequest) isMessage()   {}
func (keysIdleRequest) isMessage() {}
func (tick) isMessage()            {}

const (
	_queueSize      = 8192
	_tickInterval   = 10 * time.Millisecond
	_fullQueuePause = time.Millisecond
)
