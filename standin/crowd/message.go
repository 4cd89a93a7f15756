package crowd

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fescuelanding/platform"
)

const (
	// _specBytes is the size of a spec. It is the largest that the pages allow.
	_specBytes = 4000
	// _due is how long the jobs of a crowd wait for their first run, which outlasts it: the
	// upstreams have nothing to do with the crowd.
	_due = time.Hour
	// _longName is the length of a long header name.
	_longName = 100
)

// Target is where the callers of a crowd send their requests.
type Target struct {
	// Address is that of the entry.
	Address string
	// Host and Prefix are those of a queue.
	Host, Prefix string
	// Job is the ID of a job of that queue.
	Job string
}

// JobBody returns the body of a job whose first run is due in an hour, padded to a size with
// white space.
func JobBody(spec string, size int) []byte {
	head := fmt.Sprintf(
		`{"spec":%q,"phases":[{"count":1,"cpu":100,"memMb":16,"estimateMs":50}],"repeatCount":1,"firstRunMs":%d,"intervalMs":60000`,
		spec, time.Now().Add(_due).UnixMilli(),
	)
	b := append([]byte(head), bytes.Repeat([]byte(" "), max(size-len(head)-1, 0))...)
	return append(b, '}')
}

// sender makes the requests of a crowd. Callers share its body.
type sender struct {
	script Script
	target Target
	// lines are the header lines, by the rest of a caller's number.
	lines [][]byte
	// body is the body of all requests as it is sent, rest what most callers hold back.
	body, rest []byte
}

func newSender(s Script, t Target) *sender {
	m := &sender{script: s, target: t}
	b := JobBody(strings.Repeat("s", _specBytes), s.Bytes)
	switch s.Kind {
	case ManyShortHeaderLines, FinishedHeaderLines, LargeHeader:
		m.lines = [][]byte{shortLines(s.Bytes)}
	case OddHeaderLines:
		m.lines = [][]byte{repeatedNames(s.Bytes), continuationLines(s.Bytes), longNames(s.Bytes)}
	case SizedBody:
		m.body, m.rest = b[:len(b)-s.Short], b[len(b)-s.Short:]
	case OneLargeChunk:
		m.body = fmt.Appendf(nil, "%x\r\n%s\r\n", len(b), b)
		m.rest = []byte("0\r\n\r\n")
	case OneByteChunks:
		for _, c := range b {
			m.body = append(m.body, '1', '\r', '\n', c, '\r', '\n')
		}
		m.rest = []byte("0\r\n\r\n")
	default:
	}
	return m
}

// parts returns the parts of a request in their order. id is that of a new job.
func (m *sender) parts(caller int, id string) [][]byte {
	end := []byte("\r\n")
	switch m.script.Kind {
	case ManyShortHeaderLines, OddHeaderLines:
		return [][]byte{m.head(http.MethodGet, m.target.Job), m.lines[caller%len(m.lines)]}
	case FinishedHeaderLines, LargeHeader:
		return [][]byte{m.head(http.MethodGet, m.target.Job), m.lines[0], end}
	case AnswersUnread:
		return [][]byte{m.head(http.MethodGet, m.target.Job), end}
	case SizedBody, OneLargeChunk, OneByteChunks:
		l := [][]byte{m.head(http.MethodPost, id), end, m.body}
		if caller%_finishingEvery == 0 {
			l = append(l, m.rest)
		}
		return l
	default:
		return nil
	}
}

// head returns the request line and the headers that each request has.
func (m *sender) head(method, id string) []byte {
	b := fmt.Appendf(nil, "%s %s%s HTTP/1.1\r\nHost: %s\r\n", method, m.target.Prefix, id, m.target.Host)
	if m.script.BudgetMs > 0 {
		b = fmt.Appendf(b, "%s: %d\r\n", platform.BudgetHeader, m.script.BudgetMs)
	}
	switch {
	case method != http.MethodPost:
	case m.script.Kind == SizedBody:
		b = fmt.Appendf(b, "Content-Type: application/json\r\nContent-Length: %d\r\n", len(m.body)+len(m.rest))
	default:
		b = append(b, "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n"...)
	}
	return b
}

// shortLines returns header lines with short, distinct names and no values.
func shortLines(size int) []byte {
	return fill(nil, size, func(i int) string { return strconv.FormatInt(int64(i), 36) + ":\r\n" })
}

// repeatedNames returns header lines with one name and no values.
func repeatedNames(size int) []byte {
	return fill(nil, size, func(int) string { return "x:\r\n" })
}

// continuationLines returns a header line that goes on in many short lines.
func continuationLines(size int) []byte {
	return fill([]byte("x:\r\n"), size, func(int) string { return " y\r\n" })
}

// longNames returns header lines with long, distinct names and no values.
func longNames(size int) []byte {
	return fill(nil, size, func(i int) string { return fmt.Sprintf("%s%d:\r\n", strings.Repeat("n", _longName), i) })
}

// fill appends lines up to a size.
func fill(b []byte, size int, line func(i int) string) []byte {
	for i := 0; ; i++ {
		l := line(i)
		if len(b)+len(l) > size {
			return b
		}
		b = append(b, l...)
	}
}
