package caller

import (
	"net/http"
	"time"
)

// Names of the header fields that callers send and receive.
const (
	// TeamHeader carries the team to whose quota the request counts.
	TeamHeader = "Fescue-Team"
	// ClassHeader carries the class. The default is the class of the service.
	ClassHeader = "Fescue-Class"
	// DeadlineHeader carries the time left until the deadline, as a Go duration.
	// The default is the deadline of the class.
	DeadlineHeader = "Fescue-Deadline"
	// KeyHeader carries the idempotency key.
	KeyHeader = "Idempotency-Key"
	// EndHeader carries the end of a request.
	EndHeader = "Fescue-End"
	// ReasonHeader carries the reason why a request was not run or why its end
	// is unknown.
	ReasonHeader = "Fescue-Reason"
	// RetryHeader carries the delay before a retry, as a Go duration.
	// Retry-After carries the same delay, rounded up to whole seconds.
	RetryHeader = "Fescue-Retry-After"
)

// Service is the configuration of a service.
type Service struct {
	// Name, Pool and Class are those of the configuration. Class is the default
	// class of requests.
	Name, Pool, Class string
	// Idempotent means that running a request twice does no harm.
	Idempotent bool
}

// Request is a validated request with its complete body.
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

// Service returns the requested service.
func (r Request) Service() Service { return r.service }

// Class returns the name of the request's class.
func (r Request) Class() string { return r.class }

// Team returns the name of the request's team.
func (r Request) Team() string { return r.team }

// Key returns the caller's idempotency key, or an empty string.
func (r Request) Key() string { return r.key }

// Method returns the HTTP method.
func (r Request) Method() string { return r.method }

// Target returns the path and the query.
func (r Request) Target() string { return r.target }

// Header returns the caller's header. It must not be modified.
func (r Request) Header() http.Header { return r.header }

// Body returns the complete body.
func (r Request) Body() []byte { return r.body }

// Arrived returns when the request arrived.
func (r Request) Arrived() time.Time { return r.arrived }

// Deadline returns the time after which the caller has no use for the answer.
func (r Request) Deadline() time.Time { return r.deadline }

// Idempotent reports whether running the request twice does no harm.
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
