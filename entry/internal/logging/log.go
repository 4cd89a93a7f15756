// Package notes writes the entry's log: one structured line for each decision
// on a request and each change of belief, on standard output.
//
// Lines go through a bounded ring to one writer, so that no duty waits for a
// reader that stalls. Lines that find the ring full are counted, and the count
// is written when there is room.
package logging

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"fescuelanding/entry/scheduler"
)

const (
	// _maxLines is how many lines may wait.
	_maxLines = 4096
	// _flushBytes is from how many bytes on whole lines are written: readers of pipes
	// take some kilobytes at once.
	_flushBytes = 3 << 10
	// _flushInterval is how long lines gather, so that they are written together.
	_flushInterval = 250 * time.Millisecond
)

// line is a line that waits to be written.
type line struct {
	level log.Level
	at    time.Time
	message  string
	keyvals []any
}

// Log is the entry's log.
type Log struct {
	lines   chan line
	dropped atomic.Int64
	done    chan struct{}
	closed  chan struct{}
}

// New returns a log that writes to w with a prefix.
func New(w io.Writer, prefix string) *Log {
	g := &Log{lines: make(chan line, _maxLines), done: make(chan struct{}), closed: make(chan struct{})}
	b := &bytes.Buffer{}
	l := log.NewWithOptions(b, log.Options{
		Prefix: prefix, ReportTimestamp: false, Level: log.DebugLevel, Formatter: log.LogfmtFormatter,
	})
	go g.write(l, b, w)
	return g
}

// Close writes what waits.
func (g *Log) Close() {
	close(g.done)
	<-g.closed
}

// Info writes a line.
func (g *Log) Info(what string, pairs ...any) { g.enqueue(log.InfoLevel, what, pairs) }

// Warn writes a line about something that needs a look if it stays.
func (g *Log) Warn(what string, pairs ...any) { g.enqueue(log.WarnLevel, what, pairs) }

// Note writes the note of a scheduler.
func (g *Log) Note(pool string, n scheduler.Note) {
	p := make([]any, 0, len(n.Pairs)+4)
	p = append(p, "pool", pool)
	if n.Job != "" {
		p = append(p, "job", n.Job)
	}
	g.enqueue(log.InfoLevel, n.What, append(p, n.Pairs...))
}

func (g *Log) enqueue(v log.Level, what string, pairs []any) {
	select {
	case g.lines <- line{v, time.Now(), what, pairs}:
	default:
		g.dropped.Add(1)
		_dropped.Inc()
	}
}

var _dropped = metrics.NewCounter("entry_log_lines_dropped_total")

// write runs until Close.
func (g *Log) write(l *log.Logger, b *bytes.Buffer, w io.Writer) {
	defer close(g.closed)
	for {
		select {
		case n := <-g.lines:
			g.format(l, n)
			g.flush(b, w, false)
			g.drain(l, b, w)
			g.gather()
			g.drain(l, b, w)
			g.flush(b, w, true)
		case <-g.done:
			g.drain(l, b, w)
			g.flush(b, w, true)
			return
		}
	}
}

// flush writes the buffer once it is full, or at once.
func (g *Log) flush(b *bytes.Buffer, w io.Writer, now bool) {
	if b.Len() >= _flushBytes || now {
		_, _ = b.WriteTo(w) // Nobody can be told that the log can't be written.
	}
}

// gather lets lines gather, so that they are written together.
func (g *Log) gather() {
	t := time.NewTimer(_flushInterval)
	defer t.Stop()
	select {
	case <-t.C:
	case <-g.done:
	}
}

// drain writes what waits now.
func (g *Log) drain(l *log.Logger, b *bytes.Buffer, w io.Writer) {
	for {
		select {
		case n := <-g.lines:
			g.format(l, n)
			g.flush(b, w, false)
		default:
			return
		}
	}
}

func (g *Log) format(l *log.Logger, n line) {
	if d := g.dropped.Swap(0); d > 0 {
		l.Warn("Lines were dropped.", "count", d)
	}
	l.Log(n.level, n.message, append(n.keyvals, "at", n.at.UTC().Format("15:04:05.000"))...)
}
