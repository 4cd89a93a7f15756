package remote

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"fescuelanding/entry/internal/follow"
	"fescuelanding/entry/internal/view"
	"fescuelanding/entry/peer"
	"fescuelanding/fleet"
	"fescuelanding/fleet/config"
	"fescuelanding/fleet/config/configtest"
	"fescuelanding/fleet/platform"
	"fescuelanding/fleet/record"
)

const _limit = 10 * time.Second

var _start = time.Unix(1_000_000, 0)

// follower returns one that has applied a configuration.
func follower(t *testing.T, s configtest.Size) *follow.Follower {
	c, err := config.FromSections(s.Sections())
	assert.NilError(t, err)
	f := &follow.Follower{Publish: func(*view.View) {}}
	offer(t, f, &record.Record{Writer: "operator", Body: &record.Record_ConfigChange{
		ConfigChange: config.Config{}.Diff(c),
	}})
	return f
}

// offer has a follower apply one more record.
func offer(t *testing.T, f *follow.Follower, r *record.Record) {
	o := f.Offset() + 1
	r.Id = []byte{byte(o), 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}
	b, err := proto.Marshal(r)
	assert.NilError(t, err)
	f.Offer([]platform.Record{platform.NewRecord(o, b)})
	assert.Equal(t, f.Offset(), o)
}

func digest(f *follow.Follower) (d uint64) {
	f.WithState(func(s *fleet.State) { d = s.Digest() })
	return d
}

// TestFullSizeCheckpointPassesBetweenPeers sends the state of the largest fleet
// over a connection, whose frames are bounded.
func TestFullSizeCheckpointPassesBetweenPeers(t *testing.T) {
	f := follower(t, configtest.Size{Hosts: configtest.Hosts, Pools: configtest.Pools})
	f.WithState(func(s *fleet.State) {
		assert.Assert(t, len(s.Checkpoint(_peerChunk)) > 2, "the state is small")
	})
	c, ctx := connect(t, f)
	l, err := c.FetchCheckpoint(ctx, "b")
	assert.NilError(t, err)
	g := &follow.Follower{Publish: func(*view.View) {}}
	assert.NilError(t, g.Restore(l))
	assert.Equal(t, digest(g), digest(f))
}

// TestRecordsBeforeACheckpointAreExpired asks a peer that took its own state
// from a checkpoint.
func TestRecordsBeforeACheckpointAreExpired(t *testing.T) {
	var l []*record.Checkpoint
	follower(t, configtest.Size{Hosts: 2, Pools: 1}).WithState(func(s *fleet.State) { l = s.Checkpoint(_peerChunk) })
	f := &follow.Follower{Publish: func(*view.View) {}}
	assert.NilError(t, f.Restore(l))
	c, ctx := connect(t, f)
	_, err := c.Fetch(ctx, "b", f.Offset())
	assert.ErrorIs(t, err, ErrExpired)
	offer(t, f, &record.Record{})
	r, err := c.Fetch(ctx, "b", f.Offset())
	assert.NilError(t, err)
	assert.Equal(t, len(r), 1)
}

// connect returns a client that is connected with entry b, which has a follower.
func connect(t *testing.T, f *follow.Follower) (Client, context.Context) {
	a := peer.New(peer.Identity{Entry: "a", Incarnation: 1, DataCentre: "dc1"})
	b := peer.New(peer.Identity{Entry: "b", Incarnation: 2, DataCentre: "dc1"})
	b.Handle = (&Server{Follower: f}).Handle
	at := serve(t, b)
	serve(t, a)
	a.SetPeers([]peer.Peer{{Entry: "b", Address: at}})
	ctx, cancel := context.WithTimeout(t.Context(), _limit)
	t.Cleanup(cancel)
	for len(a.Peers()) == 0 || !a.Peers()[0].Connected() {
		assert.NilError(t, ctx.Err())
		time.Sleep(time.Millisecond)
	}
	return Client{Peers: a}, ctx
}

func serve(t *testing.T, s *peer.Set) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx, l)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return l.Addr().String()
}

// TestCheckpointIsOfOneOffset has the state move on between two chunks.
func TestCheckpointIsOfOneOffset(t *testing.T) {
	f := follower(t, configtest.Size{Hosts: configtest.Hosts, Pools: configtest.Pools})
	want := digest(f)
	var s shelf
	call := func(m *peer.FetchCheckpoint) (peer.Message, error) {
		defer offer(t, f, &record.Record{})
		return s.chunk(_start, f, m.GetAtOffset(), m.GetChunk())
	}
	l, err := gather(call)
	assert.NilError(t, err)
	g := &follow.Follower{Publish: func(*view.View) {}}
	assert.NilError(t, g.Restore(l))
	assert.Equal(t, digest(g), want)

	again, err := s.chunk(_start.Add(_checkpointKept-1), f, 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, again.GetAtOffset(), l[0].GetAtOffset(), "it was made twice")
	_, err = s.chunk(_start.Add(_checkpointKept), f, l[0].GetAtOffset(), 1)
	assert.ErrorIs(t, err, errOver)
	next, err := s.chunk(_start.Add(_checkpointKept), f, 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, next.GetAtOffset(), f.Offset())
	_, err = s.chunk(_start.Add(_checkpointKept), f, l[0].GetAtOffset(), 1)
	assert.ErrorIs(t, err, errOver, "chunks of two checkpoints were mixed")
	_, err = s.chunk(_start.Add(_checkpointKept), f, f.Offset(), next.GetChunks())
	assert.ErrorIs(t, err, errOver)
	s.drop(_start.Add(2 * _checkpointKept))
	assert.Assert(t, s.chunks == nil, "an old checkpoint takes up memory")
}

func TestEmptyStateGivesNoCheckpoint(t *testing.T) {
	var s shelf
	_, err := s.chunk(_start, &follow.Follower{}, 0, 0)
	assert.ErrorIs(t, err, errOver)
}

// TestWrongChunksAreRefused has a peer answer badly.
func TestWrongChunksAreRefused(t *testing.T) {
	chunk := func(at uint64, n, of uint32) peer.Message {
		b, err := proto.Marshal(&record.Checkpoint{AtOffset: at, Chunk: n, Chunks: of})
		assert.NilError(t, err)
		return &peer.CheckpointChunk{Data: b}
	}
	for _, c := range []struct {
		name    string
		answers []peer.Message
	}{
		{"another kind", []peer.Message{&peer.Ack{}}},
		{"damaged", []peer.Message{&peer.CheckpointChunk{Data: []byte{0xff}}}},
		{"no offset", []peer.Message{chunk(0, 0, 1)}},
		{"wrong number", []peer.Message{chunk(7, 1, 2)}},
		{"no chunks", []peer.Message{chunk(7, 0, 0)}},
		{"too many", []peer.Message{chunk(7, 0, _maxChunks+1)}},
		{"another offset", []peer.Message{chunk(7, 0, 2), chunk(8, 1, 2)}},
		{"fewer than said", []peer.Message{chunk(7, 0, 3), chunk(7, 1, 1)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := gather(func(m *peer.FetchCheckpoint) (peer.Message, error) {
				return c.answers[m.GetChunk()], nil
			})
			assert.ErrorIs(t, err, ErrUnexpectedReply)
		})
	}
}
