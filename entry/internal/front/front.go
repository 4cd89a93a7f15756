// Package front is the HTTP interface for callers. It maps a request to a queue by
// host and path prefix, passes the call to the owner of the queue's pool, and
// translates the outcome into a status code:
//
//	h := &front.Handler{FindQueue: find, Limits: limits, MaxJobBytes: n, CallOwner: call, Locate: locate, Log: log.Info, Closing: closing}
//	s := &http.Server{Handler: h}
//
// Below a queue's prefix, POST submits the job whose ID is the rest of the path,
// GET returns its state, and DELETE cancels it. A GET of the prefix itself returns
// the number of pending jobs.
package front

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"fescuelanding/entry/access"
	"fescuelanding/entry/internal/intake"
	"fescuelanding/entry/link"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

const (
	// _defaultBudget applies to requests without a budget header.
	_defaultBudget = 3 * time.Second
	// _replyMargin is the part of the budget reserved for sending the response.
	_replyMargin = 150 * time.Millisecond
	// _defaultBodyBytes limits the request body if the configuration sets no limit.
	_defaultBodyBytes = 256 << 10
	// _maxLoggedText limits the part of a method or path in a log line. Lines wait in a queue.
	_maxLoggedText = 256
)

// Handler serves callers' requests. All fields must be set, except for MaxJobBytes.
type Handler struct {
	// FindQueue returns the queue for a host and path. configured is false until the
	// first configuration arrives.
	FindQueue func(host, path string) (q platform.Queue, found, configured bool)
	// Authorize decides about a call, given the hash of its key if it has one. The credential
	// goes to the pool's owner with the call.
	Authorize func(now time.Time, q platform.Queue, key platform.KeyHash, given bool) (access.Decision, *link.Credential)
	// Limits returns the operator's limits on requests.
	Limits func() platform.Limits
	// MaxJobBytes is the size limit of a decoded job, in bytes; zero means no limit.
	MaxJobBytes int
	// CallOwner sends a call to the owner of its pool.
	CallOwner func(ctx context.Context, q *link.Call) *link.Answer
	// Locate sends a call about a job to the owners of all other pools. It is used
	// if the owner of the queue's pool has no such job.
	Locate func(ctx context.Context, q *link.Call) *link.Answer
	// Log writes a log line with key-value pairs.
	Log func(message string, keyvals ...any)
	// Closing reports whether the entry is shutting down.
	Closing func() bool
}

// ServeHTTP implements http.Handler.
func (f *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start, c := time.Now(), &statusRecorder{ResponseWriter: w, status: http.StatusOK}
	q, workspace := f.serve(start, c, r)
	recordRequest(q.Name, workspace, r.Method, c.status, time.Since(start))
}

