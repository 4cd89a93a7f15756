package slots

import (
	"time"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/internal/view"
	"fescuelanding/entry/keys"
	"fescuelanding/fleet/platform"
)

// message is what the dispatcher's duty receives.
type message interface{ isMessage() }

// ask wants a slot; the reply channel holds one op.
type ask struct {
	pool  string
	ask   broker.Ask
	reply chan<- broker.Op
}

// done gives a slot back.
type done struct {
	pool   string
	slot   uint64
	result broker.Result
}

// cancel takes a request out of the queue, or its unused grant back.
type cancel struct {
	pool    string
	request uint64
}

// viewChanged is a newer view.
type viewChanged struct{ view *view.View }

// holdsReported is an entry's answer to a new broker.
type holdsReported struct {
	pool  string
	term  uint64
	of    broker.Entry
	holds []broker.Hold
}

// entryLost says that a process of an entry is silent.
type entryLost struct{ entry broker.Entry }

// keysRead is a part of the keys stream.
type keysRead struct{ records []platform.Record }

// appendDone is the end of an append to the keys stream.
type appendDone struct {
	record *keys.Record
	err    error
}

// statusRequest asks for the status of the pools.
type statusRequest struct{ reply chan<- []Status }

// keysIdleRequest asks whether any key is on its way to or from the log.
type keysIdleRequest struct{ reply chan<- bool }

// tick comes at each interval.
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
