package fleet_test

import (
	"errors"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"fescuelanding/fleet"
	"fescuelanding/fleet/config/configtest"
	"fescuelanding/fleet/record"
)

// _chunk is the size of the chunks of most tests, in bytes.
const _chunk = 4096

// largeState returns the fleet of configtest with nine entries.
func largeState(t testing.TB) *fleet.State {
	return stateOf(t, configtest.Sections())
}

// stateOf returns a state with some sections and nine entries.
func stateOf(t testing.TB, sections []*record.Section) *fleet.State {
	s := new(fleet.State)
	assert.NilError(t, s.Apply(1, &record.Record{Body: &record.Record_ConfigChange{
		ConfigChange: &record.ConfigChange{Set: sections},
	}}))
	const entries = 9
	for i := range entries {
		register(t, s, fmt.Sprintf("e%d", i))
	}
	return s
}

// register registers an entry.
func register(t testing.TB, s *fleet.State, entry string) {
	r := &record.Record{Writer: entry, Body: &record.Record_EntryRegister{EntryRegister: &record.EntryRegister{
		Entry: entry, Incarnation: 1, DataCentre: "dc0", PeerAddress: entry + ":1",
	}}}
	fill(s, r)
	assert.NilError(t, s.Apply(s.Offset()+1, r))
}

func TestCheckpointChunks(t *testing.T) {
	s := largeState(t)
	chunks := s.Checkpoint(_chunk)
	for _, c := range chunks {
		assert.Assert(t, len(c.GetData()) <= _chunk)
	}
	o, err := fleet.Restore(chunks)
	assert.NilError(t, err)
	assert.Equal(t, o.Digest(), s.Digest())
	again := o.Checkpoint(_chunk)
	assert.Equal(t, len(again), len(chunks))
	for i := range again {
		assert.Assert(t, proto.Equal(again[i], chunks[i]))
	}
}

func TestRestoreRefuses(t *testing.T) {
	s := largeState(t)
	whole := func() []*record.Checkpoint { return s.Checkpoint(_chunk) }
	later := largeState(t)
	register(t, later, "another")
	tests := []struct {
		name   string
		chunks func() []*record.Checkpoint
	}{
		{"none", func() []*record.Checkpoint { return nil }},
		{"missing", func() []*record.Checkpoint { return whole()[1:] }},
		{"two checkpoints", func() []*record.Checkpoint { return append(whole()[1:], later.Checkpoint(_chunk)[0]) }},
		{"number", func() []*record.Checkpoint { c := whole(); c[0].Chunk = c[0].Chunks; return c }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := fleet.Restore(test.chunks())
			assert.ErrorIs(t, err, fleet.ErrCheckpoint)
		})
	}
}

func TestRestoreComparesDigest(t *testing.T) {
	chunks := largeState(t).Checkpoint(_chunk)
	for _, c := range chunks {
		c.Digest++
	}
	_, err := fleet.Restore(chunks)
	var m *fleet.DigestMismatch
	assert.Assert(t, errors.As(err, &m))
	assert.Equal(t, m.Other(), m.Own()+1)
	assert.Equal(t, m.Offset(), chunks[0].GetAtOffset())
}

// TestCheckpointInLog writes a checkpoint into the log: a running entry finds it
// right, and a fresh one that reads it and the rest holds the same state.
func TestCheckpointInLog(t *testing.T) {
	s := largeState(t)
	at, digest := s.Offset(), s.Digest()
	var a fleet.Assembler
	chunks := s.Checkpoint(_chunk)
	register(t, s, "meanwhile")
	var log []*record.Record
	var gathered []*record.Checkpoint
	for i, c := range chunks {
		r := &record.Record{Body: &record.Record_Checkpoint{Checkpoint: c}}
		assert.NilError(t, s.Apply(s.Offset()+1, r))
		log = append(log, r)
		assert.Equal(t, len(gathered), 0, "whole before chunk %d", i)
		gathered = a.Add(c)
	}
	was, known := s.DigestAt(at)
	assert.Assert(t, known)
	assert.Equal(t, was, digest)
	whole, from := s.LastCheckpoint()
	assert.Equal(t, whole, at)
	assert.Equal(t, from, at+2)
	o, err := fleet.Restore(gathered)
	assert.NilError(t, err)
	register(t, o, "meanwhile")
	for _, r := range log {
		assert.NilError(t, o.Apply(o.Offset()+1, r))
	}
	assert.Equal(t, o.Digest(), s.Digest())
}

