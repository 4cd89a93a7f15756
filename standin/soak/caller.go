package soak

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"fescuelanding/platform"
)

const (
	// _submitAttempts is the number of a caller's attempts to submit or cancel a job.
	_submitAttempts = 5
	// _maxRetryAfter bounds how long a caller waits before it repeats a refused request.
	_maxRetryAfter = time.Second
	_shortestPause = 10 * time.Millisecond
	_longestPause  = 200 * time.Millisecond
	_moveShare     = 0.1
	// _turn is the time in which most jobs go to the same queue.
	_turn = 5 * time.Second
	// _visible is the time after which every entry knows of an accepted job, _cancelTime the
	// time after which no task of a cancelled job starts.
	_visible    = 3 * time.Second
	_cancelTime = 3 * time.Second
)

var errUnreachable = errors.New("no entry accepts connections")

// caller sends requests, one at a time, on connections that it keeps open.
type caller struct {
	soak *Soak
	r    *rand.Rand
	// at is the entry that gets the next request.
	at *entry
	// moveShare is the share of requests before which the caller changes to another entry.
	moveShare float64
	open      map[*entry]*conn
}

func (k *Soak) newCaller(n uint64) *caller {
	r := rand.New(rand.NewPCG(k.Seed, n))
	return &caller{
		soak: k, r: r, at: k.entries[r.IntN(len(k.entries))], moveShare: _moveShare, open: make(map[*entry]*conn),
	}
}

// move makes another entry the one that gets the next request.
func (c *caller) move() { c.at = c.soak.entries[c.r.IntN(len(c.soak.entries))] }

func (c *caller) close() {
	for e := range c.open {
		c.drop(e)
	}
}

func (c *caller) drop(e *entry) {
	if o := c.open[e]; o != nil {
		_ = o.c.Close()
		delete(c.open, e)
	}
}

// run sends requests until stop is closed.
func (c *caller) run(stop <-chan struct{}) {
	defer c.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(between(c.r, _shortestPause, _longestPause)):
			c.act(time.Now())
		}
	}
}

// act sends one request, with its repetitions.
func (c *caller) act(now time.Time) {
	j := c.soak.pick(c.r)
	x := c.r.IntN(100)
	switch {
	case x < 5:
		c.pending()
	case x < 8 && j != nil && c.soak.submitting.Load():
		c.cancel(j)
	case x < 12 && j != nil && j.open():
		c.attempt(j)
	case x < 15 && c.soak.submitting.Load() && c.soak.openLongRunning() < _maxLongRunning:
		c.submitNew(now, _longRunning)
	case x < 40 && c.soak.submitting.Load() && c.soak.openJobs() < _maxOpenJobs:
		c.submitNew(now, _anyKind)
	case j != nil:
		c.look(j)
	}
}

// send sends a request on an open connection, or on a new one to any entry.
func (c *caller) send(method string, q platform.Queue, id, body string) (answer, error) {
	if c.r.Float64() < c.moveShare {
		c.move()
	}
	for range len(c.soak.entries) {
		o := c.open[c.at]
		if o == nil {
			var err error
			if o, err = dial(c.at); err != nil {
				c.move()
				continue
			}
			c.open[c.at] = o
		}
		return c.sendOn(o, method, q, id, body)
	}
	return answer{}, errUnreachable
}

func (c *caller) sendOn(o *conn, method string, q platform.Queue, id, body string) (answer, error) {
	c.soak.requests.Add(1)
	if o.entry.terminatedSince(o.opened) {
		c.soak.late.Add(1)
	}
	a, err := o.send(method, q, id, body)
	if err != nil || a.last {
		c.drop(o.entry)
		c.move()
	}
	switch {
	case errors.Is(err, errCut) || errors.Is(err, errNoAnswer):
		c.soak.violate("%s %s%s: %v", method, q.Prefix, id, err)
	case err != nil:
		c.soak.unanswered.Add(1)
	case !expected(a.status):
		c.soak.violate("%s %s%s: %s answered %d %s", method, q.Prefix, id, o.entry.name, a.status, a.body)
	}
	return a, err
}

