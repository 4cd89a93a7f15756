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

const _timeout = 10 * time.Second

var _start = time.Unix(1_000_000, 0)

// follower returns a follower that has applied a configuration.
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
// over a connection, which limits the size of a frame.
func TestFullSizeCheckpointPassesBetweenPeers(t *testing.T) {
	f := follower(t, configtest.Size{Hosts: configtest.Hosts, Pools: configtest.Pools})
	f.WithState(func(s *fleet.State) {
		assert.Assert(t, len(s.Checkpoint(_peerChunkBytes)) > 2, "the state fits into two chunks")
	})
	c, ctx := connect(t, f)
	l, err := c.FetchCheckpoint(ctx, "b")
	assert.NilError(t, err)
	g := &follow.Follower{Publish: func(*view.View) {}}
	assert.NilError(t, g.Restore(l))
	assert.Equal(t, digest(g), digest(f))
}

// TestRecordsBeforeCheckpointAreExpired fetches records from a peer that
// restored its own state from a checkpoint.
func TestRecordsBeforeCheckpointAreExpired(t *testing.T) {
	var l []*record.Checkpoint
	follower(t, configtest.Size{Hosts: 2, Pools: 1}).WithState(func(s *fleet.State) { l = s.Checkpoint(_peerChunkBytes) })
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

// connect returns a client connected to entry b, which serves records and
// checkpoints of f.
func connect(t *testing.T, f *follow.Follower) (Client, context.Context) {
	a := peer.New(peer.Identity{Entry: "a", Incarnation: 1, DataCentre: "dc1"})
	b := peer.New(peer.Identity{Entry: "b", Incarnation: 2, DataCentre: "dc1"})
	b.Handle = (&Server{Follower: f}).Handle
	at := serve(t, b)
	serve(t, a)
	a.SetPeers([]peer.Peer{{Entry: "b", Address: at}})
	ctx, cancel := context.WithTimeout(t.Context(), _timeout)
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

// TestCheckpointChunksHaveOneOffset applies a record to the state between the
// chunks of a checkpoint.
func TestCheckpointChunksHaveOneOffset(t *testing.T) {
	f := follower(t, configtest.Size{Hosts: configtest.Hosts, Pools: configtest.Pools})
	want := digest(f)
	var s checkpointCache
	call := func(m *peer.FetchCheckpoint) (peer.Message, error) {
		defer offer(t, f, &record.Record{})
		return s.chunk(_start, f, m.GetAtOffset(), m.GetChunk())
	}
	l, err := fetchChunks(call)
	assert.NilError(t, err)
	g := &follow.Follower{Publish: func(*view.View) {}}
	assert.NilError(t, g.Restore(l))
	assert.Equal(t, digest(g), want)

	again, err := s.chunk(_start.Add(_checkpointTTL-1), f, 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, again.GetAtOffset(), l[0].GetAtOffset(), "the checkpoint was made twice")
	_, err = s.chunk(_start.Add(_checkpointTTL), f, l[0].GetAtOffset(), 1)
	assert.ErrorIs(t, err, errChunkUnavailable)
	next, err := s.chunk(_start.Add(_checkpointTTL), f, 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, next.GetAtOffset(), f.Offset())
	_, err = s.chunk(_start.Add(_checkpointTTL), f, l[0].GetAtOffset(), 1)
	assert.ErrorIs(t, err, errChunkUnavailable, "chunks of two checkpoints were mixed")
	_, err = s.chunk(_start.Add(_checkpointTTL), f, f.Offset(), next.GetChunks())
	assert.ErrorIs(t, err, errChunkUnavailable)
	s.dropExpired(_start.Add(2 * _checkpointTTL))
	assert.Assert(t, s.chunks == nil, "an expired checkpoint was kept in memory")
}

func TestEmptyStateGivesNoCheckpoint(t *testing.T) {
	var s checkpointCache
	_, err := s.chunk(_start, &follow.Follower{}, 0, 0)
	assert.ErrorIs(t, err, errChunkUnavailable)
}

// TestWrongChunksAreRefused has a peer send replies that don't belong together
// or are damaged.
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
		{"another type", []peer.Message{&peer.Ack{}}},
		{"damaged", []peer.Message{&peer.CheckpointChunk{Data: []byte{0xff}}}},
		{"no offset", []peer.Message{chunk(0, 0, 1)}},
		{"wrong chunk number", []peer.Message{chunk(7, 1, 2)}},
		{"no chunks", []peer.Message{chunk(7, 0, 0)}},
		{"too many", []peer.Message{chunk(7, 0, _maxChunks+1)}},
		{"another offset", []peer.Message{chunk(7, 0, 2), chunk(8, 1, 2)}},
		{"changed number of chunks", []peer.Message{chunk(7, 0, 3), chunk(7, 1, 1)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := fetchChunks(func(m *peer.FetchCheckpoint) (peer.Message, error) {
				return c.answers[m.GetChunk()], nil
			})
			assert.ErrorIs(t, err, ErrUnexpectedReply)
		})
	}
}