func TestAssemblerKeepsTheLatest(t *testing.T) {
	s := largeState(t)
	old := s.Checkpoint(_chunk)
	register(t, s, "another")
	recent := s.Checkpoint(fleet.MaxChunk * 8)
	var a fleet.Assembler
	assert.Equal(t, len(a.Add(&record.Checkpoint{})), 0)
	assert.Equal(t, len(a.Add(old[0])), 0)
	assert.Equal(t, len(recent), 1)
	assert.Equal(t, len(a.Add(recent[0])), 1)
	for _, c := range old {
		assert.Equal(t, len(a.Add(c)), 0)
	}
}

func TestOffsetsOnlyGrow(t *testing.T) {
	s := largeState(t)
	digest := s.Digest()
	var e *fleet.OffsetError
	assert.Assert(t, errors.As(s.Apply(s.Offset(), &record.Record{}), &e))
	assert.Equal(t, e.Offset(), e.Last())
	assert.Equal(t, s.Digest(), digest)
}

// TestWindows fills the windows of ids and digests: a repetition is named for as
// long as its id is remembered, and held back by its basis after that.
func TestWindows(t *testing.T) {
	s := largeState(t)
	const ids, digests = 4096, 1 << 14
	r := &record.Record{Id: []byte("first"), Body: &record.Record_WaveStart{WaveStart: &record.WaveStart{Wave: "w"}}}
	assert.NilError(t, s.Apply(s.Offset()+1, r))
	first := s.Offset()
	for i := 1; s.Offset()-first < digests; i++ {
		_, known := s.DigestAt(first)
		assert.Assert(t, known)
		rejected(t, s, &record.Record{Id: fmt.Appendf(nil, "%d", i)}, fleet.ReasonMalformed)
		switch i {
		case ids - 1:
			rejected(t, s, r, fleet.ReasonDuplicate)
		case ids:
			rejected(t, s, r, fleet.ReasonStaleBasis)
		}
	}
	_, known := s.DigestAt(first)
	assert.Assert(t, !known)
	o, err := fleet.Restore(s.Checkpoint(_chunk))
	assert.NilError(t, err)
	assert.Equal(t, o.Digest(), s.Digest())
	rejected(t, o, &record.Record{Id: fmt.Appendf(nil, "%d", digests-ids/2)}, fleet.ReasonDuplicate)
}

// rejected applies a record that a guard must hold back.
func rejected(t testing.TB, s *fleet.State, r *record.Record, want fleet.Reason) {
	t.Helper()
	err := s.Apply(s.Offset()+1, r)
	var j *fleet.Rejection
	assert.Assert(t, errors.As(err, &j), "%v", err)
	assert.Equal(t, j.Reason().String(), want.String(), j.Detail())
}

func TestOpenCampaignsAreBounded(t *testing.T) {
	s := new(fleet.State)
	const open = 128
	start := func(i int) (recall, wave *record.Record) {
		n := fmt.Sprint(i)
		return &record.Record{Body: &record.Record_RecallStart{RecallStart: &record.RecallStart{Recall: n, Batch: "b"}}},
			&record.Record{Body: &record.Record_WaveStart{WaveStart: &record.WaveStart{Wave: n}}}
	}
	for i := range open {
		r, w := start(i)
		assert.NilError(t, s.Apply(s.Offset()+1, r))
		assert.NilError(t, s.Apply(s.Offset()+1, w))
	}
	r, w := start(open)
	rejected(t, s, r, fleet.ReasonTooMany)
	rejected(t, s, w, fleet.ReasonTooMany)
}
