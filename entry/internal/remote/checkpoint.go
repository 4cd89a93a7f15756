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
	// _peerChunk leaves room in a frame for what is around a chunk's data, and
	// for an object that is larger than a chunk.
	_peerChunk = fleet.MaxChunk / 2
	// _checkpointKept is how long a checkpoint is kept for whoever fetches it.
	_checkpointKept = 10 * time.Second
	// _maxChunks bounds what a peer's checkpoint may take up here.
	_maxChunks = 256
)

// errOver means that a checkpoint is no longer kept; it has to be fetched from
// its beginning.
var errOver = errors.New("checkpoint is no longer kept")

// shelf keeps the last checkpoint made, encoded, so that one whose chunks are
// fetched one by one is of one offset, and is made once for all who fetch.
type shelf struct {
	mu     sync.Mutex
	at     uint64
	made   time.Time
	chunks [][]byte
}

// chunk returns a chunk of the checkpoint at an offset. Zero stands for the
// kept one, or a new one where that is old.
func (s *shelf) chunk(now time.Time, f *follow.Follower, at uint64, n uint32) (*peer.CheckpointChunk, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if at == 0 && s.chunks == nil {
		if err := s.fill(now, f); err != nil {
			return nil, err
		}
	}
	if s.chunks == nil || at != 0 && at != s.at || uint64(n) >= uint64(len(s.chunks)) {
		return nil, errOver
	}
	return &peer.CheckpointChunk{AtOffset: s.at, Chunk: n, Chunks: uint32(len(s.chunks)), Data: s.chunks[n]}, nil
}

// fill makes a checkpoint of the follower's state.
func (s *shelf) fill(now time.Time, f *follow.Follower) error {
	var l []*record.Checkpoint
	f.WithState(func(g *fleet.State) {
		if g.Offset() > 0 {
			l = g.Checkpoint(_peerChunk)
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
		s.at, s.made, s.chunks = l[0].GetAtOffset(), now, chunks
	}
	return nil
}

// drop forgets a checkpoint that is old.
func (s *shelf) drop(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
}

// expire is drop with the lock held.
func (s *shelf) expire(now time.Time) {
	if now.Sub(s.made) >= _checkpointKept {
		s.chunks = nil
	}
}

// checkpoint answers with a chunk, or with why there is none.
func (s *Server) checkpoint(now time.Time, in peer.Inbound, m *peer.FetchCheckpoint) {
	c, err := s.shelf.chunk(now, s.Follower, m.GetAtOffset(), m.GetChunk())
	if err != nil {
		reply(in, &peer.Fault{Detail: err.Error()})
		return
	}
	if m.GetAtOffset() == 0 {
		time.AfterFunc(_checkpointKept, func() { s.shelf.drop(time.Now()) })
	}
	if errors.Is(in.Reply(c), peer.ErrTooLarge) {
		reply(in, &peer.Fault{Detail: "chunk doesn't fit a frame"})
	}
}

// FetchCheckpoint asks an entry for its state, chunk by chunk. It returns
// ErrReply for chunks that don't belong together, and a *peer.FaultError where
// the entry keeps the checkpoint no longer, or has none.
func (c *Client) FetchCheckpoint(ctx context.Context, entry string) ([]*record.Checkpoint, error) {
	l, err := gather(func(m *peer.FetchCheckpoint) (peer.Message, error) { return c.Peers.Call(ctx, entry, m) })
	if err != nil {
		return nil, fmt.Errorf("fetch checkpoint of %s: %w", entry, err)
	}
	return l, nil
}

// gather asks for one chunk after the other.
func gather(call func(*peer.FetchCheckpoint) (peer.Message, error)) ([]*record.Checkpoint, error) {
	var l []*record.Checkpoint
	q := &peer.FetchCheckpoint{}
	for {
		m, err := call(q)
		if err != nil {
			return nil, fmt.Errorf("fetch chunk %d: %w", q.GetChunk(), err)
		}
		k, err := chunkFrom(q, m)
		if err != nil {
			return nil, fmt.Errorf("chunk %d: %w", q.GetChunk(), err)
		}
		if l = append(l, k); len(l) == int(k.GetChunks()) {
			return l, nil
		}
		q = &peer.FetchCheckpoint{AtOffset: k.GetAtOffset(), Chunk: uint32(len(l))}
	}
}

// chunkFrom decodes the answer to a question.
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
		return nil, fmt.Errorf("%w: chunk %d of %d at %d", ErrUnexpectedReply, k.GetChunk(), k.GetChunks(), k.GetAtOffset())
	}
	return &k, nil
}
