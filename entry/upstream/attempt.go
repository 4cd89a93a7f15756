package upstream

import (
	"io"
	"net/http"
	"time"
)

// Names of the header fields exchanged with upstreams.
const (
	// AttemptHeader carries the id of an attempt. An upstream may echo it.
	AttemptHeader = "Fescue-Attempt"
	// EndHeader has the value notRun in an answer if the upstream did not run
	// the request.
	EndHeader = "Fescue-End"
	// LeavingHeader is set in an answer if the upstream is shutting down and
	// accepts no new requests.
	LeavingHeader = "Fescue-Leaving"
	// DeadlineHeader carries the time left until the deadline, as a Go duration.
	DeadlineHeader = "Fescue-Deadline"

	_notRun = "notRun"
)

// Attempt is one try to run a request on one upstream. Its body is complete in
// memory, so that another attempt can use it again.
type Attempt struct {
	id       string
	address  string
	method   string
	target   string
	header   http.Header
	body     []byte
	timeLeft time.Duration
}

// NewAttempt returns an attempt to run a request on the upstream at an address
// of the form IP:port. The target is the path and the query. The header is
// copied. left is the time until the deadline, or zero for none.
func NewAttempt(id, address, method, target string, h http.Header, body []byte, left time.Duration) Attempt {
	return Attempt{
		id: id, address: address, method: method, target: target,
		header: h.Clone(), body: body, timeLeft: left,
	}
}

// ID returns the id of the attempt, which the upstream may echo.
func (a Attempt) ID() string { return a.id }

// Address returns the upstream's address in the form IP:port.
func (a Attempt) Address() string { return a.address }

// Result is the result of an attempt: Answer, NotSent, Declined or Unknown.
type Result interface{ isResult() }

// Answer is an upstream's answer. If its body exceeds the sender's MaxBuffered,
// Rest streams the part after Body, and must be closed.
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

// Header returns the header fields to forward to the caller.
func (a Answer) Header() http.Header { return a.header }

// Body returns the complete body, or its beginning if Rest is not nil.
func (a Answer) Body() []byte { return a.body }

// Rest returns a reader of the body after Body, or nil if Body is complete.
func (a Answer) Rest() io.ReadCloser { return a.rest }

// Leaving reports whether the upstream announced that it accepts no new
// requests.
func (a Answer) Leaving() bool { return a.leaving }

// NewAnswer returns an answer with a complete body.
func NewAnswer(status int, h http.Header, body []byte) Answer {
	return Answer{status: status, header: h, body: body}
}

// NotSent is the result of an attempt of which no byte was written to a
// connection.
type NotSent struct{ err error }

func (NotSent) isResult() {}

// Err returns why nothing was written.
func (n NotSent) Err() error { return n.err }

// Declined is the result of an attempt for which the upstream answered that it
// did not run the request.
type Declined struct{ leaving bool }

func (Declined) isResult() {}

// Leaving reports whether the upstream announced that it accepts no new
// requests.
func (d Declined) Leaving() bool { return d.leaving }

// Unknown is the result of an attempt that may have run and has no valid
// answer.
type Unknown struct{ err error }

func (Unknown) isResult() {}

// Err returns why there is no valid answer.
func (u Unknown) Err() error { return u.err }
