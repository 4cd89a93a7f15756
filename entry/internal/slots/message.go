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

// shown is a newer view.
type shown struct{ view *view.View }

// reported is an entry's answer to a new broker.
type reported struct {
	pool  string
	term  uint64
	of    broker.Entry
	holds []broker.Hold
}

// lost says that a process of an entry is silent.
type lost struct{ entry broker.Entry }

// read is a part of the keys stream.
type read struct{ records []platform.Record }

// written is the end of an append to the keys stream.
type written struct {
	record *keys.Record
	err    error
}

// inspect asks for the status of the pools.
type inspect struct{ reply chan<- []Status }

// idle asks whether any key is on its way to or from the log.
type idle struct{ reply chan<- bool }

// tick comes at each interval.
type tick struct{}

func (ask) isMessage()      {}
func (done) isMessage()     {}
func (cancel) isMessage()   {}
func (shown) isMessage()    {}
func (reported) isMessage() {}
func (lost) isMessage()     {}
func (read) isMessage()     {}
func (written) isMessage()  {}
func (inspect) isMessage()  {}
func (idle) isMessage()     {}
func (tick) isMessage()     {}

const (
	_ring = 8192
	_tick = 10 * time.Millisecond
	_poll = time.Millisecond
)
