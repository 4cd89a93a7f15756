package peer

import (
	"encoding/binary"
	"fmt"
	"net"
	"sync/atomic"
)

// Layout of a yamux header, and the two frame types that the filter handles.
const (
	_headerBytes         = 12
	_headerTypeAt        = 1
	_headerLengthAt      = 8
	_frameTypeData  byte = 0
	_frameTypePing  byte = 2
)

// frameFilter is the connection that a yamux session reads and writes through.
//
// Its Read returns an error at the first yamux ping, which ends the connection.
// Entries send no pings, and yamux starts a goroutine to answer each ping: a
// peer that sends pings and reads nothing could exhaust the memory of this
// process.
//
// It also writes each frame's header together with its body. yamux writes the
// two separately, which would take two packets for each heartbeat.
type frameFilter struct {
	net.Conn
	pendingWrite []byte
	header       [_headerBytes]byte
	headerBytes  int
	bodyLeft     uint32
	err          atomic.Pointer[error]
}

// Read implements net.Conn.
func (f *frameFilter) Read(p []byte) (int, error) {
	n, err := f.Conn.Read(p)
	if ping := f.checkPing(p[:n]); ping != nil {
		f.err.Store(&ping)
		return 0, ping
	}
	return n, err
}

// Write implements net.Conn. It holds back the header of a frame with a body
// until the body is written.
func (f *frameFilter) Write(p []byte) (int, error) {
	if len(f.pendingWrite) == 0 && announcesBody(p) {
		f.pendingWrite = append(f.pendingWrite, p...)
		return len(p), nil
	}
	f.pendingWrite = append(f.pendingWrite, p...)
	n, err := f.Conn.Write(f.pendingWrite)
	kept := len(f.pendingWrite) - len(p)
	f.pendingWrite = f.pendingWrite[:0]
	return max(0, n-kept), err
}

// announcesBody reports whether p is the header of a frame with a body.
func announcesBody(p []byte) bool {
	return len(p) == _headerBytes && p[_headerTypeAt] == _frameTypeData &&
		binary.BigEndian.Uint32(p[_headerLengthAt:]) > 0
}

// pingError returns the error of the first ping received, or nil.
func (f *frameFilter) pingError() error {
	if e := f.err.Load(); e != nil {
		return *e
	}
	return nil
}

func (f *frameFilter) checkPing(p []byte) error {
	for len(p) > 0 {
		if f.bodyLeft > 0 {
			n := min(uint64(f.bodyLeft), uint64(len(p)))
			f.bodyLeft -= uint32(n)
			p = p[n:]
			continue
		}
		n := copy(f.header[f.headerBytes:], p)
		f.headerBytes += n
		p = p[n:]
		if f.headerBytes < _headerBytes {
			continue
		}
		f.headerBytes = 0
		switch f.header[_headerTypeAt] {
		case _frameTypePing:
			return fmt.Errorf("%w: session ping", ErrBadFrame)
		case _frameTypeData:
			f.bodyLeft = binary.BigEndian.Uint32(f.header[_headerLengthAt:])
		}
	}
	return nil
}
