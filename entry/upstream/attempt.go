package upstream

import (
	"io"
	"net/http"
	"time"
)

// Names of the header fields exchanged with upstreams.
const (
	// AttemptHeader carries the id of an attempt; an upstream may echo it.
	AttemptHeader = "Fescue-Attempt"
	// EndHeader says, in an upstream's own answer, that it did not run the
	// request.
	EndHeader = "Fescue-End"
	// LeavingHeader says that the upstream takes no new requests.
	LeavingHeader = "Fescue-Leaving"
	// DeadlineHeader carries the time left, as a Go duration.
	DeadlineHeader = "Fescue-Deadline"

	_notRun = "notRun"
)

// Attempt is one try of a request on one upstream. Its body is held whole, so
// that another attempt can be made.
type Attempt struct {
	id      string
	address string
	method  string
	target  string
	header  http.Header
	body    []byte
	timeLeft    time.Duration
}

// NewAttempt returns an attempt of a request at an address, as IP:port. The
// target is the path with the query; the header is copied; left is the time
// until the deadline, zero where there is none.
func NewAttempt(id, address, method, target string, h http.Header, body []byte, left time.Duration) Attempt {
	return Attempt{
		id: id, address: address, method: method, target: target,
		header: h.Clone(), body: body, timeLeft: left,
	}
}

// ID returns the id the upstream may echo.
func (a Attempt) ID() string { return a.id }

// Address returns the upstream's address as IP:port.
func (a Attempt) Address() string { return a.address }

// Result is what an attempt came to.
type Result interface{ isResult() }

// Answer is an upstream's answer. Where it is larger than the sender holds,
// Rest streams what follows Body, and must be closed.
type Answer struct {
	status  int
	header  http.Header
	body    []byte
	rest    io.ReadCloser
	leaving bool
}

func (Answer) isResult() {}

// Status returns the HTTP status.
func (a Answer) Status() int { return a.status }

// Header returns the header fields to pass on.
func (a Answer) Header() http.Header { return a.header }

// Body returns the whole body, or its beginning where Rest is not nil.
func (a Answer) Body() []byte { return a.body }

// Rest returns the part of the body that was too large to be held, or nil.
func (a Answer) Rest() io.ReadCloser { return a.rest }

// Leaving reports whether the upstream asked for no further requests.
func (a Answer) Leaving() bool { return a.leaving }

// NewAnswer returns an answer with a whole body.
func NewAnswer(status int, h http.Header, body []byte) Answer {
	return Answer{status: status, header: h, body: body}
}

// NotSent is an attempt of which no byte was written.
type NotSent struct{ err error }

func (NotSent) isResult() {}

// Err returns why nothing was written.
func (n NotSent) Err() error { return n.err }

// Declined is an attempt that the upstream says it did not run.
type Declined struct{ leaving bool }

func (Declined) isResult() {}

// Leaving reports whether the upstream asked for no further requests.
func (d Declined) Leaving() bool { return d.leaving }

// Unknown is an attempt that may have run and has no answer.
type Unknown struct{ err error }

func (Unknown) isResult() {}

// Err returns what cut the attempt short.
func (u Unknown) Err() error { return u.err }
