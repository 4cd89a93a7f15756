package peer

import (
	"encoding/binary"
	"fmt"
	"net"
	"sync/atomic"
)

// Layout of a yamux header, of which only these two kinds of frame matter here.
const (
	_headerBytes         = 12
	_headerTypeAt        = 1
	_headerLengthAt      = 8
	_typeData       byte = 0
	_typePing       byte = 2
)

// screen ends a connection at the first ping of the session protocol. Entries
// send none, and the session starts a goroutine to answer each, so that a peer
// that sends pings and reads nothing would use up this process's memory.
type screen struct {
	net.Conn
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
			return fmt.Errorf("%w: session ping", ErrFrame)
		case _typeData:
			s.body = binary.BigEndian.Uint32(s.header[_headerLengthAt:])
		}
	}
	return nil
}
