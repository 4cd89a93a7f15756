package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"fescuelanding/entry/internal/intake"
)

const (
	// DefaultMaxBody is the default of Handler.MaxBody, in bytes.
	DefaultMaxBody = 1 << 20

	_maxKeyBytes        = 256
	_notReadyRetryAfter = time.Second
	// _givenUpRetryAfter applies to callers whose connections were given up.
	_givenUpRetryAfter = time.Second
)

// Handler is an http.Handler that validates requests, passes them to Serve and
// writes their ends. Metrics, Now and MaxBody are optional.
type Handler struct {
	// Ready reports whether requests are accepted. While it returns false, every
	// request is refused with the reason notReady.
	Ready func() bool
	// LookupService returns the service with the name in the first path segment,
	// and the default deadline of the class. An empty class means the service's
	// default class. ok is false for an unknown service or class.
	LookupService func(service, class string) (s Service, deadline time.Duration, ok bool)
	// HasTeam reports whether a team is configured.
	HasTeam func(team string) bool
	// Serve runs a request and returns its end. Its context ends when the caller
	// disconnects.
	Serve func(ctx context.Context, r Request) End
	// Now is the clock. Nil means time.Now.
	Now func() time.Time
	// MaxBody is the maximum size of a request body in bytes. Zero means
	// DefaultMaxBody.
	MaxBody int64
	// Metrics receives a latency histogram for each class, team and end. Nil
	// means the default set.
	Metrics *metrics.Set
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	start := h.now()
	r, refusal := h.parseRequest(w, q, start)
	var e End = refusal
	if refusal.Reason == "" {
		e = h.Serve(q.Context(), r)
	}
	h.observe(r, e, h.now().Sub(start))
	write(w, e)
}

// parseRequest validates a request and reads its body. If the request can't be
// run, the returned NotRun has a reason.
func (h *Handler) parseRequest(w http.ResponseWriter, q *http.Request, now time.Time) (Request, NotRun) {
	if !h.Ready() {
		return Request{}, NotRun{Reason: "notReady", RetryAfter: _notReadyRetryAfter}
	}
	n, _, _ := strings.Cut(strings.TrimPrefix(q.URL.Path, "/"), "/")
	class := q.Header.Get(ClassHeader)
	s, deadline, ok := h.LookupService(n, class)
	if !ok {
		return Request{}, NotRun{Status: http.StatusNotFound, Reason: "unknownServiceOrClass"}
	}
	if class == "" {
		class = s.Class
	}
	r := Request{
		service: s, class: class, team: q.Header.Get(TeamHeader), key: q.Header.Get(KeyHeader),
		method: q.Method, target: q.URL.RequestURI(), header: q.Header, arrived: now,
	}
	if !h.HasTeam(r.team) {
		r.team = ""
		return r, badRequest("unknownTeam")
	}
	if len(r.key) > _maxKeyBytes {
		return r, badRequest("keyTooLong")
	}
	if v := q.Header.Get(DeadlineHeader); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 {
			return r, badRequest("badDeadline")
		}
		deadline = d
	}
	r.deadline = now.Add(deadline)
	b, err := h.readBody(w, q, deadline)
	r.body = b
	if err != nil {
		return r, bodyRefusal(w, err)
	}
	return r, NotRun{}
}

// readBody reads the whole body within the time until the deadline. From then on
// the connection isn't given up. net/http detects that a caller disconnected, and
// cancels the request's context, only after the body has been read.
func (h *Handler) readBody(w http.ResponseWriter, q *http.Request, left time.Duration) ([]byte, error) {
	n := h.MaxBody
	if n == 0 {
		n = DefaultMaxBody
	}
	b, err := intake.ReadBody(w, q, n, time.Now().Add(left))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if err := intake.From(q.Context()).Pass(); err != nil {
		return nil, fmt.Errorf("pass on: %w", err)
	}
	return b, nil
}

func (h *Handler) now() time.Time {
	if h.Now == nil {
		return time.Now()
	}
	return h.Now()
}

// observe records the duration of a request in the histogram of its class, team
// and end, in seconds.
func (h *Handler) observe(r Request, e End, took time.Duration) {
	n := fmt.Sprintf("fescue_request_seconds{class=%q,team=%q,end=%q}", r.class, r.team, EndName(e))
	if h.Metrics == nil {
		metrics.GetOrCreateHistogram(n).Update(took.Seconds())
		return
	}
	h.Metrics.GetOrCreateHistogram(n).Update(took.Seconds())
}

func badRequest(reason string) NotRun {
	return NotRun{Status: http.StatusBadRequest, Reason: reason}
}

func bodyRefusal(w http.ResponseWriter, err error) NotRun {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return NotRun{Status: http.StatusRequestEntityTooLarge, Reason: "bodyTooLarge"}
	case errors.Is(err, intake.ErrGivenUp):
		w.Header().Set("Connection", "close")
		return NotRun{Reason: "entryFull", RetryAfter: _givenUpRetryAfter}
	case errors.Is(err, intake.ErrLate):
		w.Header().Set("Connection", "close")
		return NotRun{Status: http.StatusRequestTimeout, Reason: "bodyTooLate"}
	default:
		return badRequest("bodyNotRead")
	}
}
