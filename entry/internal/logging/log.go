// Package logging writes the entry's log: one structured line in logfmt for each
// decision on a request and each observed change of state.
//
//	g := logging.New(os.Stdout, "entry")
//	defer g.Close()
//	g.Info("Pool gained.", "pool", name)
//
// Lines pass through a bounded queue to one writer goroutine, so that a stalled
// reader of the log blocks no caller. If the queue is full, lines are dropped and
// counted, and the count is logged once there is room.
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
	// _maxLines is the capacity of the queue.
	_maxLines = 4096
	// _flushBytes is the number of buffered bytes from which the buffer is written at
	// once, without waiting for _flushInterval. The buffer contains whole lines only.
	// Readers of pipes take a few kilobytes at a time.
	_flushBytes = 3 << 10
	// _flushInterval is how long lines are collected before they are written together.
	_flushInterval = 250 * time.Millisecond
)

// line is a queued log line.
type line struct {
	level   log.Level
	at      time.Time
	message string
	pairs   []any
}

// Log is an asynchronous structured logger, safe for concurrent use.
type Log struct {
	lines   chan line
	dropped atomic.Int64
	done    chan struct{}
	closed  chan struct{}
}

// New returns a log that writes lines with a prefix to w. It must be closed.
func New(w io.Writer, prefix string) *Log {
	g := &Log{lines: make(chan line, _maxLines), done: make(chan struct{}), closed: make(chan struct{})}
	b := &bytes.Buffer{}
	l := log.NewWithOptions(b, log.Options{
		Prefix: prefix, ReportTimestamp: false, Level: log.DebugLevel, Formatter: log.LogfmtFormatter,
	})
	go g.write(l, b, w)
	return g
}

// Close writes the queued lines and stops the writer.
func (g *Log) Close() {
	close(g.done)
	<-g.closed
}

// Info logs a message with key-value pairs.
func (g *Log) Info(what string, pairs ...any) { g.put(log.InfoLevel, what, pairs) }

// Warn logs a condition that needs attention if it persists.
func (g *Log) Warn(what string, pairs ...any) { g.put(log.WarnLevel, what, pairs) }

// Note logs a note of a pool's scheduler.
func (g *Log) Note(pool string, n scheduler.Note) {
	p := make([]any, 0, len(n.Pairs)+4)
	p = append(p, "pool", pool)
	if n.Job != "" {
		p = append(p, "job", n.Job)
	}
	g.put(log.InfoLevel, n.What, append(p, n.Pairs...))
}

func (g *Log) put(v log.Level, what string, pairs []any) {
	select {
	case g.lines <- line{v, time.Now(), what, pairs}:
	default:
		g.dropped.Add(1)
		_dropped.Inc()
	}
}

var _dropped = metrics.NewCounter("entry_log_lines_dropped_total")

// write formats and writes queued lines until Close.
func (g *Log) write(l *log.Logger, b *bytes.Buffer, w io.Writer) {
	defer close(g.closed)
	for {
		select {
		case n := <-g.lines:
			g.format(l, n)
			g.flush(b, w, false)
			g.drain(l, b, w)
			// Lines that follow within _flushInterval are written together.
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

// flush writes the buffer if it has reached _flushBytes or now is true.
func (g *Log) flush(b *bytes.Buffer, w io.Writer, now bool) {
	if b.Len() >= _flushBytes || now {
		_, _ = b.WriteTo(w) // There is nowhere to report a log that can't be written.
	}
}

// gather waits for _flushInterval or Close, so that lines are written together.
func (g *Log) gather() {
	t := time.NewTimer(_flushInterval)
	defer t.Stop()
	select {
	case <-t.C:
	case <-g.done:
	}
}

// drain formats all lines that are queued now. It writes the buffer each time it has
// reached _flushBytes.
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
		l.Warn("Log queue was full; lines were dropped.", "count", d)
	}
	l.Log(n.level, n.message, append(n.pairs, "at", n.at.UTC().Format("15:04:05.000"))...)
}
