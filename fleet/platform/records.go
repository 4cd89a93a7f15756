package platform

import "time"

// Record is one record of a stream.
type Record struct {
	offset uint64
	data   []byte
}

// NewRecord returns the record with the data at the offset.
func NewRecord(offset uint64, data []byte) Record {
	return Record{offset: offset, data: data}
}

// Offset returns the record's offset in its stream. The first record has offset 1.
func (r Record) Offset() uint64 { return r.offset }

// Data returns the record's bytes, which must not be changed.
func (r Record) Data() []byte { return r.data }

// Batch is the result of a read.
type Batch struct {
	first   uint64
	head    uint64
	records []Record
}

// NewBatch returns a batch of records in order of offset. First is the earliest
// offset retained and head the latest one appended, zero in an empty stream.
func NewBatch(first, head uint64, records ...Record) Batch {
	return Batch{first: first, head: head, records: records}
}

// First returns the earliest offset that the platform retains. It is head+1 if all
// records have expired.
func (b Batch) First() uint64 { return b.first }

// Head returns the offset of the stream's last record, zero if it is empty.
func (b Batch) Head() uint64 { return b.head }

// Records returns the records in order of offset; there are none if nothing was
// appended while the read waited.
func (b Batch) Records() []Record { return b.records }

// HostState is the state of a host in the platform's list.
type HostState string

const (
	// HostLive means that the host is in use.
	HostLive HostState = "live"
	// HostLeaving means that the platform is about to withdraw the host.
	HostLeaving HostState = "leaving"
)

// LiveHost is a host in the platform's list. The list lags behind: a listed host may
// have left, and a new one may be missing.
type LiveHost struct {
	name  string
	state HostState
	asOf  time.Time
}

// NewLiveHost returns a host as listed at the time asOf, by the platform's clock.
func NewLiveHost(name string, state HostState, asOf time.Time) LiveHost {
	return LiveHost{name: name, state: state, asOf: asOf}
}

// Name returns the name of the host.
func (h LiveHost) Name() string { return h.name }

// State returns whether the host is live or leaving.
func (h LiveHost) State() HostState { return h.state }

// AsOf returns the time at which the platform compiled the list, by its own clock.
func (h LiveHost) AsOf() time.Time { return h.asOf }
