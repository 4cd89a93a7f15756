// Package viewtest builds views for tests by applying records to a state, as an
// entry does with the records of the log.
//
//	var f viewtest.Fleet
//	f.Configure(t, text)
//	f.Register(t, "e1", 1)
//	v := f.View()
package viewtest

import (
	"encoding/binary"
	"testing"

	"gotest.tools/v3/assert"

	"fescuelanding/entry/internal/view"
	"fescuelanding/fleet"
	"fescuelanding/fleet/config"
	"fescuelanding/fleet/record"
)

// Small is a configuration with one pool of two hosts, the idempotent service
// sizeCheck and the non-idempotent service kitHold.
const Small = `
[dataCentre "dc1"]
region = r1
[class "counter"]
urgent = true
startWithin = 1100ms
deadline = 2s
maxRun = 5s
[team "desk"]
weight = 1
[pool "fitting"]
minAvailable = 1
[service "sizeCheck"]
pool = fitting
class = counter
idempotent = true
[service "kitHold"]
pool = fitting
class = counter
[host "h1"]
address = 127.0.0.1:7401
dataCentre = dc1
rack = r1
home = fitting
slots = 2
connections = 64
[host "h2"]
address = 127.0.0.1:7402
dataCentre = dc1
rack = r2
home = fitting
slots = 2
connections = 64
`

// Fleet is a state to which a test applies records. The zero value is empty.
type Fleet struct {
	state fleet.State
}

// State returns the state itself, not a copy.
func (f *Fleet) State() *fleet.State { return &f.state }

// View returns the view of the current state.
func (f *Fleet) View() *view.View { return view.New(&f.state) }

// Apply sets the id, the basis and the planner's term of a record, and applies it.
// The basis is the version of the object that the record changes. Apply fails the
// test if the record is rejected. It returns the record's offset.
func (f *Fleet) Apply(t testing.TB, r *record.Record) uint64 {
	t.Helper()
	o := f.state.Offset() + 1
	r.Id = binary.BigEndian.AppendUint64(make([]byte, 8), o)
	r.Basis = f.state.Basis(r)
	if p, ok := f.state.Owner(fleet.PlannerKey); ok {
		r.Term = p.Term()
	}
	assert.NilError(t, f.state.Apply(o, r))
	return o
}

// Configure parses a configuration and puts it in force.
func (f *Fleet) Configure(t testing.TB, text string) {
	t.Helper()
	c, err := config.Parse([]byte(text))
	assert.NilError(t, err)
	f.Apply(t, &record.Record{Writer: "operator", Body: &record.Record_ConfigChange{
		ConfigChange: f.state.Config().Diff(c),
	}})
}

// Register registers an incarnation of an entry.
func (f *Fleet) Register(t testing.TB, entry string, incarnation uint64) {
	t.Helper()
	f.Apply(t, &record.Record{Writer: entry, Body: &record.Record_EntryRegister{EntryRegister: &record.EntryRegister{
		Entry: entry, Incarnation: incarnation, DataCentre: "dc1", PeerAddress: "127.0.0.1:1", AdminAddress: "127.0.0.1:2",
	}}})
}

// Suspect records that reporter suspects an incarnation of an entry to have
// failed, which takes away the entry's ownership of pools and of planning.
func (f *Fleet) Suspect(t testing.TB, reporter, entry string, incarnation uint64) {
	t.Helper()
	f.Apply(t, &record.Record{Writer: reporter, Body: &record.Record_EntrySuspect{
		EntrySuspect: &record.EntrySuspect{Entry: entry, Incarnation: incarnation},
	}})
}

// Drain starts to drain a host and returns the offset of the record.
func (f *Fleet) Drain(t testing.TB, host string) uint64 {
	t.Helper()
	return f.Apply(t, &record.Record{Body: &record.Record_HostDrain{
		HostDrain: &record.HostDrain{Host: host, Cause: record.Cause_CAUSE_OPERATOR},
	}})
}
