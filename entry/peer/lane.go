package peer

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	_controlFrameBytes = 64 << 10
	_controlQueue      = 4096
	_bulkFrameBytes    = 256 << 10
	_bulkQueue         = 32
	// The session sends one chunk at a time, so control waits for at most one
	// chunk of bulk.
	_chunkBytes  = 16 << 10
	_readerBytes = 16 << 10
)

// lane is one stream of a connection with the bounded queue in front of it.
type lane struct {
	stream   *yamux.Stream
	queue    chan *Envelope
	maxFrame int
	timeout  time.Duration
}

// post queues an envelope and never waits.
func (l *lane) post(e *Envelope) error {
	if n := proto.Size(e); n > l.maxFrame {
		return fmt.Errorf("%w: %d bytes, limit %d", ErrTooLarge, n, l.maxFrame)
	}
	select {
	case l.queue <- e:
		return nil
	default:
		return ErrQueueFull
	}
}

// gather appends e and as many queued envelopes as make up about a chunk.
func (l *lane) gather(b *bytes.Buffer, e *Envelope) error {
	for {
		if _, err := protodelim.MarshalTo(b, e); err != nil {
			return fmt.Errorf("marshal: %w", err)
		}
		if b.Len() >= _chunkBytes {
			return nil
		}
		select {
		case e = <-l.queue:
		default:
			return nil
		}
	}
}

// write sends the buffer in chunks and empties it.
func (l *lane) write(b *bytes.Buffer) error {
	if err := l.stream.SetWriteDeadline(time.Now().Add(l.timeout)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	for b.Len() > 0 {
		if _, err := l.stream.Write(b.Next(_chunkBytes)); err != nil {
			return fmt.Errorf("write: %w", classify(err))
		}
	}
	b.Reset()
	return nil
}

// read hands each envelope to receive until the stream ends.
func (l *lane) read(receive func(*Envelope)) error {
	r := bufio.NewReaderSize(l.stream, _readerBytes)
	o := protodelim.UnmarshalOptions{MaxSize: int64(l.maxFrame)}
	for {
		e := new(Envelope)
		switch err := o.UnmarshalFrom(r, e); {
		case errors.Is(err, io.EOF):
			return ErrDisconnected
		case err != nil:
			return fmt.Errorf("read: %w", classify(err))
		}
		receive(e)
	}
}
