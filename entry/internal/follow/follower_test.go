package follow

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"fescuelanding/entry/internal/view"
	"fescuelanding/entry/internal/viewtest"
	"fescuelanding/fleet"
	"fescuelanding/fleet/platform"
	"fescuelanding/fleet/record"
)

// stream is a log in memory that has dropped the records before first.
type stream struct {
	records []platform.Record
	first   uint64
	down    bool
}

func (s *stream) add(t *testing.T, r *record.Record) {
	b, err := proto.Marshal(r)
	assert.NilError(t, err)
	s.records = append(s.records, platform.NewRecord(uint64(len(s.records)+1), b))
}

func (s *stream) read(_ context.Context, from uint64, _ time.Duration) (platform.Batch, error) {
	if s.down {
		return platform.Batch{}, platform.ErrUnavailable
	}
	if from < s.first {
		return platform.Batch{}, &platform.ExpiredError{From: from, First: s.first}
	}
	return platform.NewBatch(s.first, uint64(len(s.records)), s.records[from-1:]...), nil
}

// newStream returns a log of n registrations, and the state after them.
func newStream(t *testing.T, n int) (*stream, *fleet.State) {
	s := &stream{first: 1}
	var f viewtest.Fleet
	for i := range n {
		r := &record.Record{Writer: "e1", Body: &record.Record_EntryRegister{EntryRegister: &record.EntryRegister{
			Entry: "e1", Incarnation: uint64(i + 1), DataCentre: "dc1", PeerAddress: "127.0.0.1:1", AdminAddress: "127.0.0.1:2",
		}}}
		f.Apply(t, r)
		s.add(t, r)
	}
	return s, f.State()
}

func follower(s *stream) (*Follower, *[]uint64) {
	shown := new([]uint64)
	return &Follower{Read: s.read, Publish: func(v *view.View) { *shown = append(*shown, v.Offset()) }}, shown
}

func TestOffersJoinOnOnly(t *testing.T) {
	s, _ := newStream(t, 5)
	f, _ := follower(s)
	f.Offer(s.records[2:4])
	assert.Equal(t, f.Offset(), uint64(0), "records behind a gap were applied")
	f.Offer(s.records[:2])
	f.Offer(s.records[:4])
	assert.Equal(t, f.Offset(), uint64(4))
	f.Offer(s.records[:1])
	assert.Equal(t, f.Offset(), uint64(4), "the offset went back")
}

func TestHeadIsProvedByTheLogOnly(t *testing.T) {
	s, _ := newStream(t, 3)
	f, shown := follower(s)
	proved := 0
	f.CaughtUp = func(time.Time) { proved++ }
	f.Offer(s.records[:2])
	assert.Equal(t, proved, 0)
	s.down = true
	assert.ErrorIs(t, f.step(t.Context()), platform.ErrUnavailable)
	assert.Equal(t, proved, 0)
	s.down = false
	assert.NilError(t, f.step(t.Context()))
	assert.Equal(t, proved, 1)
	assert.DeepEqual(t, *shown, []uint64{2, 3})
}

func TestDamagedRecordMovesTheOffset(t *testing.T) {
	s, _ := newStream(t, 1)
	s.records = append(s.records, platform.NewRecord(2, []byte{0xff}))
	f, _ := follower(s)
	assert.NilError(t, f.step(t.Context()))
	assert.Equal(t, f.Offset(), uint64(2))
}

func TestExpiredLogIsTakenUpFromItsCheckpoint(t *testing.T) {
	s, state := newStream(t, 6)
	want := state.Digest()
	const chunk = 64
	for _, c := range state.Checkpoint(chunk) {
		s.add(t, &record.Record{Body: &record.Record_Checkpoint{Checkpoint: c}})
	}
	assert.Assert(t, len(s.records) > 7, "the checkpoint has one chunk only")
	s.first = 7
	f, _ := follower(s)
	assert.NilError(t, f.step(t.Context()))
	assert.Equal(t, f.Offset(), uint64(6))
	f.WithState(func(g *fleet.State) { assert.Equal(t, g.Digest(), want) })
	assert.NilError(t, f.step(t.Context()))
	assert.Equal(t, f.Offset(), uint64(len(s.records)))
}

func TestHalfACheckpointIsNotTaken(t *testing.T) {
	s, state := newStream(t, 6)
	const chunk = 64
	l := state.Checkpoint(chunk)
	for _, c := range l[:len(l)-1] {
		s.add(t, &record.Record{Body: &record.Record_Checkpoint{Checkpoint: c}})
	}
	s.first = 7
	f, _ := follower(s)
	assert.ErrorIs(t, f.step(t.Context()), ErrNoCheckpoint)
	assert.Equal(t, f.Offset(), uint64(0))
}

// TestCheckpointNeedsWhatFollowsIt has a whole checkpoint in the log, but the
// record after its offset has been dropped.
func TestCheckpointNeedsWhatFollowsIt(t *testing.T) {
	s, state := newStream(t, 6)
	const chunk = 64
	l := state.Checkpoint(chunk)
	s.add(t, &record.Record{Body: &record.Record_Checkpoint{}})
	for _, c := range l {
		s.add(t, &record.Record{Body: &record.Record_Checkpoint{Checkpoint: c}})
	}
	s.first = 8
	f, _ := follower(s)
	assert.ErrorIs(t, f.step(t.Context()), ErrNoCheckpoint)
	s.first = 7
	assert.NilError(t, f.step(t.Context()))
	assert.Equal(t, f.Offset(), uint64(6))
}

func TestRestoreNeverGoesBack(t *testing.T) {
	s, state := newStream(t, 6)
	const chunk = 64
	l := state.Checkpoint(chunk)
	f, shown := follower(s)
	f.Offer(s.records[:5])
	proved := 0
	f.CaughtUp = func(time.Time) { proved++ }
	assert.ErrorIs(t, f.Restore(l[1:]), fleet.ErrCheckpoint)
	assert.NilError(t, f.Restore(l))
	assert.Equal(t, f.Offset(), uint64(6))
	assert.ErrorIs(t, f.Restore(l), ErrNotAhead)
	_, older := newStream(t, 5)
	assert.ErrorIs(t, f.Restore(older.Checkpoint(chunk)), ErrNotAhead)
	assert.Equal(t, f.Offset(), uint64(6))
	assert.DeepEqual(t, *shown, []uint64{5, 6})
	assert.Equal(t, proved, 0, "a peer's state proved the log's head")
}

func TestRecentAnswersPeers(t *testing.T) {
	s, _ := newStream(t, 5)
	f, _ := follower(s)
	assert.NilError(t, f.step(t.Context()))
	const most = 2
	l, first, head := f.Recent(3, most)
	assert.Equal(t, len(l), most)
	assert.Equal(t, l[0].Offset(), uint64(3))
	assert.Equal(t, first, uint64(1))
	assert.Equal(t, head, uint64(5))
	l, _, _ = f.Recent(9, most)
	assert.Equal(t, len(l), 0)
}
