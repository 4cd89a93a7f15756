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
	// The session sends one chunk at a time, so a control message waits for at
	// most one chunk of bulk data.
	_chunkBytes      = 16 << 10
	_readBufferBytes = 16 << 10
)

// lane is one stream of a connection with a bounded send queue.
type lane struct {
	stream       *yamux.Stream
	queue        chan *Envelope
	maxFrame     int
	writeTimeout time.Duration
}

// post queues an envelope without waiting. It returns ErrTooLarge or
// ErrQueueFull.
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

// coalesce encodes e and further queued envelopes into b, until b holds at least
// one chunk or the queue is empty.
func (l *lane) coalesce(b *bytes.Buffer, e *Envelope) error {
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

// write sends the buffer in chunks and resets it.
func (l *lane) write(b *bytes.Buffer) error {
	if err := l.stream.SetWriteDeadline(time.Now().Add(l.writeTimeout)); err != nil {
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

// read calls receive with each envelope until the stream ends, and returns why
// it ended.
func (l *lane) read(receive func(*Envelope)) error {
	r := bufio.NewReaderSize(l.stream, _readBufferBytes)
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
