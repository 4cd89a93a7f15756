package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// serve serves a handler with a budget and returns its address.
func serve(t *testing.T, b *Budget, h http.HandlerFunc) string {
	t.Helper()
	l, err := Listen("127.0.0.1:0", func(err error) { t.Error(err) })
	assert.NilError(t, err)
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second, MaxHeaderBytes: 16 << 10}
	done := make(chan error)
	go func() { done <- b.Serve(s, l) }()
	t.Cleanup(func() {
		assert.NilError(t, s.Close())
		assert.Assert(t, errors.Is(<-done, http.ErrServerClosed))
	})
	return l.Addr().String()
}

// dial connects and sends a text.
func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	write(t, c, text)
	return c
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

// answer reads a response and returns its status and body.
func answer(t *testing.T, r *bufio.Reader) (status int, body string) {
	t.Helper()
	p, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	b, err := io.ReadAll(p.Body)
	assert.NilError(t, err)
	assert.NilError(t, p.Body.Close())
	return p.StatusCode, string(b)
}

// assertEnds waits until the other side ends a connection.
func assertEnds(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := io.Copy(io.Discard, c)
	var e net.Error
	assert.Assert(t, !errors.As(err, &e) || !e.Timeout(), "%v", err)
}

// echo answers with the body, and for a connection that was given up or a body that is late with
// 503 and what happened.
func echo(deadline time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b, err := ReadBody(w, r, 1<<20, time.Now().Add(deadline))
		if err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, err.Error())
			return
		}
		_, _ = w.Write(b)
	}
}

func post(length int, sent string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", length, sent)
}

// TestBodies sends bodies of many sizes on one connection, with their length or in chunks, and
// with a trailer.
func TestBodies(t *testing.T) {
	b := &Budget{MaxBytes: 16 << 20, MaxConns: 2}
	c := dial(t, serve(t, b, func(w http.ResponseWriter, r *http.Request) {
		echo(10*time.Second)(w, r)
		assert.Check(t, r.Trailer == nil)
	}), "")
	r := bufio.NewReader(c)
	text := strings.Repeat("0123456789abcde\n", 20_000)
	for _, n := range []int{0, 1, _firstBytes - 1, _firstBytes, _firstBytes + 1, _chunkBytes, _firstBytes + _chunkBytes, _firstBytes + _chunkBytes + 1, 250_000} {
		write(t, c, post(n, text[:n]))
		_, got := answer(t, r)
		assert.Assert(t, got == text[:n], n)

		var chunks strings.Builder
		for i := 0; i < n; i += 1000 {
			p := text[i:min(n, i+1000)]
			fmt.Fprintf(&chunks, "%x\r\n%s\r\n", len(p), p)
		}
		write(t, c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks.String()+"0\r\na: b\r\n\r\n")
		_, got = answer(t, r)
		assert.Assert(t, got == text[:n], n)
	}
	assert.NilError(t, c.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.Held() == 0 && b.Conns() == 0 {
			return poll.Success()
		}
		return poll.Continue("%d bytes, %d connections", b.Held(), b.Conns())
	})
}

// TestSlowBodyIsServed sends a body slowly, and has the handler go on for longer than the body had
// time.
func TestSlowBodyIsServed(t *testing.T) {
	const deadline = time.Second
	b := &Budget{MaxBytes: 1 << 20, MaxConns: 2}
	ctx := make(chan error, 2)
	c := dial(t, serve(t, b, func(w http.ResponseWriter, r *http.Request) {
		echo(deadline)(w, r)
		time.Sleep(deadline)
		ctx <- r.Context().Err()
	}), "")
	r := bufio.NewReader(c)
	for range 2 {
		write(t, c, post(4, "a"))
		for _, p := range []string{"b", "c", "d"} {
			time.Sleep(deadline / 10)
			write(t, c, p)
		}
		_, got := answer(t, r)
		assert.Equal(t, got, "abcd")
		assert.NilError(t, <-ctx)
	}
}

func TestLateBodyEndsTheConnection(t *testing.T) {
	c := dial(t, serve(t, &Budget{}, echo(100*time.Millisecond)), post(100, "abc"))
	status, got := answer(t, bufio.NewReader(c))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, got, ErrLate.Error())
	assertEnds(t, c)
}

// TestLargestIsGivenUp has bodies and headers that stop short of their ends use up the memory.
// Small requests are served all the while.
func TestLargestIsGivenUp(t *testing.T) {
	const limit = 4 << 20
	b := &Budget{MaxBytes: limit}
	address := serve(t, b, echo(10*time.Second))
	body := strings.Repeat("x", 250_000)
	var l []net.Conn
	for range 6 {
		l = append(l, dial(t, address, post(len(body)+1, body)))
		askOnce(t, address)
	}
	status, got := answer(t, bufio.NewReader(l[0]))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, got, ErrGivenUp.Error())
	assertEnds(t, l[0])

	header := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 3_000)
	for range 20 {
		l = append(l, dial(t, address, header))
		askOnce(t, address)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.Held() > limit || b.Conns() >= len(l) {
			return poll.Continue("%d bytes, %d connections", b.Held(), b.Conns())
		}
		return poll.Success()
	})
}

