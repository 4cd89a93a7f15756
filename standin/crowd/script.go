package crowd

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// _maxConnections limits the size of a crowd.
const _maxConnections = 900

// ErrScript reports a line of a script that can't be read.
var ErrScript = errors.New("bad line of a script")

// Kind is what the callers of a crowd send.
type Kind string

// The kinds of callers.
const (
	// ManyShortHeaderLines sends short header lines with distinct names, and no end of them.
	ManyShortHeaderLines Kind = "manyShortHeaderLines"
	// OddHeaderLines sends repeated names, continuation lines, or long names without values,
	// and no end of them.
	OddHeaderLines Kind = "oddHeaderLines"
	// FinishedHeaderLines sends whole requests with short header lines, one after the other,
	// and reads no answer.
	FinishedHeaderLines Kind = "finishedHeaderLines"
	// SizedBody sends bodies with a Content-Length.
	SizedBody Kind = "sizedBody"
	// OneLargeChunk sends a body as one chunk.
	OneLargeChunk Kind = "oneLargeChunk"
	// OneByteChunks sends a body as chunks of one byte.
	OneByteChunks Kind = "oneByteChunks"
	// Silent sends nothing.
	Silent Kind = "silent"
	// AnswersUnread sends whole requests, one after the other, and reads no answer.
	AnswersUnread Kind = "answersUnread"
	// LargeHeader sends whole requests with short header lines and reads the answers.
	LargeHeader Kind = "largeHeader"
)

var _kinds = []Kind{
	ManyShortHeaderLines, OddHeaderLines, FinishedHeaderLines, SizedBody, OneLargeChunk, OneByteChunks, Silent, AnswersUnread, LargeHeader,
}

// Script says what a crowd does, and the bounds of the entry meanwhile.
type Script struct {
	// Kind is what the callers send, on Connections connections.
	Kind        Kind
	Connections int
	// Bytes is the size of the header lines, or of a body.
	Bytes int
	// Short is how many of the last bytes of a body with a Content-Length are held back. Of
	// chunks, the last one always is. One caller of _finishingEvery sends them all the same.
	Short int
	// Requests is how many requests are sent on a connection; zero counts as one.
	Requests int
	// Piece is the number of bytes sent at once, with a pause before the next; zero means all.
	Piece int
	Pause time.Duration
	// Reconnects is how many times one caller of _returningEvery comes back.
	Reconnects int
	// BudgetMs is sent as the callers' time limit, unless it is zero.
	BudgetMs int
	// Stand is how long the crowd stands once it has sent what it sends.
	Stand time.Duration
	// Entries is the number of entries. The crowd calls the first.
	Entries int
	// Boot holds further lines of the entries' boot files.
	Boot []string
	// MaxMemoryMB and MaxDescriptors bound the process of the entry.
	MaxMemoryMB    int
	MaxDescriptors int
	// Answers is the number of answers that the callers must get; zero means any number.
	Answers int
	// Statuses are those that answers may have; none means any.
	Statuses []int
}

// ParseScript reads a script: a line for each field, of its name and its value. Lines that are
// empty or begin with # are ignored.
func ParseScript(text string) (Script, error) {
	s := Script{Entries: 1}
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		key, value, _ := strings.Cut(line, " ")
		if err := s.set(key, value); err != nil {
			return Script{}, fmt.Errorf("%q: %w", line, err)
		}
	}
	switch {
	case !slices.Contains(_kinds, s.Kind):
		return Script{}, fmt.Errorf("callers: %w", ErrScript)
	case s.Connections <= 0 || s.Connections > _maxConnections:
		return Script{}, fmt.Errorf("connections: %w", ErrScript)
	case s.MaxMemoryMB <= 0 || s.MaxDescriptors <= 0 || s.Entries <= 0:
		return Script{}, fmt.Errorf("entries or bounds: %w", ErrScript)
	}
	return s, nil
}

func (s *Script) set(key, value string) error {
	var err error
	switch key {
	case "callers":
		s.Kind = Kind(value)
	case "boot":
		s.Boot = append(s.Boot, value)
	case "pause":
		s.Pause, err = time.ParseDuration(value)
	case "stand":
		s.Stand, err = time.ParseDuration(value)
	case "statuses":
		for _, f := range strings.Fields(value) {
			var n int
			if n, err = strconv.Atoi(f); err != nil {
				break
			}
			s.Statuses = append(s.Statuses, n)
		}
	default:
		n, ok := map[string]*int{
			"connections": &s.Connections, "bytes": &s.Bytes, "short": &s.Short, "requests": &s.Requests, "piece": &s.Piece,
			"reconnects": &s.Reconnects, "budgetMs": &s.BudgetMs, "entries": &s.Entries, "answers": &s.Answers,
			"maxMemoryMb": &s.MaxMemoryMB, "maxDescriptors": &s.MaxDescriptors,
		}[key]
		if !ok {
			return ErrScript
		}
		*n, err = strconv.Atoi(value)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrScript, err)
	}
	return nil
}