// expected reports whether a valid request for a queue that exists may get a status.
func expected(status int) bool {
	switch status {
	case http.StatusOK, http.StatusGone, http.StatusTooManyRequests, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// refused reports whether a status says that the request has had no effect.
func refused(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// submitNew submits a new job and returns it, or nil if there is none.
func (c *caller) submitNew(now time.Time, kind jobKind) *job {
	j, err := c.soak.newJob(c.r, now, kind)
	if err != nil {
		c.soak.violate("%v", err)
		return nil
	}
	c.submit(j)
	return j
}

// submit submits a job until it is accepted, and gives up after some attempts.
func (c *caller) submit(j *job) {
	for range _submitAttempts {
		if c.attempt(j) {
			return
		}
	}
	j.mu.Lock()
	j.givenUp = true
	j.mu.Unlock()
}

// attempt sends a job once and reports whether it was accepted. If not, it waits as long as
// the answer asks for.
func (c *caller) attempt(j *job) bool {
	a, err := c.send(http.MethodPost, j.queue, j.id, j.body)
	if errors.Is(err, errUnreachable) {
		time.Sleep(_longestPause)
		return false
	}
	j.mu.Lock()
	switch {
	case err == nil && a.status == http.StatusOK:
		if j.accepted.IsZero() {
			j.accepted = time.Now()
		}
	case err != nil || !refused(a.status):
		j.uncertain = true
	}
	ok := !j.accepted.IsZero()
	j.mu.Unlock()
	if !ok {
		time.Sleep(min(a.retryAfter, _maxRetryAfter))
	}
	return ok
}

func (c *caller) cancel(j *job) {
	c.soak.site.RecordCancel(j.id)
	j.mu.Lock()
	if j.cancelSent.IsZero() {
		j.cancelSent = time.Now()
	}
	j.mu.Unlock()
	for range _submitAttempts {
		a, err := c.send(http.MethodDelete, j.queue, j.id, "")
		if err != nil || a.status != http.StatusOK && a.status != http.StatusGone {
			time.Sleep(min(a.retryAfter, _maxRetryAfter))
			continue
		}
		c.soak.site.RecordCancelAnswer(j.id, a.entry.name, a.status)
		j.mu.Lock()
		// An entry that knows of no such job promises that none starts later.
		if j.cancelled.IsZero() {
			j.cancelled = time.Now()
		}
		j.mu.Unlock()
		return
	}
}

func (c *caller) pending() {
	q := c.soak.site.Queue(_queues[c.r.IntN(len(_queues))])
	_, _ = c.send(http.MethodGet, q, "", "") // The answer is checked by send.
}

// look asks for the state of a job and checks the answer.
func (c *caller) look(j *job) {
	a, err := c.send(http.MethodGet, j.queue, j.id, "")
	if err != nil {
		return
	}
	now := time.Now()
	if a.status == http.StatusGone {
		j.mu.Lock()
		lost := !j.accepted.IsZero() && a.sentAt.Sub(j.accepted) > _visible && j.cancelSent.IsZero()
		j.mu.Unlock()
		if lost && a.entry.inTouch(now) {
			c.soak.violate("%s is unknown to %s %v after it was accepted", j.id, a.entry.name, a.sentAt.Sub(j.accepted).Round(time.Millisecond))
		}
		return
	}
	if a.status != http.StatusOK {
		return
	}
	var v struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal([]byte(a.body), &v); err != nil {
		c.soak.violate("%s: state can't be read: %s", j.id, a.body)
		return
	}
	if t := j.checkState(v.State, a.sentAt, now, c.soak.site.Tasks(now, j.id), c.soak.frozen(now)); t != "" {
		c.soak.violate("%s %s", j.id, t)
	}
}
