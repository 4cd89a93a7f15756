package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	_maxResponse  = 64 << 20 // bytes
	_maxIdleConns = 8        // connections
	_idleTimeout  = 30 * time.Second
)

// HTTP returns the dialect of JSON over HTTP that docs/platform.md describes.
func HTTP(baseURL string) Dialect {
	h := &httpDialect{base: baseURL, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: _maxIdleConns,
		IdleConnTimeout:     _idleTimeout,
	}}}
	return Dialect{Append: h.append, Read: h.read, Live: h.live}
}

type httpDialect struct {
	base   string
	client *http.Client
	list   atomic.Pointer[taggedList]
}

type appendResponse struct {
	Offset uint64 `json:"offset"`
}

type readResponse struct {
	First   uint64       `json:"first"`
	Head    uint64       `json:"head"`
	Records []readRecord `json:"records"`
}

type readRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

func (h *httpDialect) append(ctx context.Context, stream string, data []byte) (uint64, error) {
	u := h.base + "/streams/" + url.PathEscape(stream) + "/records"
	var a appendResponse
	sent, err := h.call(ctx, http.MethodPost, u, data, &a)
	if err != nil {
		return 0, appendError(sent, err)
	}
	if a.Offset == 0 {
		return 0, fmt.Errorf("response without offset: %w", ErrUnknownOutcome)
	}
	return a.Offset, nil
}

// appendError returns ErrUnknownOutcome if the request may have reached the platform,
// unless the platform itself reported that it did not perform the append.
func appendError(sent bool, err error) error {
	switch {
	case isDefinite(err):
		return err
	case sent:
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	default:
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
}

func (h *httpDialect) read(
	ctx context.Context, stream string, from uint64, limit int, wait time.Duration,
) (Batch, error) {
	q := url.Values{}
	q.Set("from", strconv.FormatUint(from, 10))
	q.Set("waitMs", strconv.FormatInt(wait.Milliseconds(), 10))
	q.Set("limit", strconv.Itoa(limit))
	u := h.base + "/streams/" + url.PathEscape(stream) + "/records?" + q.Encode()
	var a readResponse
	if _, err := h.call(ctx, http.MethodGet, u, nil, &a); err != nil {
		return Batch{}, readError(err)
	}
	b := Batch{first: a.First, head: a.Head, records: make([]Record, len(a.Records))}
	for i, r := range a.Records {
		b.records[i] = Record{offset: r.Offset, data: r.Data}
	}
	return b, nil
}

// readError makes an error of a read match ErrUnavailable, unless it already matches
// ErrUnavailable or ErrRejected.
func readError(err error) error {
	if isDefinite(err) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// isDefinite reports whether the error shows that the platform did not perform the
// call.
func isDefinite(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRejected)
}

// call sends a request and decodes the response. It also returns whether the request
// obtained a connection; if so, it may have reached the platform.
func (h *httpDialect) call(ctx context.Context, method, u string, body []byte, out any) (bool, error) {
	r, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return false, fmt.Errorf("make request: %w", err)
	}
	a, sent, err := h.send(r)
	if err != nil {
		return sent, err
	}
	defer a.Body.Close()
	if err := checkStatus(a); err != nil {
		return true, err
	}
	return true, decode(a.Body, out)
}

// send sends a request. It also returns whether the request obtained a connection.
func (h *httpDialect) send(r *http.Request) (*http.Response, bool, error) {
	var sent atomic.Bool
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}))
	a, err := h.client.Do(r)
	if err != nil {
		return nil, sent.Load(), fmt.Errorf("send request: %w", err)
	}
	return a, true, nil
}

func decode(body io.Reader, out any) error {
	if err := json.NewDecoder(io.LimitReader(body, _maxResponse)).Decode(out); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// checkStatus returns an error that matches ErrUnavailable or ErrRejected for a status
// that means that the call was not performed. Any other failure, such as a gateway's
// 502, leaves the outcome unknown.
func checkStatus(a *http.Response) error {
	switch a.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests:
		s, _ := strconv.Atoi(a.Header.Get("Retry-After")) // Zero if missing or a date.
		return &RateLimitError{After: time.Duration(s) * time.Second}
	case http.StatusServiceUnavailable:
		return fmt.Errorf("status %d: %w", a.StatusCode, ErrUnavailable)
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return fmt.Errorf("status %d: %w", a.StatusCode, ErrRejected)
	default:
		return fmt.Errorf("unexpected status %d", a.StatusCode)
	}
}
