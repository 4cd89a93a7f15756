package relay

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	_silence = 100 * time.Millisecond // a byte not echoed within it counts as held back
	_limit   = 5 * time.Second
)

// start starts a relay to an echo server. It returns the relay's address and
// the URL of its control API.
func start(t *testing.T) (address, url string) {
	t.Helper()
	s, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	go func() {
		for {
			c, err := s.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	r := New(s.Addr().String())
	go func() { _ = r.Serve(l) }()
	h := httptest.NewServer(r)
	t.Cleanup(h.Close)
	return l.Addr().String(), h.URL
}

// mode sets the relay's mode and returns the HTTP status.
func mode(t *testing.T, url string, m Mode) int {
	t.Helper()
	a, err := http.Post(url+"/control/mode", "application/json", strings.NewReader(`{"mode":"`+string(m)+`"}`))
	assert.NilError(t, err)
	assert.NilError(t, a.Body.Close())
	return a.StatusCode
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func send(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Write([]byte("x"))
	assert.NilError(t, err)
}

// echoed reports whether a byte is echoed within the limit.
func echoed(t *testing.T, c net.Conn, limit time.Duration) bool {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(limit)))
	_, err := c.Read(make([]byte, 1))
	return err == nil
}

func TestCutAndHeal(t *testing.T) {
	address, url := start(t)
	old := dial(t, address)
	send(t, old)
	assert.Assert(t, echoed(t, old, _limit))

	assert.Equal(t, mode(t, url, ModeCut), http.StatusOK)
	send(t, old)
	assert.Assert(t, !echoed(t, old, _silence))
	fresh := dial(t, address)
	send(t, fresh)
	assert.Assert(t, !echoed(t, fresh, _silence))

	assert.Equal(t, mode(t, url, ModeKeep), http.StatusOK)
	assert.Assert(t, echoed(t, old, _limit), "bytes sent during the cut were not delivered after it")
	assert.Assert(t, !echoed(t, fresh, _silence))

	assert.Equal(t, mode(t, url, ModeOpen), http.StatusOK)
	assert.Assert(t, echoed(t, fresh, _limit))
	assert.Equal(t, mode(t, url, "off"), http.StatusBadRequest)
}
