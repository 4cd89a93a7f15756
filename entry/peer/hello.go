package peer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	_magic         uint32 = 0x46534355
	_version       uint32 = 1
	_oldestVersion uint32 = 1

	_maxHelloBytes   = 1 << 10
	_maxNameBytes    = 128
	_handshakePeriod = time.Second
	_lingerPeriod    = 100 * time.Millisecond
	_lingerBytes     = 4 << 10
)

// Identity names a process of an entry.
type Identity struct {
	Entry       string
	Incarnation uint64
	DataCentre  string
}

func (i Identity) hello(wanted string) *Hello {
	return &Hello{
		Magic: _magic, Version: _version, Oldest: _oldestVersion,
		Entry: i.Entry, Incarnation: i.Incarnation, DataCentre: i.DataCentre, Wanted: wanted,
	}
}

// check judges the hello of the other side; wanted is the entry this side
// means to reach, or empty.
func (i Identity) check(h *Hello, wanted string) (Identity, error) {
	refuse := func(c RefusalCode, format string, args ...any) (Identity, error) {
		return Identity{}, &RefusedError{code: c, detail: fmt.Sprintf(format, args...)}
	}
	remote := Identity{Entry: h.GetEntry(), Incarnation: h.GetIncarnation(), DataCentre: h.GetDataCentre()}
	switch {
	case h.GetMagic() != _magic:
		return refuse(RefusalCode_REFUSAL_CODE_MALFORMED, "not a peer: wrong magic number %#x", h.GetMagic())
	case h.GetVersion() < _oldestVersion || h.GetOldest() > _version:
		return refuse(RefusalCode_REFUSAL_CODE_VERSION, "speaks protocol versions %d to %d, wanted %d to %d",
			h.GetOldest(), h.GetVersion(), _oldestVersion, _version)
	case remote.Entry == "" || len(remote.Entry) > _maxNameBytes || len(remote.DataCentre) > _maxNameBytes:
		return refuse(RefusalCode_REFUSAL_CODE_MALFORMED, "entry name or data centre is missing or too long")
	case remote.Incarnation == 0:
		return refuse(RefusalCode_REFUSAL_CODE_MALFORMED, "incarnation of %s is zero", remote.Entry)
	case remote.Entry == i.Entry:
		return refuse(RefusalCode_REFUSAL_CODE_SELF, "reached an entry named %s like this one", i.Entry)
	case wanted != "" && wanted != remote.Entry:
		return refuse(RefusalCode_REFUSAL_CODE_WRONG_ENTRY, "reached %s, wanted %s", remote.Entry, wanted)
	}
	return remote, nil
}

// dialHello is the dialer's side of the handshake. Until decide has agreed to
// the remote identity, the other side takes no step that would cost an older
// connection.
func dialHello(c net.Conn, self Identity, wanted string, decide func(Identity) error) (Identity, error) {
	if err := writeFrame(c, self.hello(wanted)); err != nil {
		return Identity{}, fmt.Errorf("send hello: %w", err)
	}
	h := new(Hello)
	if err := readFrame(c, h); err != nil {
		return Identity{}, fmt.Errorf("receive hello: %w", err)
	}
	if r := h.GetRefusal(); r != nil {
		return Identity{}, &RefusedError{code: r.GetCode(), detail: r.GetDetail(), remote: true}
	}
	remote, err := self.check(h, wanted)
	if err != nil {
		return remote, err
	}
	if err := decide(remote); err != nil {
		return remote, err
	}
	if err := writeFrame(c, new(Start)); err != nil {
		return remote, fmt.Errorf("send start: %w", err)
	}
	return remote, nil
}

// acceptHello is the acceptor's side of the handshake. It tells the dialer
// why it is refused.
func acceptHello(c net.Conn, self Identity, decide func(Identity) error) (Identity, error) {
	h := new(Hello)
	if err := readFrame(c, h); errors.Is(err, ErrBadFrame) {
		detail := fmt.Sprintf("not a peer: %v", err)
		return Identity{}, refuse(c, &RefusedError{code: RefusalCode_REFUSAL_CODE_MALFORMED, detail: detail})
	} else if err != nil {
		return Identity{}, fmt.Errorf("receive hello: %w", err)
	}
	remote, err := acceptable(h, self, decide)
	if err != nil {
		return remote, refuse(c, err)
	}
	if err := writeFrame(c, self.hello(remote.Entry)); err != nil {
		return remote, fmt.Errorf("send hello: %w", err)
	}
	if err := readFrame(c, new(Start)); err != nil {
		return remote, fmt.Errorf("receive start: %w", err)
	}
	return remote, nil
}

func acceptable(h *Hello, self Identity, decide func(Identity) error) (Identity, error) {
	if w := h.GetWanted(); w != "" && w != self.Entry {
		detail := fmt.Sprintf("reached %s, wanted %s", self.Entry, w)
		return Identity{}, &RefusedError{code: RefusalCode_REFUSAL_CODE_WRONG_ENTRY, detail: detail}
	}
	remote, err := self.check(h, "")
	if err != nil {
		return remote, err
	}
	return remote, decide(remote)
}

// refuse sends the reason where it is a refusal, and returns it.
func refuse(c net.Conn, err error) error {
	var r *RefusedError
	if !errors.As(err, &r) {
		return err
	}
	if werr := writeFrame(c, &Hello{Refusal: &Refusal{Code: r.code, Detail: r.detail}}); werr != nil {
		return fmt.Errorf("send refusal (%s): %w", r.detail, werr)
	}
	return err
}

// linger closes a connection once the other side has stopped sending, or soon:
// closed at once with bytes unread, it would be reset and the refusal lost.
func linger(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(_lingerPeriod))
	_, _ = io.Copy(io.Discard, io.LimitReader(c, _lingerBytes))
	_ = c.Close()
}
