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
	// DefaultMaxBuffered is the default of Sender.MaxBuffered, in bytes.
	DefaultMaxBuffered = 1 << 20

	_dialTimeout          = 500 * time.Millisecond
	_idleTimeout          = 30 * time.Second
	_maxHeaderBytes       = 64 << 10
	_idleConnsPerUpstream = 7
)

// ErrAttemptMismatch means that an answer carries the id of another attempt.
var ErrAttemptMismatch = errors.New("upstream answered with the id of another attempt")

// Sender sends attempts to upstreams and keeps a pool of connections. Its zero
// value is ready to use. It must not be copied after first use.
type Sender struct {
	// Dial opens connections. Nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxBuffered is the size in bytes up to which the body of an answer is read
	// completely before Send returns, so that the result is Unknown if the body
	// is truncated. The rest of a larger body is streamed. Zero means
	// DefaultMaxBuffered.
	MaxBuffered int64
	// IdleConnections is the number of idle connections kept for each upstream.
	// Zero means 7, so that nine entries together keep no more than 64.
	IdleConnections int

	transport atomic.Pointer[http.Transport]
}

// Close closes the idle connections. Attempts that are under way go on.
func (s *Sender) Close() {
	if t := s.transport.Load(); t != nil {
		t.CloseIdleConnections()
	}
}

// Send makes one attempt and returns its result. If the context ends first, the
// attempt is abandoned: the result is Unknown if a byte may have been written,
// and NotSent otherwise.
func (s *Sender) Send(ctx context.Context, a Attempt) Result {
	w := &writeTracker{}
	q, err := newRequest(httptrace.WithClientTrace(ctx, w.trace()), a)
	if err != nil {
		return NotSent{err: fmt.Errorf("build request: %w", err)}
	}
	p, err := s.httpTransport().RoundTrip(q)
	if err != nil {
		if w.mayHaveWritten() {
			return Unknown{err: fmt.Errorf("await answer: %w", err)}
		}
		return NotSent{err: fmt.Errorf("send request: %w", err)}
	}
	return s.read(a, p)
}

// read evaluates the header of an answer and reads its body, up to MaxBuffered
// bytes.
func (s *Sender) read(a Attempt, p *http.Response) Result {
	if id := p.Header.Get(AttemptHeader); id != "" && id != a.id {
		// Requests and answers on this connection no longer match. Closing the
		// unread body removes the connection from the pool.
		_ = p.Body.Close()
		return Unknown{err: ErrAttemptMismatch}
	}
	leaving := p.Header.Get(LeavingHeader) != ""
	if p.Header.Get(EndHeader) == _notRun {
		_ = p.Body.Close()
		return Declined{leaving: leaving}
	}
	r := Answer{status: p.StatusCode, header: callerHeader(p.Header), leaving: leaving}
	n := s.maxBuffered()
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

func (s *Sender) maxBuffered() int64 {
	if s.MaxBuffered > 0 {
		return s.MaxBuffered
	}
	return DefaultMaxBuffered
}

// httpTransport returns the transport, and creates it on first use.
func (s *Sender) httpTransport() *http.Transport {
	if t := s.transport.Load(); t != nil {
		return t
	}
	n := s.IdleConnections
	if n == 0 {
		n = _idleConnsPerUpstream
	}
	t := &http.Transport{
		DialContext:            countingDial(s.Dial),
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

// newRequest builds the HTTP request of an attempt. Its body is never nil and
// has no GetBody, so that the transport never replays the request.
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
	if a.timeLeft > 0 {
		q.Header.Set(DeadlineHeader, a.timeLeft.Round(time.Millisecond).String())
	}
	q.Body = io.NopCloser(bytes.NewReader(a.body))
	q.ContentLength = int64(len(a.body))
	if len(a.body) == 0 {
		// -1 means that the length is unknown. As the body is not nil, net/http
		// would treat 0 as unknown too.
		q.ContentLength = -1
	}
	return q, nil
}

// callerHeader returns the header fields of an answer that are forwarded to the
// caller.
func callerHeader(h http.Header) http.Header {
	h = h.Clone()
	removeHopByHop(h)
	h.Del(AttemptHeader)
	h.Del(LeavingHeader)
	h.Del(EndHeader)
	return h
}

// removeHopByHop deletes the hop-by-hop header fields, which apply to a single
// connection.
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
