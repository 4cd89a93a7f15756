package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// DefaultHold is the largest body held and checked whole, in bytes.
	DefaultMaxBuffered = 1 << 20

	_dialTimeout     = 500 * time.Millisecond
	_idleTimeout     = 30 * time.Second
	_maxHeaderBytes  = 64 << 10
	_idleConnections = 7
)

// ErrCrossed is an answer that names another attempt.
var ErrAttemptMismatch = errors.New("answer names another attempt")

// Sender sends attempts. Its zero value is ready; it must not be copied after
// first use.
type Sender struct {
	// Dial opens connections; nil stands for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Hold is the largest body held whole, in bytes; zero is DefaultHold.
	MaxBuffered int64
	// IdleConnections kept for each upstream; zero stands for an entry's share
	// of 64 connections at nine entries.
	IdleConnections int

	transport atomic.Pointer[http.Transport]
}

// Close closes the idle connections.
func (s *Sender) Close() {
	if t := s.transport.Load(); t != nil {
		t.CloseIdleConnections()
	}
}

// Send makes one attempt and returns its result. Cancelling the context gives
// it up; what was written by then decides between NotSent and Unknown.
func (s *Sender) Send(ctx context.Context, a Attempt) Result {
	w := &written{}
	q, err := newRequest(httptrace.WithClientTrace(ctx, w.trace()), a)
	if err != nil {
		return NotSent{err: fmt.Errorf("build request: %w", err)}
	}
	p, err := s.roundTripper().RoundTrip(q)
	if err != nil {
		if w.any() {
			return Unknown{err: fmt.Errorf("await answer: %w", err)}
		}
		return NotSent{err: fmt.Errorf("send request: %w", err)}
	}
	return s.read(a, p)
}

// read checks the head of an answer, and its body as far as it is held.
func (s *Sender) read(a Attempt, p *http.Response) Result {
	if id := p.Header.Get(AttemptHeader); id != "" && id != a.id {
		// The connection is out of step: closing the unread body retires it.
		_ = p.Body.Close()
		return Unknown{err: ErrAttemptMismatch}
	}
	leaving := p.Header.Get(LeavingHeader) != ""
	if p.Header.Get(EndHeader) == _notRun {
		_ = p.Body.Close()
		return Declined{leaving: leaving}
	}
	r := Answer{status: p.StatusCode, header: passOn(p.Header), leaving: leaving}
	n := s.hold()
	b, err := io.ReadAll(io.LimitReader(p.Body, n+1))
	if err != nil {
		_ = p.Body.Close()
		return Unknown{err: fmt.Errorf("read answer: %w", err)}
	}
	r.body = b
	if int64(len(b)) > n {
		r.rest = p.Body
		return r
	}
	_ = p.Body.Close()
	return r
}

func (s *Sender) hold() int64 {
	if s.MaxBuffered > 0 {
		return s.MaxBuffered
	}
	return DefaultMaxBuffered
}

// roundTripper returns the transport, made at first use.
func (s *Sender) roundTripper() *http.Transport {
	if t := s.transport.Load(); t != nil {
		return t
	}
	n := s.IdleConnections
	if n == 0 {
		n = _idleConnections
	}
	t := &http.Transport{
		DialContext:            countedDial(s.Dial),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    n,
		IdleConnTimeout:        _idleTimeout,
		MaxResponseHeaderBytes: _maxHeaderBytes,
		Protocols:              http1(),
	}
	if s.transport.CompareAndSwap(nil, t) {
		return t
	}
	return s.transport.Load()
}

func http1() *http.Protocols {
	var p http.Protocols
	p.SetHTTP1(true)
	return &p
}

// newRequest builds the request of an attempt. Its body is never nil and has
// no GetBody, so that the transport holds it for not replayable.
func newRequest(ctx context.Context, a Attempt) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, a.method, "http://"+a.address+a.target, nil)
	if err != nil {
		return nil, err
	}
	q.Header = a.header
	if q.Header == nil {
		q.Header = http.Header{}
	}
	removeHopByHop(q.Header)
	q.Header.Set(AttemptHeader, a.id)
	if a.left > 0 {
		q.Header.Set(DeadlineHeader, a.left.Round(time.Millisecond).String())
	}
	q.Body = io.NopCloser(bytes.NewReader(a.body))
	q.ContentLength = int64(len(a.body))
	if len(a.body) == 0 {
		q.ContentLength = -1
	}
	return q, nil
}

// passOn returns the fields of an answer that go to the caller.
func passOn(h http.Header) http.Header {
	h = h.Clone()
	removeHopByHop(h)
	h.Del(AttemptHeader)
	h.Del(LeavingHeader)
	h.Del(EndHeader)
	return h
}

// removeHopByHop deletes the fields that concern one connection only.
func removeHopByHop(h http.Header) {
	for _, v := range h.Values("Connection") {
		for n := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	} {
		h.Del(n)
	}
}
