package caller

import (
	"net/http"
	"time"
)

// Names of the header fields callers send and receive.
const (
	// TeamHeader names the team that a request counts for.
	TeamHeader = "Fescue-Team"
	// ClassHeader names the class; the service has a default.
	ClassHeader = "Fescue-Class"
	// DeadlineHeader gives the time left, as a Go duration.
	DeadlineHeader = "Fescue-Deadline"
	// KeyHeader carries the idempotency key.
	KeyHeader = "Idempotency-Key"
	// EndHeader names the end of a request.
	EndHeader = "Fescue-End"
	// ReasonHeader says why a request was not run, or is unknown.
	ReasonHeader = "Fescue-Reason"
	// RetryHeader says when to come back, as a Go duration; Retry-After has
	// the same time in whole seconds.
	RetryHeader = "Fescue-Retry-After"
)

// Service is what a handler has to know of a service.
type Service struct {
	// Pool, Class and Name as the configuration has them.
	Name, Pool, Class string
	// Idempotent services may be sent twice.
	Idempotent bool
}

// Request is an identified request with its whole body.
type Request struct {
	service  Service
	class    string
	team     string
	key      string
	method   string
	target   string
	header   http.Header
	body     []byte
	arrived  time.Time
	deadline time.Time
}

// Service returns the service asked for.
func (r Request) Service() Service { return r.service }

// Class returns the name of the request's class.
func (r Request) Class() string { return r.class }

// Team returns the name of the request's team.
func (r Request) Team() string { return r.team }

// Key returns the caller's idempotency key, empty where there is none.
func (r Request) Key() string { return r.key }

// Method returns the HTTP method.
func (r Request) Method() string { return r.method }

// Target returns the path with the query.
func (r Request) Target() string { return r.target }

// Header returns the caller's header; it must not be changed.
func (r Request) Header() http.Header { return r.header }

// Body returns the whole body.
func (r Request) Body() []byte { return r.body }

// Arrived returns when the request came in.
func (r Request) Arrived() time.Time { return r.arrived }

// Deadline returns the time after which the answer is of no use.
func (r Request) Deadline() time.Time { return r.deadline }

// Idempotent reports whether a second run does no harm.
func (r Request) Idempotent() bool {
	if r.service.Idempotent {
		return true
	}
	switch r.method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return false
	}
}