// askOnce has a small request served on a connection of its own.
func askOnce(t *testing.T, address string) {
	t.Helper()
	c := dial(t, address, post(3, "abc"))
	_, got := answer(t, bufio.NewReader(c))
	assert.Equal(t, got, "abc")
	assert.NilError(t, c.Close())
}

// TestIdleConnectionIsGivenUp opens one connection more than the limit.
func TestIdleConnectionIsGivenUp(t *testing.T) {
	b := &Budget{MaxConns: 4}
	address := serve(t, b, echo(time.Second))
	silent := dial(t, address, "")
	l := []net.Conn{silent}
	for range 4 {
		c := dial(t, address, post(1, "a"))
		_, got := answer(t, bufio.NewReader(c))
		assert.Equal(t, got, "a")
		l = append(l, c)
	}
	assertEnds(t, silent)
	write(t, l[4], post(1, "b"))
	_, got := answer(t, bufio.NewReader(l[4]))
	assert.Equal(t, got, "b")
}

// TestRequestUnderWayIsNotGivenUp has a request that was passed on use up the connections.
func TestRequestUnderWayIsNotGivenUp(t *testing.T) {
	b, passed, goOn := &Budget{MaxBytes: 4 << 20, MaxConns: 1}, make(chan struct{}), make(chan struct{})
	address := serve(t, b, func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, 1<<20, time.Now().Add(10*time.Second))
		assert.Check(t, err)
		assert.Check(t, From(r.Context()).Pass())
		close(passed)
		<-goOn
		_, err = w.Write(body)
		assert.Check(t, err)
	})
	c := dial(t, address, post(100_000, strings.Repeat("x", 100_000)))
	<-passed
	assertEnds(t, dial(t, address, ""))
	close(goOn)
	_, got := answer(t, bufio.NewReader(c))
	assert.Equal(t, len(got), 100_000)
}

// TestFailedReadIsFinal: a connection isn't read any more after a read has failed.
func TestFailedReadIsFinal(t *testing.T) {
	c := &conn{Conn: broken{}, account: (&Budget{}).admit(stub{})}
	p := make([]byte, 10)
	_, err := c.Read(p[:1])
	assert.Equal(t, err, net.ErrClosed)
	assert.NilError(t, c.failed)
	_, err = c.Read(p)
	assert.Equal(t, err, net.ErrClosed)
	c.Conn = nil
	_, err = c.Read(p)
	assert.Equal(t, err, net.ErrClosed)
}

// broken is a connection whose reads fail.
type broken struct{ net.Conn }

func (broken) Read([]byte) (int, error) { return 0, net.ErrClosed }

// TestHeaderIsChargedInFull compares what headers of short lines are charged with the memory that
// they take up.
func TestHeaderIsChargedInFull(t *testing.T) {
	const requests = 20
	for _, size := range []int{1 << 10, 4 << 10, 8 << 10, 9 << 10, 14 << 10, 15 << 10, 16 << 10, 20<<10 - 300} {
		text := shortLines(size)
		var l []*http.Request
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range requests {
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
			assert.NilError(t, err)
			l = append(l, r)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		held := (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / requests
		assert.Assert(t, headerCost([]byte(text)) >= held, "%d bytes hold %d", size, held)
		runtime.KeepAlive(l)
	}
}

// shortLines returns a request with many different header lines.
func shortLines(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789-_!#$%&'*+.^`|~"
	var b strings.Builder
	b.WriteString("GET / HTTP/1.1\r\nHost: a\r\n")
	for i := 0; b.Len() < size; i++ {
		for j := i; j >= 0; j = j/len(letters) - 1 {
			b.WriteByte(letters[j%len(letters)])
		}
		b.WriteString(":\n")
	}
	return b.String() + "\r\n"
}

// TestLongAnswerToSlowReader has a caller begin to read an answer that doesn't fit into the buffers.
func TestLongAnswerToSlowReader(t *testing.T) {
	const size = 16 << 20
	c := dial(t, serve(t, &Budget{MaxBytes: 4 << 20}, func(w http.ResponseWriter, _ *http.Request) {
		n, err := w.Write(make([]byte, size))
		assert.Check(t, err)
		assert.Check(t, n == size)
	}), "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(100 * time.Millisecond)
	_, got := answer(t, bufio.NewReader(c))
	assert.Equal(t, len(got), size)
}
