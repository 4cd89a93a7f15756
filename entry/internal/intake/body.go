package intake

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// _firstBytes is the size of the buffer for the beginning of a body, _chunkBytes that of
	// the ones for the rest.
	_firstBytes = 1 << 10
	_chunkBytes = 16 << 10
	// _bodyFactor is how often the bytes of a body are in memory beside the buffer into which
	// they were read: joined, decoded and encoded.
	_bodyFactor = 3
)

// ErrLate reports a body that wasn't complete in time.
var ErrLate = errors.New("body took too long")

var (
	_firsts = sync.Pool{New: func() any { return new([_firstBytes]byte) }}
	_chunks = sync.Pool{New: func() any { return new([_chunkBytes]byte) }}
)

// ReadBody reads the body of a request and charges its bytes to the account of the connection,
// if it has one. The error matches ErrGivenUp if the connection was given up meanwhile, ErrLate
// if the body wasn't complete by the deadline, and *http.MaxBytesError if it is longer than the
// limit.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	a := From(r.Context())
	if a != nil {
		// If the deadline can't be set, the connection is closed, and the read fails.
		_ = a.setReadDeadline(deadline)
		defer func() { _ = a.setReadDeadline(time.Time{}) }()
	}
	b, err := a.readAll(http.MaxBytesReader(w, r.Body, limit))
	switch {
	case err == nil:
		// Nothing reads the trailer, and it isn't charged.
		r.Trailer = nil
		a.setComplete()
		return b, nil
	case a != nil && a.givenUp.Load():
		return nil, ErrGivenUp
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, ErrLate
	default:
		return nil, fmt.Errorf("read body: %w", err)
	}
}

func (a *Account) readAll(r io.Reader) ([]byte, error) {
	first, _ := _firsts.Get().(*[_firstBytes]byte)
	defer _firsts.Put(first)
	size, err := a.fill(r, first[:])
	if errors.Is(err, io.EOF) {
		return bytes.Clone(first[:size]), nil
	}
	if err != nil {
		return nil, err
	}
	var l []*[_chunkBytes]byte
	defer func() {
		for _, c := range l {
			_chunks.Put(c)
		}
	}()
	for {
		if err := a.charge(_chunkBytes); err != nil {
			return nil, err
		}
		c, _ := _chunks.Get().(*[_chunkBytes]byte)
		l = append(l, c)
		n, err := a.fill(r, c[:])
		size += n
		if errors.Is(err, io.EOF) {
			return join(first[:], l, size), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// join returns the first size bytes of a beginning and the chunks after it.
func join(first []byte, l []*[_chunkBytes]byte, size int) []byte {
	b := append(make([]byte, 0, size), first...)
	for _, c := range l {
		b = append(b, c[:min(size-len(b), _chunkBytes)]...)
	}
	return b
}

// fill reads until the buffer is full. The error is io.EOF if the body ended before.
func (a *Account) fill(r io.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		m, err := r.Read(p[n:])
		n += m
		if e := a.charge(int64(m) * _bodyFactor); e != nil {
			return n, e
		}
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
