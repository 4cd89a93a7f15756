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
	// _ring is how many lines may wait.
	_ring = 4096
	// _write is from how many bytes on whole lines are written: readers of pipes
	// take some kilobytes at once.
	_write = 3 << 10
	// _flush is how long lines gather, so that they are written together.
	_flush = 250 * time.Millisecond
)

// line is a line that waits to be written.
type line struct {
	level log.Level
	at    time.Time
	what  string
	pairs []any
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
	g := &Log{lines: make(chan line, _ring), done: make(chan struct{}), closed: make(chan struct{})}
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
func (g *Log) Info(what string, pairs ...any) { g.put(log.InfoLevel, what, pairs) }

// Warn writes a line about something that needs a look if it stays.
func (g *Log) Warn(what string, pairs ...any) { g.put(log.WarnLevel, what, pairs) }

// Note writes the note of a scheduler.
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

// write runs until Close.
func (g *Log) write(l *log.Logger, b *bytes.Buffer, w io.Writer) {
	defer close(g.closed)
	for {
		select {
		case n := <-g.lines:
			g.one(l, n)
			g.flush(b, w, false)
			g.rest(l, b, w)
			g.pause()
			g.rest(l, b, w)
			g.flush(b, w, true)
		case <-g.done:
			g.rest(l, b, w)
			g.flush(b, w, true)
			return
		}
	}
}

// flush writes the buffer once it is full, or at once.
func (g *Log) flush(b *bytes.Buffer, w io.Writer, now bool) {
	if b.Len() >= _write || now {
		_, _ = b.WriteTo(w) // Nobody can be told that the log can't be written.
	}
}

// pause lets lines gather, so that they are written together.
func (g *Log) pause() {
	t := time.NewTimer(_flush)
	defer t.Stop()
	select {
	case <-t.C:
	case <-g.done:
	}
}

// rest writes what waits now.
func (g *Log) rest(l *log.Logger, b *bytes.Buffer, w io.Writer) {
	for {
		select {
		case n := <-g.lines:
			g.one(l, n)
			g.flush(b, w, false)
		default:
			return
		}
	}
}

func (g *Log) one(l *log.Logger, n line) {
	if d := g.dropped.Swap(0); d > 0 {
		l.Warn("Lines were dropped.", "count", d)
	}
	l.Log(n.level, n.what, append(n.pairs, "at", n.at.UTC().Format("15:04:05.000"))...)
}
