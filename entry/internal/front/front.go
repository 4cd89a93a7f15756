// Package front answers callers: it finds the queue of a request, has the owner
// of its pool decide, and says what came of it.
package front

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

const (
	// _defaultBudget is how long a caller waits that doesn't say.
	_defaultBudget = 3 * time.Second
	// _margin is kept of the budget for the way back.
	_margin = 150 * time.Millisecond
	// _defaultBody bounds a body while the configuration doesn't, in bytes.
	_defaultBody = 256 << 10
)

// Front is the handler of callers' requests.
type Handler struct {
	// Queue finds the queue of a request. known is false while there is no
	// configuration.
	FindQueue func(host, path string) (q platform.Queue, found, known bool)
	// Limits returns the operator's bounds on requests.
	Limits func() platform.Limits
	// Ask has the owner of a pool answer.
	CallOwner func(ctx context.Context, q *link.Call) *link.Answer
	// Locate asks all owners after a job that its pool's owner doesn't know.
	Locate func(ctx context.Context, q *link.Call) *link.Answer
	// Log notes a request's outcome.
	Log func(what string, pairs ...any)
	// Closing is true once the entry is to stop.
	Closing func() bool
}

// ServeHTTP implements http.Handler.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	begun, c := time.Now(), &recorder{ResponseWriter: w, status: http.StatusOK}
	q := f.serve(c, r)
	count(q.Name, r.Method, c.status, time.Since(begun))
}

// serve answers a request and returns its queue.
func (f *Handler) serve(w http.ResponseWriter, r *http.Request) platform.Queue {
	if f.Closing() {
		w.Header().Set("Connection", "close")
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	q, found, known := f.FindQueue(host, r.URL.Path)
	switch {
	case !known:
		f.refuse(w, r, http.StatusServiceUnavailable, time.Second, "no configuration yet")
		return q
	case !found:
		f.refuse(w, r, http.StatusNotFound, 0, "no such queue")
		return platform.Queue{}
	}
	b := budget(r, q)
	ctx, cancel := context.WithTimeout(r.Context(), b)
	defer cancel()
	rest := r.URL.Path[len(q.Prefix):]
	if rest == "" && r.Method == http.MethodGet {
		f.pending(ctx, w, r, q)
		return q
	}
	id, ok := platform.JobID(rest)
	if !ok {
		f.refuse(w, r, http.StatusNotFound, 0, "not the ID of a job")
		return q
	}
	switch r.Method {
	case http.MethodPost:
		f.submit(ctx, w, r, q, id, b)
	case http.MethodGet:
		f.state(ctx, w, r, q, id)
	case http.MethodDelete:
		f.cancel(ctx, w, r, q, id)
	default:
		w.Header().Set("Allow", "GET, POST, DELETE")
		f.refuse(w, r, http.StatusMethodNotAllowed, 0, "method isn't spoken")
	}
	return q
}

// budget returns how long the answer may take.
func budget(r *http.Request, q platform.Queue) time.Duration {
	b := platform.Budget(r.Header)
	if b == 0 {
		b = _defaultBudget
	}
	if q.Timeout > 0 {
		b = min(b, q.Timeout)
	}
	return max(b-_margin, b/2)
}

func (f *Handler) submit(
	ctx context.Context, w http.ResponseWriter, r *http.Request, q platform.Queue, id string, b time.Duration,
) {
	most := f.Limits().BodyBytes
	if most <= 0 {
		most = _defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			f.refuse(w, r, http.StatusRequestEntityTooLarge, 0, "body is too large")
			return
		}
		f.refuse(w, r, http.StatusBadRequest, 0, "body can't be read")
		return
	}
	j, err := platform.DecodeJob(id, q.Name, q.Pool, body)
	if errors.Is(err, platform.ErrSpec) {
		f.refuse(w, r, http.StatusRequestEntityTooLarge, 0, err.Error())
		return
	}
	if err != nil {
		f.refuse(w, r, http.StatusBadRequest, 0, err.Error())
		return
	}
	c := &link.Call{Pool: q.Pool, Body: &link.Call_Submit{Submit: &link.Submit{Job: j, BudgetMs: b.Milliseconds()}}}
	a := f.CallOwner(ctx, c)
	if a.GetOutcome() == link.Outcome_OUTCOME_OK {
		answer(w, []byte("{}"))
		return
	}
	f.verdict(w, r, a)
}

