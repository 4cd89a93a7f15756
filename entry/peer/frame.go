package peer

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// byteReader reads single bytes without buffering. A buffered reader would
// consume bytes of the yamux session, which follows the handshake directly.
type byteReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r, b[:])
	return b[0], err
}

func writeFrame(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return err
}

func readFrame(r io.Reader, m proto.Message) error {
	o := protodelim.UnmarshalOptions{MaxSize: _maxHelloBytes}
	return classify(o.UnmarshalFrom(byteReader{r}, m))
}

// classify wraps decoding errors with ErrBadFrame and timeouts with
// ErrWriteTimeout. It returns other errors as they are.
func classify(err error) error {
	var large *protodelim.SizeTooLargeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &large), errors.Is(err, proto.Error):
		return fmt.Errorf("%w: %w", ErrBadFrame, err)
	case errors.Is(err, yamux.ErrTimeout), errors.Is(err, yamux.ErrConnectionWriteTimeout),
		errors.Is(err, os.ErrDeadlineExceeded):
		return fmt.Errorf("%w: %w", ErrTimeout, err)
	default:
		return err
	}
}