// serve responds to a request and returns its queue, which is the zero Queue if there is
// none, and the caller's workspace, which is empty if the queue needs no key.
func (f *Handler) serve(now time.Time, w http.ResponseWriter, r *http.Request) (q platform.Queue, workspace string) {
	if f.Closing() {
		w.Header().Set("Connection", "close")
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	q, found, configured := f.FindQueue(host, r.URL.Path)
	switch {
	case !configured:
		f.writeError(w, r, http.StatusServiceUnavailable, time.Second, "no configuration yet")
		return q, ""
	case !found:
		f.writeError(w, r, http.StatusNotFound, 0, "no such queue")
		return platform.Queue{}, ""
	}
	c := call{queue: q}
	key, given := platform.CallerKey(r.Header)
	d, v := f.Authorize(now, q, key, given)
	switch d.Verdict {
	case access.Admitted:
	case access.Denied:
		f.writeError(w, r, http.StatusUnauthorized, 0, "no valid key")
		return q, ""
	case access.Unconfirmed:
		// Another entry may have the newest configuration.
		w.Header().Set("Connection", "close")
		f.writeError(w, r, http.StatusServiceUnavailable, time.Second, "configuration may be out of date")
		return q, ""
	}
	c.workspace, c.credential = d.Workspace, v
	f.serveQueue(w, r, c)
	return q, c.workspace
}

// call is an admitted call to a queue.
type call struct {
	queue platform.Queue
	// workspace is the caller's; credential proves it. Both are zero if the queue needs no key.
	workspace  string
	credential *link.Credential
}

// link returns the call to the owner of the queue's pool.
func (c call) link() *link.Call { return &link.Call{Pool: c.queue.Pool, Credential: c.credential} }

// serveQueue responds to an admitted request.
func (f *Handler) serveQueue(w http.ResponseWriter, r *http.Request, c call) {
	q := c.queue
	b := budget(r, q)
	ctx, cancel := context.WithTimeout(r.Context(), b)
	defer cancel()
	rest := r.URL.Path[len(q.Prefix):]
	id, ok := platform.ParseJobID(rest)
	isPrefix := rest == "" && r.Method == http.MethodGet
	if !ok && !isPrefix {
		f.writeError(w, r, http.StatusNotFound, 0, "not the ID of a job")
		return
	}
	if r.Method == http.MethodPost {
		f.submit(ctx, w, r, c, id, b)
		return
	}
	if err := intake.From(ctx).Pass(); err != nil {
		f.writeGivenUp(w, r)
		return
	}
	switch {
	case isPrefix:
		f.pending(ctx, w, r, c)
	case r.Method == http.MethodGet:
		f.state(ctx, w, r, c, id)
	case r.Method == http.MethodDelete:
		f.cancel(ctx, w, r, c, id)
	default:
		w.Header().Set("Allow", "GET, POST, DELETE")
		f.writeError(w, r, http.StatusMethodNotAllowed, 0, "method isn't spoken")
	}
}

// budget returns the time available for handling the request.
func budget(r *http.Request, q platform.Queue) time.Duration {
	b := platform.Budget(r.Header)
	if b == 0 {
		b = _defaultBudget
	}
	if q.Timeout > 0 {
		b = min(b, q.Timeout)
	}
	return max(b-_replyMargin, b/2)
}

func (f *Handler) submit(
	ctx context.Context, w http.ResponseWriter, r *http.Request, c call, id string, b time.Duration,
) {
	j, ok := f.readJob(ctx, w, r, c, id)
	if !ok {
		return
	}
	if err := intake.From(ctx).Pass(); err != nil {
		f.writeGivenUp(w, r)
		return
	}
	m := c.link()
	m.Body = &link.Call_Submit{Submit: &link.Submit{Job: j, BudgetMs: b.Milliseconds()}}
	a := f.CallOwner(ctx, m)
	if a.GetOutcome() == link.Outcome_OUTCOME_OK {
		writeJSON(w, []byte("{}"))
		return
	}
	f.writeOutcome(w, r, a)
}

// readJob reads and decodes the job that a caller submits. If ok is false, the request was
// refused.
func (f *Handler) readJob(
	ctx context.Context, w http.ResponseWriter, r *http.Request, c call, id string,
) (j *work.Job, ok bool) {
	limit := f.Limits().BodyBytes
	if limit <= 0 {
		limit = _defaultBodyBytes
	}
	// The context has a deadline.
	deadline, _ := ctx.Deadline()
	body, err := intake.ReadBody(w, r, limit, deadline)
	if err != nil {
		f.writeBodyError(w, r, err)
		return nil, false
	}
	j, err = platform.DecodeJob(id, c.queue.Name, c.queue.Pool, body)
	if errors.Is(err, platform.ErrSpec) {
		f.writeError(w, r, http.StatusRequestEntityTooLarge, 0, err.Error())
		return nil, false
	}
	if err != nil {
		f.writeError(w, r, http.StatusBadRequest, 0, err.Error())
		return nil, false
	}
	j.Workspace = c.workspace
	if f.MaxJobBytes > 0 && proto.Size(j) > f.MaxJobBytes {
		f.writeError(w, r, http.StatusRequestEntityTooLarge, 0, "job is too large")
		return nil, false
	}
	return j, true
}

// callAnyOwner sends a call about a submitted job to the owner of its pool, and if
// that has no such job, to the owners of the other pools.
func (f *Handler) callAnyOwner(ctx context.Context, c *link.Call) *link.Answer {
	a := f.CallOwner(ctx, c)
	if a.GetOutcome() == link.Outcome_OUTCOME_GONE {
		a = f.Locate(ctx, c)
	}
	return a
}

func (f *Handler) state(ctx context.Context, w http.ResponseWriter, r *http.Request, c call, id string) {
	m := c.link()
	m.Body = &link.Call_State{State: &link.State{Id: id, Workspace: c.workspace}}
	a := f.callAnyOwner(ctx, m)
	if a.GetOutcome() == link.Outcome_OUTCOME_OK {
		writeJSON(w, platform.StateBody(_stateNames[a.GetState()]))
		return
	}
	f.writeOutcome(w, r, a)
}

var _stateNames = map[link.JobState]string{
	link.JobState_JOB_STATE_QUEUED:    platform.StateQueued,
	link.JobState_JOB_STATE_RUNNING:   platform.StateRunning,
	link.JobState_JOB_STATE_COMPLETED: platform.StateCompleted,
	link.JobState_JOB_STATE_FAILED:    platform.StateFailed,
	link.JobState_JOB_STATE_CANCELLED: platform.StateCancelled,
}

func (f *Handler) cancel(ctx context.Context, w http.ResponseWriter, r *http.Request, c call, id string) {
	m := c.link()
	m.Body = &link.Call_Cancel{Cancel: &link.Cancel{Id: id, Workspace: c.workspace, InAdvance: true}}
	a := f.callAnyOwner(ctx, m)
	if a.GetOutcome() == link.Outcome_OUTCOME_OK {
		f.Log("Cancellation was acknowledged.", "path", r.URL.Path, "job", id, "pool", c.queue.Pool,
			"state", a.GetState().String())
		writeJSON(w, []byte("{}"))
		return
	}
	f.writeOutcome(w, r, a)
}

func (f *Handler) pending(ctx context.Context, w http.ResponseWriter, r *http.Request, c call) {
	m := c.link()
	m.Body = &link.Call_Pending{Pending: &link.Pending{Queue: c.queue.Name}}
	a := f.CallOwner(ctx, m)
	if a.GetOutcome() == link.Outcome_OUTCOME_OK {
		writeJSON(w, platform.PendingBody(a.GetPending()))
		return
	}
	f.writeOutcome(w, r, a)
}

// writeOutcome responds to a call that failed or whose outcome is unknown.
func (f *Handler) writeOutcome(w http.ResponseWriter, r *http.Request, a *link.Answer) {
	retry := time.Duration(a.GetRetryAfterMs()) * time.Millisecond
	switch a.GetOutcome() {
	case link.Outcome_OUTCOME_GONE:
		f.writeError(w, r, http.StatusGone, 0, "no such job")
	case link.Outcome_OUTCOME_DENIED:
		f.writeError(w, r, http.StatusUnauthorized, 0, "no valid key")
	case link.Outcome_OUTCOME_OVERLOADED:
		f.writeError(w, r, http.StatusTooManyRequests, retry, "would be late")
	case link.Outcome_OUTCOME_UNAVAILABLE, link.Outcome_OUTCOME_NOT_OWNER:
		f.writeError(w, r, http.StatusServiceUnavailable, max(retry, time.Second), "owner can't take it")
	default:
		if r.Method == http.MethodGet {
			// A read has no effect that could be unknown.
			f.writeError(w, r, http.StatusServiceUnavailable, time.Second, "owner doesn't answer")
			return
		}
		f.writeError(w, r, http.StatusBadGateway, 0, "outcome unknown")
	}
}

// writeBodyError responds to a request whose body wasn't read.
func (f *Handler) writeBodyError(w http.ResponseWriter, r *http.Request, err error) {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		f.writeError(w, r, http.StatusRequestEntityTooLarge, 0, "body is too large")
	case errors.Is(err, intake.ErrGivenUp):
		f.writeGivenUp(w, r)
	case errors.Is(err, intake.ErrLate):
		w.Header().Set("Connection", "close")
		f.writeError(w, r, http.StatusServiceUnavailable, time.Second, "body took too long")
	default:
		f.writeError(w, r, http.StatusBadRequest, 0, "body can't be read")
	}
}

// writeGivenUp responds on a connection that was given up.
func (f *Handler) writeGivenUp(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	f.writeError(w, r, http.StatusServiceUnavailable, time.Second, "callers' connections hold too much memory")
}

// writeError responds with a status code and an error message, and logs both.
func (f *Handler) writeError(w http.ResponseWriter, r *http.Request, code int, retry time.Duration, why string) {
	if retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retry.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write([]byte(`{"error":` + strconv.Quote(why) + `}`)) // Fails only if the caller has disconnected.
	f.Log("Request refused.", "method", loggedText(r.Method), "path", loggedText(r.URL.Path), "status", code,
		"retryAfterMs", retry.Milliseconds(), "why", why)
}

// loggedText returns what is logged of a caller's text. It is a copy, since a part of the text
// would keep the request's first line in memory.
func loggedText(s string) string {
	if len(s) > _maxLoggedText {
		return s[:_maxLoggedText] + "..."
	}
	return strings.Clone(s)
}

func writeJSON(w http.ResponseWriter, body []byte) {
	w.Header()["Content-Type"] = _contentTypeJSON
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // Fails only if the caller has disconnected.
}

var _contentTypeJSON = []string{"application/json"}
