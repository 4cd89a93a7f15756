package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// DefaultMaxBody is the largest request body, in bytes.
	DefaultMaxBody = 1 << 20

	_maxKey   = 256
	_comeBack = time.Second
)

// Handler identifies requests, has them served, and writes their ends.
type Handler struct {
	// Known reports whether there is a configuration to identify requests by.
	Ready func() bool
	// Services finds a service by the first segment of the path, and the
	// deadline of a class. ok is false for an unknown service or class.
	LookupService func(service, class string) (s Service, deadline time.Duration, ok bool)
	// Teams reports whether a team is configured.
	HasTeam func(team string) bool
	// Serve brings a request to its end. It returns once the end is known;
	// its context ends when the caller hangs up.
	Serve func(ctx context.Context, r Request) End
	// Now is the clock; nil stands for time.Now.
	Now func() time.Time
	// MaxBody is the largest request body, in bytes; zero is DefaultMaxBody.
	MaxBody int64
	// Metrics receives a histogram for each class, team and end; nil stands
	// for the default set.
	Metrics *metrics.Set
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	start := h.now()
	r, refusal := h.identify(w, q, start)
	var e End = refusal
	if refusal.Reason == "" {
		e = h.Serve(q.Context(), r)
	}
	h.observe(r, e, h.now().Sub(start))
	write(w, e)
}

// identify reads a request; a refusal with a reason says why it can't be run.
func (h *Handler) identify(w http.ResponseWriter, q *http.Request, now time.Time) (Request, NotRun) {
	if !h.Ready() {
		return Request{}, NotRun{Reason: "notReady", RetryAfter: _comeBack}
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
	if len(r.key) > _maxKey {
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
	b, err := h.readBody(w, q)
	r.body = b
	if err != nil {
		return r, bodyRefusal(err)
	}
	return r, NotRun{}
}

// readBody reads the whole body: the context of a request ends on a caller's
// hang-up only after that.
func (h *Handler) readBody(w http.ResponseWriter, q *http.Request) ([]byte, error) {
	n := h.MaxBody
	if n == 0 {
		n = DefaultMaxBody
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, q.Body, n))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return b, nil
}

func (h *Handler) now() time.Time {
	if h.Now == nil {
		return time.Now()
	}
	return h.Now()
}

// observe counts an end in the histogram of its class and team, in seconds.
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

func bodyRefusal(err error) NotRun {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return NotRun{Status: http.StatusRequestEntityTooLarge, Reason: "bodyTooLarge"}
	}
	return badRequest("bodyNotRead")
}
