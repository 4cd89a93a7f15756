package caller

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// End is how a request ended.
type End interface{ isEnd() }

// Answered carries the upstream's answer. Where Rest is not nil, the body goes
// on there; an error of Rest aborts the caller's connection.
type Answered struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
}

func (Answered) isEnd() {}

// NotRun is a refusal: no upstream began the request.
type NotRun struct {
	// Status is the HTTP status; zero stands for 503.
	Status int
	// Reason in camel case.
	Reason string
	// RetryAfter is when to come back; zero where that does not help.
	RetryAfter time.Duration
}

func (NotRun) isEnd() {}

// Unknown is a request that may have run and has no answer.
type Unknown struct {
	// Status is the HTTP status; zero stands for 502.
	Status int
	// Reason in camel case.
	Reason string
}

func (Unknown) isEnd() {}

// Names of the ends in EndHeader.
const (
	_answered = "answered"
	_notRun   = "notRun"
	_unknown  = "unknown"
)

// Name returns the end's name as EndHeader has it.
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

// write sends an end. It panics with http.ErrAbortHandler where an answer
// broke off, so that the caller never takes a part for the whole.
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
