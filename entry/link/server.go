package link

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// send writes a message, prefixed by its size, in one write.
func send(w io.Writer, m proto.Message) error {
	var b bytes.Buffer
	if _, err := protodelim.MarshalTo(&b, m); err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	if _, err := w.Write(b.Bytes()); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// _maxCalls limits the calls of one connection that are in progress.
const _maxCalls = 1024

// Server answers the calls of other entries.
type Server struct {
	// Handle answers one call. It runs on a goroutine of its own for each call.
	// A nil answer is sent as one with OUTCOME_UNSPECIFIED.
	Handle func(ctx context.Context, q *Call) *Answer

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Serve accepts connections until the listener is closed. It then closes them all
// and returns nil.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			s.closeAll()
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		s.mu.Lock()
		if s.conns == nil {
			s.conns = make(map[net.Conn]struct{})
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(ctx, c)
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) serve(ctx context.Context, c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	y, err := yamux.Server(c, sessionConfig())
	if err != nil {
		return
	}
	defer y.Close()
	t, err := y.Accept()
	if err != nil {
		return
	}
	s.read(ctx, t)
}

// read answers the calls of a stream until the stream ends.
func (s *Server) read(ctx context.Context, t net.Conn) {
	r := bufio.NewReader(t)
	slots := make(chan struct{}, _maxCalls)
	var mu sync.Mutex
	for {
		var q Call
		if err := (protodelim.UnmarshalOptions{MaxSize: MaxMessage}).UnmarshalFrom(r, &q); err != nil {
			return
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			m := &Answer{}
			if a := s.Handle(ctx, &q); a != nil {
				m = proto.CloneOf(a) // An answer may go to several callers.
			}
			m.Number = q.GetNumber()
			mu.Lock()
			defer mu.Unlock()
			if err := send(t, m); err != nil {
				t.Close()
			}
		}()
	}
}
