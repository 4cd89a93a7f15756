package caller

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// End is how a request ended.
type End interface{ isEnd() }

// Answered is the end of a request with an answer of the upstream. If Rest is
// not nil, it streams the part of the body after Body, and an error of Rest
// aborts the caller's connection.
type Answered struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
}

func (Answered) isEnd() {}

// NotRun is the end of a request that was refused. No upstream ran it.
type NotRun struct {
	// Status is the HTTP status. Zero means 503.
	Status int
	// Reason is a code in camel case, such as queueFull.
	Reason string
	// RetryAfter is the delay before a retry. Zero means that a retry does not
	// help.
	RetryAfter time.Duration
}

func (NotRun) isEnd() {}

// Unknown is the end of a request that may have run and has no answer.
type Unknown struct {
	// Status is the HTTP status. Zero means 502.
	Status int
	// Reason is a code in camel case, as in NotRun.
	Reason string
}

func (Unknown) isEnd() {}

// Values of EndHeader.
const (
	_answered = "answered"
	_notRun   = "notRun"
	_unknown  = "unknown"
)

// EndName returns the value of EndHeader for an end.
func EndName(e End) string {
	switch e.(type) {
	case Answered:
		return _answered
	case NotRun:
		return _notRun
	default:
		return _unknown
	}
}

// write writes an end as the response. If the answer can't be sent in full, it
// panics with http.ErrAbortHandler, so that the caller does not take a truncated
// body for a complete one.
func write(w http.ResponseWriter, e End) {
	w.Header().Set(EndHeader, EndName(e))
	switch e := e.(type) {
	case Answered:
		writeAnswer(w, e)
	case NotRun:
		if e.RetryAfter > 0 {
			s := (e.RetryAfter + time.Second - 1) / time.Second
			w.Header().Set("Retry-After", strconv.FormatInt(int64(s), 10))
			w.Header().Set(RetryHeader, e.RetryAfter.String())
		}
		writeReason(w, status(e.Status, http.StatusServiceUnavailable), e.Reason)
	case Unknown:
		writeReason(w, status(e.Status, http.StatusBadGateway), e.Reason)
	}
}

func writeAnswer(w http.ResponseWriter, a Answered) {
	for n, v := range a.Header {
		if n != EndHeader {
			w.Header()[n] = v
		}
	}
	if a.Rest == nil {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	if a.Rest == nil {
		return
	}
	if err == nil {
		_, err = io.Copy(w, a.Rest)
	}
	if e := a.Rest.Close(); err != nil || e != nil {
		panic(http.ErrAbortHandler)
	}
}

func writeReason(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(ReasonHeader, reason)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, reason+"\n")
}

func status(s, otherwise int) int {
	if s == 0 {
		return otherwise
	}
	return s
}
