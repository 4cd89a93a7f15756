package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"fescuelanding/entry/access"
	"fescuelanding/entry/internal/intake"
	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

// desk serves a handler whose owner is a function, on connections with a budget.
type desk struct {
	address string
	budget  *intake.Budget
	// lines are the reasons of refusals that were logged.
	mu    sync.Mutex
	lines []string
}

func newDesk(t *testing.T, b *intake.Budget, owner func(context.Context) link.Outcome) *desk {
	t.Helper()
	d := &desk{budget: b}
	table := NewTable([]platform.Queue{{Name: "q", Host: "desk.example", Prefix: "/sizes/", Pool: "p", Timeout: 10 * time.Second}})
	f := &Handler{
		FindQueue: func(host, path string) (platform.Queue, bool, bool) {
			q, ok := table.Find(host, path)
			return q, ok, true
		},
		Authorize: func(time.Time, platform.Queue, platform.KeyHash, bool) (access.Decision, *link.Credential) {
			return access.Decision{}, nil
		},
		Limits: func() platform.Limits { return platform.Limits{} },
		CallOwner: func(ctx context.Context, _ *link.Call) *link.Answer {
			return &link.Answer{Outcome: owner(ctx)}
		},
		Log: func(_ string, pairs ...any) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.lines = append(d.lines, fmt.Sprint(pairs[len(pairs)-1]))
		},
		Closing: func() bool { return false },
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{Handler: f}
	done := make(chan error)
	go func() { done <- b.Serve(s, l) }()
	t.Cleanup(func() {
		assert.NilError(t, s.Close())
		assert.Assert(t, errors.Is(<-done, http.ErrServerClosed))
	})
	d.address = l.Addr().String()
	return d
}

func (d *desk) reasons() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return strings.Join(d.lines, ", ")
}

// visit is a connection of a caller.
type visit struct {
	net.Conn
	reader *bufio.Reader
}

// visit connects and begins a POST, of whose body all but the last bytes are sent.
func (d *desk) visit(t *testing.T, header, body string, left int) visit {
	t.Helper()
	c, err := net.Dial("tcp", d.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	v := visit{c, bufio.NewReader(c)}
	v.post(t, header, body, left)
	return v
}

func (v visit) post(t *testing.T, header, body string, left int) {
	t.Helper()
	_, err := fmt.Fprintf(v, "POST /sizes/00000000000000a1 HTTP/1.1\r\nHost: desk.example\r\n%sContent-Length: %d\r\n\r\n%s",
		header, len(body), body[:len(body)-left])
	assert.NilError(t, err)
}

// answer returns the status of the response, and its header Retry-After.
func (v visit) answer(t *testing.T) (status int, retryAfter string) {
	t.Helper()
	p, err := http.ReadResponse(v.reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, p.Body)
	assert.NilError(t, err)
	assert.NilError(t, p.Body.Close())
	return p.StatusCode, p.Header.Get("Retry-After")
}

// job returns a job of a size.
func job(size int) string {
	const begin, end = `{"spec":"s","phases":[{"count":1}],"other":"`, `"}`
	return begin + strings.Repeat("x", size-len(begin)-len(end)) + end
}

const _large = 200_000

// TestCallersAreGivenUp has large bodies that stop short of their ends exceed the budget, beside
// small requests that are served.
func TestCallersAreGivenUp(t *testing.T) {
	d := newDesk(t, &intake.Budget{MaxBytes: 4 << 20}, func(context.Context) link.Outcome { return link.Outcome_OUTCOME_OK })
	var l []visit
	for range 6 {
		l = append(l, d.visit(t, "", job(_large), 1))
		status, _ := d.visit(t, "", job(500), 0).answer(t)
		assert.Equal(t, status, http.StatusOK)
	}
	status, retryAfter := l[0].answer(t)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, retryAfter, "1")
	_, err := io.Copy(io.Discard, l[0])
	assert.NilError(t, err)
	_, err = io.WriteString(l[5], "}")
	assert.NilError(t, err)
	status, _ = l[5].answer(t)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.HasPrefix(d.reasons(), "callers' connections hold too much memory"), d.reasons())
}

// TestWorkUnderWayIsNotGivenUp has an owner take its time for a large job, while other large bodies
// exceed the budget.
func TestWorkUnderWayIsNotGivenUp(t *testing.T) {
	called, goOn := make(chan struct{}, 1), make(chan struct{})
	d := newDesk(t, &intake.Budget{MaxBytes: 4 << 20}, func(context.Context) link.Outcome {
		called <- struct{}{}
		<-goOn
		return link.Outcome_OUTCOME_OK
	})
	first := d.visit(t, "", job(_large), 0)
	<-called
	var l []visit
	for range 6 {
		l = append(l, d.visit(t, "", job(_large), 1))
	}
	status, _ := l[0].answer(t)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	close(goOn)
	status, _ = first.answer(t)
	assert.Equal(t, status, http.StatusOK)
}

// TestTooMuchUnderWay: of jobs that together hold more than half of the budget, the last is refused
// before it is passed on.
func TestTooMuchUnderWay(t *testing.T) {
	called, goOn := make(chan struct{}, 10), make(chan struct{})
	d := newDesk(t, &intake.Budget{MaxBytes: 4 << 20}, func(context.Context) link.Outcome {
		called <- struct{}{}
		<-goOn
		return link.Outcome_OUTCOME_OK
	})
	var l []visit
	for range 2 {
		l = append(l, d.visit(t, "", job(_large), 0))
		<-called
	}
	status, retryAfter := d.visit(t, "", job(_large), 0).answer(t)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, retryAfter, "1")
	l = append(l, d.visit(t, "", job(500), 0))
	<-called
	close(goOn)
	for _, v := range l {
		status, _ := v.answer(t)
		assert.Equal(t, status, http.StatusOK)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := d.budget.Held(); n > 1<<20 {
			return poll.Continue("%d bytes", n)
		}
		return poll.Success()
	})
}

// TestSlowCaller has a body come slowly, on a connection that is used again, and then not at all.
func TestSlowCaller(t *testing.T) {
	d := newDesk(t, &intake.Budget{MaxBytes: 4 << 20}, func(ctx context.Context) link.Outcome {
		time.Sleep(400 * time.Millisecond)
		if ctx.Err() != nil {
			return link.Outcome_OUTCOME_UNKNOWN
		}
		return link.Outcome_OUTCOME_OK
	})
	body := job(3000)
	v := d.visit(t, "Deadline-Ms: 5000\r\n", body, 2000)
	for range 2 {
		for i := range 4 {
			time.Sleep(100 * time.Millisecond)
			_, err := io.WriteString(v, body[1000+i*500:1500+i*500])
			assert.NilError(t, err)
		}
		status, _ := v.answer(t)
		assert.Equal(t, status, http.StatusOK)
		v.post(t, "Deadline-Ms: 5000\r\n", body, 2000)
	}
	status, retryAfter := d.visit(t, "Deadline-Ms: 300\r\n", body, 1).answer(t)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, retryAfter, "1")
	assert.Equal(t, d.reasons(), "body took too long")
}
