package peer

import (
	"encoding/binary"
	"fmt"
	"net"
	"sync/atomic"
)

// Layout of a yamux header; only these two kinds of frame matter here.
const (
	_headerBytes         = 12
	_headerTypeAt        = 1
	_headerLengthAt      = 8
	_typeData       byte = 0
	_typePing       byte = 2
)

// screen stands between a session and its connection.
//
// It ends the connection at the first ping of the session protocol. Entries
// send none, and the session starts a goroutine to answer each, so that a peer
// that sends pings and reads nothing would use up this process's memory.
//
// It also sends a header together with its body. The session writes the two
// apart, which would make two packets of each heartbeat.
type screen struct {
	net.Conn
	out    []byte
	header [_headerBytes]byte
	have   int
	body   uint32
	err    atomic.Pointer[error]
}

// Read implements net.Conn.
func (s *screen) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if ping := s.inspect(p[:n]); ping != nil {
		s.err.Store(&ping)
		return 0, ping
	}
	return n, err
}

// Write implements net.Conn. The header of a frame with a body is kept until
// the body follows.
func (s *screen) Write(p []byte) (int, error) {
	if len(s.out) == 0 && announcesBody(p) {
		s.out = append(s.out, p...)
		return len(p), nil
	}
	s.out = append(s.out, p...)
	n, err := s.Conn.Write(s.out)
	kept := len(s.out) - len(p)
	s.out = s.out[:0]
	return max(0, n-kept), err
}

// announcesBody reports whether p is the header of a frame with a body.
func announcesBody(p []byte) bool {
	return len(p) == _headerBytes && p[_headerTypeAt] == _typeData &&
		binary.BigEndian.Uint32(p[_headerLengthAt:]) > 0
}

// fault returns why the connection was ended, or nil.
func (s *screen) fault() error {
	if e := s.err.Load(); e != nil {
		return *e
	}
	return nil
}

func (s *screen) inspect(p []byte) error {
	for len(p) > 0 {
		if s.body > 0 {
			n := min(uint64(s.body), uint64(len(p)))
			s.body -= uint32(n)
			p = p[n:]
			continue
		}
		n := copy(s.header[s.have:], p)
		s.have += n
		p = p[n:]
		if s.have < _headerBytes {
			continue
		}
		s.have = 0
		switch s.header[_headerTypeAt] {
		case _typePing:
			return fmt.Errorf("%w: session ping", ErrBadFrame)
		case _typeData:
			s.body = binary.BigEndian.Uint32(s.header[_headerLengthAt:])
		}
	}
	return nil
}
