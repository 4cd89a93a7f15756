package remote

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"fescuelanding/entry/internal/follow"
	"fescuelanding/entry/peer"
	"fescuelanding/fleet"
	"fescuelanding/fleet/record"
)

const (
	// _peerChunkBytes limits the data of a chunk. It leaves room in a frame for
	// the other fields of the message. It also leaves room for a single object
	// that exceeds the limit, because objects are not split.
	_peerChunkBytes = fleet.MaxChunk / 2
	// _checkpointTTL is how long a checkpoint is kept for the entries that
	// fetch it.
	_checkpointTTL = 10 * time.Second
	// _maxChunks limits the memory that a client uses for a peer's checkpoint.
	_maxChunks = 256
)

// errChunkUnavailable means that the cached checkpoint doesn't have the requested
// chunk, in most cases because the checkpoint has expired. The client must fetch
// a new one from its first chunk. The error is also returned if the state is
// empty.
var errChunkUnavailable = errors.New("checkpoint is no longer kept")

// checkpointCache keeps the last checkpoint in encoded form. Thus all chunks
// that a client fetches one by one have the same offset, and one checkpoint
// serves all clients.
type checkpointCache struct {
	mu       sync.Mutex
	atOffset uint64
	madeAt   time.Time
	chunks   [][]byte
}

// chunk returns a chunk of the checkpoint at an offset. Offset zero means the
// cached checkpoint, or a new one if that has expired.
func (s *checkpointCache) chunk(now time.Time, f *follow.Follower, at uint64, n uint32) (*peer.CheckpointChunk, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpiredLocked(now)
	if at == 0 && s.chunks == nil {
		if err := s.fill(now, f); err != nil {
			return nil, err
		}
	}
	if s.chunks == nil || at != 0 && at != s.atOffset || uint64(n) >= uint64(len(s.chunks)) {
		return nil, errChunkUnavailable
	}
	return &peer.CheckpointChunk{AtOffset: s.atOffset, Chunk: n, Chunks: uint32(len(s.chunks)), Data: s.chunks[n]}, nil
}

// fill caches a checkpoint of the follower's state unless the state is empty.
func (s *checkpointCache) fill(now time.Time, f *follow.Follower) error {
	var l []*record.Checkpoint
	f.WithState(func(g *fleet.State) {
		if g.Offset() > 0 {
			l = g.Checkpoint(_peerChunkBytes)
		}
	})
	chunks := make([][]byte, 0, len(l))
	for _, c := range l {
		b, err := proto.Marshal(c)
		if err != nil {
			return fmt.Errorf("encode chunk: %w", err)
		}
		chunks = append(chunks, b)
	}
	if len(chunks) > 0 {
		s.atOffset, s.madeAt, s.chunks = l[0].GetAtOffset(), now, chunks
	}
	return nil
}

// dropExpired drops the checkpoint if it has expired.
func (s *checkpointCache) dropExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpiredLocked(now)
}

// dropExpiredLocked is dropExpired for callers that hold the lock.
func (s *checkpointCache) dropExpiredLocked(now time.Time) {
	if now.Sub(s.madeAt) >= _checkpointTTL {
		s.chunks = nil
	}
}

// checkpoint answers with a chunk, or with a fault that gives the reason why
// there is none.
func (s *Server) checkpoint(now time.Time, in peer.Inbound, m *peer.FetchCheckpoint) {
	c, err := s.cache.chunk(now, s.Follower, m.GetAtOffset(), m.GetChunk())
	if err != nil {
		reply(in, &peer.Fault{Detail: err.Error()})
		return
	}
	if m.GetAtOffset() == 0 {
		time.AfterFunc(_checkpointTTL, func() { s.cache.dropExpired(time.Now()) })
	}
	if errors.Is(in.Reply(c), peer.ErrTooLarge) {
		reply(in, &peer.Fault{Detail: "chunk doesn't fit a frame"})
	}
}

// FetchCheckpoint fetches the fleet state of an entry, chunk by chunk. It
// returns ErrUnexpectedReply for chunks that don't belong together, and a
// *peer.FaultError if the entry has no checkpoint or no longer keeps it.
func (c *Client) FetchCheckpoint(ctx context.Context, entry string) ([]*record.Checkpoint, error) {
	l, err := fetchChunks(func(m *peer.FetchCheckpoint) (peer.Message, error) { return c.Peers.Call(ctx, entry, m) })
	if err != nil {
		return nil, fmt.Errorf("fetch checkpoint of %s: %w", entry, err)
	}
	return l, nil
}

// fetchChunks fetches the chunks of a checkpoint one after the other.
func fetchChunks(call func(*peer.FetchCheckpoint) (peer.Message, error)) ([]*record.Checkpoint, error) {
	var l []*record.Checkpoint
	q := &peer.FetchCheckpoint{}
	for {
		m, err := call(q)
		if err != nil {
			return nil, fmt.Errorf("fetch chunk %d: %w", q.GetChunk(), err)
		}
		k, err := chunkFrom(q, m)
		if err != nil {
			return nil, fmt.Errorf("check chunk %d: %w", q.GetChunk(), err)
		}
		if l = append(l, k); len(l) == int(k.GetChunks()) {
			return l, nil
		}
		q = &peer.FetchCheckpoint{AtOffset: k.GetAtOffset(), Chunk: uint32(len(l))}
	}
}

// chunkFrom decodes and checks the answer to a call.
func chunkFrom(q *peer.FetchCheckpoint, m peer.Message) (*record.Checkpoint, error) {
	a, ok := m.(*peer.CheckpointChunk)
	if !ok {
		return nil, ErrUnexpectedReply
	}
	var k record.Checkpoint
	if err := proto.Unmarshal(a.GetData(), &k); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnexpectedReply, err)
	}
	if k.GetAtOffset() == 0 || k.GetChunk() != q.GetChunk() || k.GetChunk() >= k.GetChunks() ||
		k.GetChunks() > _maxChunks || q.GetAtOffset() != 0 && k.GetAtOffset() != q.GetAtOffset() {
		return nil, fmt.Errorf("%w: got chunk %d of %d, checkpoint at offset %d", ErrUnexpectedReply, k.GetChunk(), k.GetChunks(), k.GetAtOffset())
	}
	return &k, nil
}
