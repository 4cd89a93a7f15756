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

// _sizes are the numbers of hosts in the benchmarks.
var _sizes = []int{300, 1000, configtest.Hosts}

// sections returns the sections of configtest with only the first hosts. All budgets
// are 0, so that no step is rejected.
func sections(hosts int) []*record.Section {
	var kept []*record.Section
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
			kept = append(kept, s)
		}
	}
	return kept
}

// benchmarkSizes runs a benchmark at each size.
func benchmarkSizes(b *testing.B, run func(*testing.B, *fleet.State)) {
	for _, n := range _sizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) { run(b, stateOf(b, sections(n))) })
	}
}

// journal applies records, which must all be accepted, and collects them.
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

// confirm appends the confirmations of a host's step by all entries.
func (j *journal) confirm(host string) {
	for _, e := range j.state.Entries() {
		j.append(&record.Record{Writer: e.Name(), Body: &record.Record_Confirm{Confirm: &record.Confirm{
			Entry: e.Name(), Incarnation: e.Incarnation(), Steps: []*record.StepRef{{Host: host}},
		}}})
	}
}

// maintain takes a host down for maintenance, returns it to duty, and moves it to
// another pool and back.
func (j *journal) maintain(host string) {
	j.append(&record.Record{Body: &record.Record_HostDrain{HostDrain: &record.HostDrain{Host: host, Cause: record.Cause_CAUSE_MAINTENANCE}}})
	j.confirm(host)
	j.append(&record.Record{Body: &record.Record_HostDown{HostDown: &record.HostDown{Host: host}}})
	j.append(&record.Record{AtUnixMs: 1, Body: &record.Record_HostServe{HostServe: &record.HostServe{Host: host, Maintained: true}}})
	h, _ := j.state.Host(host)
	for _, p := range []string{j.otherPool(h.Pool()), h.Pool()} {
		j.append(&record.Record{Body: &record.Record_HostRelease{HostRelease: &record.HostRelease{Host: host, ToPool: p}}})
		j.confirm(host)
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

// BenchmarkApply applies the records of one maintenance and two moves of each host,
// with the confirmations of nine entries.
func BenchmarkApply(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *fleet.State) {
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

// BenchmarkOwners suspects and clears one of nine entries. Each record recomputes the
// owner of every pool.
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

// BenchmarkConfigChange changes the value of one setting each time.
func BenchmarkConfigChange(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *fleet.State) {
		changes := []*record.ConfigChange{batchChange(s, "one"), batchChange(s, "two")}
		for b.Loop() {
			r := &record.Record{Basis: s.ConfigOffset(), Body: &record.Record_ConfigChange{ConfigChange: changes[s.Offset()%2]}}
			if err := s.Apply(s.Offset()+1, r); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// batchChange returns a change of the batch of one host.
func batchChange(s *fleet.State, batch string) *record.ConfigChange {
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

func BenchmarkCheckpoint(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *fleet.State) {
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

func BenchmarkRestore(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *fleet.State) {
		chunks := s.Checkpoint(fleet.MaxChunk)
		for b.Loop() {
			if _, err := fleet.Restore(chunks); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkMemory measures the heap that a state retains after every host was
// maintained, so that the window of ids is full and the ring of digests allocated.
func BenchmarkMemory(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *fleet.State) {
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

// heap returns the bytes of live heap objects after a garbage collection.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
