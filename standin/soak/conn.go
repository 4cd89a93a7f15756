package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fescuelanding/platform"
)

const (
	// _budget is how long callers wait for an answer, as they tell the entry. They give up
	// _answerSlack later.
	_budget      = 3 * time.Second
	_answerSlack = 2 * time.Second
	_dialTimeout = time.Second
	// _lossSlack is how long after a request has been sent its connection may end without an
	// answer: the entry may not have read it.
	_lossSlack = 200 * time.Millisecond
)

var (
	errNoAnswer = errors.New("no answer in time")
	errCut      = errors.New("connection ended without a whole answer")
)

// conn is an open connection of a caller to an entry.
type conn struct {
	entry  *entry
	opened time.Time
	c      net.Conn
	r      *bufio.Reader
	// key is the key that requests carry.
	key string
}

// dial opens a connection to an entry.
func dial(e *entry) (*conn, error) {
	c, err := net.DialTimeout("tcp", e.site.Address(e.name).String(), _dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", e.name, err)
	}
	return &conn{entry: e, opened: time.Now(), c: c, r: bufio.NewReader(c), key: _steadyKey}, nil
}

// answer is the answer to a request.
type answer struct {
	entry      *entry
	status     int
	body       string
	retryAfter time.Duration
	// last is set if the entry won't answer another request on the connection.
	last bool
	// begunAt is when the sending of the request began, sentAt when it had been sent.
	begunAt, sentAt time.Time
}

// send sends a request and reads the answer. An error matches errCut if the connection
// ended although the entry must have answered, and errNoAnswer if the entry kept it open.
func (c *conn) send(method string, q platform.Queue, id, body string) (answer, error) {
	r, err := http.NewRequest(method, "http://"+q.Host+q.Prefix+id, strings.NewReader(body)) //nolint:noctx // The connection has a deadline.
	if err != nil {
		return answer{}, fmt.Errorf("make request: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(platform.BudgetHeader, strconv.FormatInt(_budget.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+c.key)
	begin := time.Now()
	if err := c.c.SetDeadline(begin.Add(_budget + _answerSlack)); err != nil {
		return answer{}, fmt.Errorf("set deadline: %w", err)
	}
	if err := r.Write(c.c); err != nil {
		return answer{}, fmt.Errorf("send request: %w", err)
	}
	a := answer{entry: c.entry, begunAt: begin, sentAt: time.Now()}
	w, err := http.ReadResponse(c.r, r)
	if err != nil {
		return a, c.judge(err, begin, a.sentAt, false)
	}
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	if err != nil {
		return a, c.judge(err, begin, a.sentAt, true)
	}
	s, _ := strconv.Atoi(w.Header.Get("Retry-After")) // Missing counts as zero.
	a.status, a.body, a.retryAfter, a.last = w.StatusCode, string(b), time.Duration(s)*time.Second, w.Close
	return a, nil
}

// judge classifies the failure of a read. begun is set if a part of the answer was read.
func (c *conn) judge(err error, begin, sentAt time.Time, begun bool) error {
	now := time.Now()
	var t net.Error
	if errors.As(err, &t) && t.Timeout() {
		if c.entry.interrupted(begin, now) {
			return fmt.Errorf("read answer: %w", err)
		}
		return fmt.Errorf("%w: %s, %v: %w", errNoAnswer, c.entry.name, now.Sub(sentAt).Round(time.Millisecond), err)
	}
	unread := !begun && (now.Sub(sentAt) <= _lossSlack || c.entry.exitedWithin(c.opened, sentAt.Add(_lossSlack)))
	if unread || c.entry.interrupted(begin, now) {
		return fmt.Errorf("read answer: %w", err)
	}
	return fmt.Errorf("%w: %s, %v after the request: %w", errCut, c.entry.name, now.Sub(sentAt).Round(time.Millisecond), err)
}
