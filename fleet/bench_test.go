package fleet_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"fescuelanding/fleet"
	"fescuelanding/fleet/config/configtest"
	"fescuelanding/fleet/record"
)

// _sizes are the numbers of hosts at which costs are measured.
var _sizes = []int{300, 1000, configtest.Hosts}

// sections returns the sections of configtest with the first hosts only, and
// with budgets that hold for any step.
func sections(hosts int) []*record.Section {
	var some []*record.Section
	for _, s := range configtest.Sections() {
		for _, k := range s.GetSettings() {
			if k.GetKey() == "minAvailable" {
				k.Value = "0"
			}
		}
		if s.GetKind() == "host" {
			hosts--
		}
		if s.GetKind() != "host" || hosts >= 0 {
			some = append(some, s)
		}
	}
	return some
}

// forSizes runs a benchmark at each size.
func forSizes(b *testing.B, run func(*testing.B, *fleet.State)) {
	for _, n := range _sizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) { run(b, stateOf(b, sections(n))) })
	}
}

// journal writes records that are all accepted and gathers them.
type journal struct {
	testing.TB
	state *fleet.State
	log   []*record.Record
}

func (j *journal) append(r *record.Record) {
	fill(j.state, r)
	r.Id = fmt.Appendf(nil, "%016d", len(j.log))
	assert.NilError(j, j.state.Apply(j.state.Offset()+1, r))
	j.log = append(j.log, r)
}

// confirmed appends the confirmations of a host's step by all entries.
func (j *journal) confirmed(host string) {
	for _, e := range j.state.Entries() {
		j.append(&record.Record{Writer: e.Name(), Body: &record.Record_Confirm{Confirm: &record.Confirm{
			Entry: e.Name(), Incarnation: e.Incarnation(), Steps: []*record.StepRef{{Host: host}},
		}}})
	}
}

// maintain reboots a host and moves it to a spare pool and back.
func (j *journal) maintain(host string) {
	j.append(&record.Record{Body: &record.Record_HostDrain{HostDrain: &record.HostDrain{Host: host, Cause: record.Cause_CAUSE_MAINTENANCE}}})
	j.confirmed(host)
	j.append(&record.Record{Body: &record.Record_HostDown{HostDown: &record.HostDown{Host: host}}})
	j.append(&record.Record{AtUnixMs: 1, Body: &record.Record_HostServe{HostServe: &record.HostServe{Host: host, Maintained: true}}})
	h, _ := j.state.Host(host)
	for _, p := range []string{j.otherPool(h.Pool()), h.Pool()} {
		j.append(&record.Record{Body: &record.Record_HostRelease{HostRelease: &record.HostRelease{Host: host, ToPool: p}}})
		j.confirmed(host)
		j.append(&record.Record{Body: &record.Record_HostAssign{HostAssign: &record.HostAssign{Host: host, ToPool: p}}})
	}
}

func (j *journal) otherPool(pool string) string {
	for _, p := range j.state.Config().Pools() {
		if p.Name() != pool {
			return p.Name()
		}
	}
	return ""
}

// BenchmarkApply applies the records that reboot each host once and move it
// twice, with the confirmations of nine entries.
func BenchmarkApply(b *testing.B) {
	forSizes(b, func(b *testing.B, s *fleet.State) {
		start := s.Checkpoint(fleet.MaxChunk)
		j := &journal{TB: b, state: s}
		for _, h := range s.Hosts() {
			j.maintain(h.Name())
		}
		bytes := 0
		for _, r := range j.log {
			bytes += proto.Size(r)
		}
		records := 0
		for b.Loop() {
			b.StopTimer()
			o, err := fleet.Restore(start)
			assert.NilError(b, err)
			b.StartTimer()
			for _, r := range j.log {
				if err := o.Apply(o.Offset()+1, r); err != nil {
					b.Fatal(err)
				}
			}
			records += len(j.log)
		}
		b.ReportMetric(float64(records)/b.Elapsed().Seconds(), "records/s")
		b.ReportMetric(float64(bytes)/float64(len(j.log)), "B/record")
	})
}

// BenchmarkOwners suspects and clears one of nine entries, which finds the owner
// of every pool twice.
func BenchmarkOwners(b *testing.B) {
	s := largeState(b)
	e, _ := s.Entry("e1")
	for b.Loop() {
		for _, r := range []*record.Record{
			{Writer: "e0", Body: &record.Record_EntrySuspect{EntrySuspect: &record.EntrySuspect{Entry: e.Name(), Incarnation: e.Incarnation()}}},
			{Writer: "e1", Body: &record.Record_EntryAlive{EntryAlive: &record.EntryAlive{Entry: e.Name(), Incarnation: e.Incarnation()}}},
		} {
			r.Basis = s.Basis(r)
			if err := s.Apply(s.Offset()+1, r); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkConfigChange publishes a section with another value each time.
func BenchmarkConfigChange(b *testing.B) {
	forSizes(b, func(b *testing.B, s *fleet.State) {
		changes := []*record.ConfigChange{batchOf(s, "one"), batchOf(s, "two")}
		for b.Loop() {
			r := &record.Record{Basis: s.ConfigOffset(), Body: &record.Record_ConfigChange{ConfigChange: changes[s.Offset()%2]}}
			if err := s.Apply(s.Offset()+1, r); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// batchOf returns the change of a host's batch.
func batchOf(s *fleet.State, batch string) *record.ConfigChange {
	for _, c := range s.Config().Sections() {
		for _, k := range c.GetSettings() {
			if c.GetKind() == "host" && k.GetKey() == "batch" {
				k.Value = batch
				return &record.ConfigChange{Set: []*record.Section{c}}
			}
		}
	}
	return nil
}

// BenchmarkCheckpoint writes the chunks of a checkpoint.
func BenchmarkCheckpoint(b *testing.B) {
	forSizes(b, func(b *testing.B, s *fleet.State) {
		bytes := 0
		for b.Loop() {
			bytes = 0
			for _, c := range s.Checkpoint(fleet.MaxChunk) {
				bytes += len(c.GetData())
			}
		}
		b.ReportMetric(float64(bytes), "B/checkpoint")
	})
}

// BenchmarkRestore builds the state from a checkpoint.
func BenchmarkRestore(b *testing.B) {
	forSizes(b, func(b *testing.B, s *fleet.State) {
		chunks := s.Checkpoint(fleet.MaxChunk)
		for b.Loop() {
			if _, err := fleet.Restore(chunks); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkMemory measures the heap that a state holds after a pass of records,
// its windows of ids and digests full.
func BenchmarkMemory(b *testing.B) {
	forSizes(b, func(b *testing.B, s *fleet.State) {
		j := &journal{TB: b, state: s}
		for _, h := range s.Hosts() {
			j.maintain(strings.Clone(h.Name()))
		}
		chunks := s.Checkpoint(fleet.MaxChunk)
		var held uint64
		for b.Loop() {
			before := heap()
			o, err := fleet.Restore(chunks)
			assert.NilError(b, err)
			held = heap() - before
			runtime.KeepAlive(o)
		}
		b.ReportMetric(float64(held), "B/state")
	})
}

// heap returns the bytes in use after a collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