// find asks after a job that was handed in, wherever it is.
func (f *Handler) find(ctx context.Context, c *link.Call) *link.Answer {
	a := f.CallOwner(ctx, c)
	if a.GetOutcome() == link.Outcome_OUTCOME_GONE {
		a = f.Locate(ctx, c)
	}
	return a
}

func (f *Handler) state(ctx context.Context, w http.ResponseWriter, r *http.Request, q platform.Queue, id string) {
	c := &link.Call{Pool: q.Pool, Body: &link.Call_State{State: &link.State{Id: id}}}
	a := f.find(ctx, c)
	if a.GetOutcome() == link.Outcome_OUTCOME_OK {
		answer(w, platform.StateBody(_states[a.GetState()]))
		return
	}
	f.verdict(w, r, a)
}

var _states = map[link.JobState]string{
	link.JobState_JOB_STATE_QUEUED:    platform.StateQueued,
	link.JobState_JOB_STATE_RUNNING:   platform.StateRunning,
	link.JobState_JOB_STATE_COMPLETED: platform.StateCompleted,
	link.JobState_JOB_STATE_FAILED:    platform.StateFailed,
	link.JobState_JOB_STATE_CANCELLED: platform.StateCancelled,
}

func (f *Handler) cancel(ctx context.Context, w http.ResponseWriter, r *http.Request, q platform.Queue, id string) {
	c := &link.Call{Pool: q.Pool, Body: &link.Call_Cancel{Cancel: &link.Cancel{Id: id}}}
	a := f.find(ctx, c)
	if a.GetOutcome() == link.Outcome_OUTCOME_OK {
		answer(w, []byte("{}"))
		return
	}
	f.verdict(w, r, a)
}

func (f *Handler) pending(ctx context.Context, w http.ResponseWriter, r *http.Request, q platform.Queue) {
	a := f.CallOwner(ctx, &link.Call{Pool: q.Pool, Body: &link.Call_Pending{Pending: &link.Pending{Queue: q.Name}}})
	if a.GetOutcome() == link.Outcome_OUTCOME_OK {
		answer(w, platform.PendingBody(a.GetPending()))
		return
	}
	f.verdict(w, r, a)
}

// verdict answers a call that wasn't carried out, or may not have been.
func (f *Handler) verdict(w http.ResponseWriter, r *http.Request, a *link.Answer) {
	retry := time.Duration(a.GetRetryAfterMs()) * time.Millisecond
	switch a.GetOutcome() {
	case link.Outcome_OUTCOME_GONE:
		f.refuse(w, r, http.StatusGone, 0, "no such job")
	case link.Outcome_OUTCOME_OVERLOADED:
		f.refuse(w, r, http.StatusTooManyRequests, retry, "would be late")
	case link.Outcome_OUTCOME_UNAVAILABLE, link.Outcome_OUTCOME_NOT_OWNER:
		f.refuse(w, r, http.StatusServiceUnavailable, max(retry, time.Second), "owner can't take it")
	default:
		f.refuse(w, r, http.StatusBadGateway, 0, "outcome unknown")
	}
}

func (f *Handler) refuse(w http.ResponseWriter, r *http.Request, code int, retry time.Duration, why string) {
	if retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retry.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write([]byte(`{"error":` + strconv.Quote(why) + `}`)) // A caller that left reads nothing.
	f.Log("Request refused.", "method", r.Method, "path", r.URL.Path, "status", code,
		"retryAfterMs", retry.Milliseconds(), "why", why)
}

func answer(w http.ResponseWriter, body []byte) {
	w.Header()["Content-Type"] = _json
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // A caller that left reads nothing.
}

var _json = []string{"application/json"}
