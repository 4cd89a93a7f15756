package config

import (
	"errors"
	"fmt"
	"strings"
)

// _maxProblems is the largest number of problems that an Invalid lists.
const _maxProblems = 50

// Reasons of a Problem, to compare with errors.Is.
var (
	ErrSyntax    = errors.New("syntax error")
	ErrKind      = errors.New("unknown section kind")
	ErrName      = errors.New("bad section name")
	ErrDuplicate = errors.New("declared twice")
	ErrKey       = errors.New("unknown key")
	// ErrMissing means that a required key isn't set.
	ErrMissing = errors.New("missing key")
	ErrValue   = errors.New("bad value")
	// ErrReference means that a key names an object that isn't declared.
	ErrReference = errors.New("not declared")
	// ErrBudget means that a pool's budget exceeds the number of hosts that have the
	// pool as home, or that a spare pool has a budget.
	ErrBudget = errors.New("budget can't hold")
	// ErrAbsent means that a change removes a section that the configuration doesn't
	// contain.
	ErrAbsent = errors.New("no such section to remove")
)

var (
	errWantName     = errors.New("letters, digits, '.', '_' and '-'")
	errWantCount    = errors.New("a whole number")
	errWantDuration = errors.New(`a duration of at least 1ms with its unit, such as "30s" or "672h"`)
	errWantFlag     = errors.New("true or false")
	errWantAddress  = errors.New(`an IP address and port, such as "10.1.1.1:8080"`)
	errWantDomain   = errors.New("none, rack or dataCentre")
)

// Problem is one error in a configuration.
type Problem struct {
	reason error
	kind   string
	name   string
	key    string
	found  string
	want   string
	// line is the line of the section's header or of a syntax error. keyLine is the
	// line of the key. Both are 0 if unknown.
	line    int
	keyLine int
}

// Unwrap returns the reason, one of the package's Err variables.
func (p *Problem) Unwrap() error { return p.reason }

// Section returns the header of the section, such as `pool "fitting"`.
func (p *Problem) Section() string { return header(p.kind, p.name) }

// Key returns the key in the section, or "" if the problem concerns the whole
// section.
func (p *Problem) Key() string { return p.key }

// Want describes the expected value.
func (p *Problem) Want() string { return p.want }

// Line returns the line in the parsed text, starting at 1, or 0 if the
// configuration was not parsed from text or the line is unknown.
func (p *Problem) Line() int {
	if p.keyLine != 0 {
		return p.keyLine
	}
	return p.line
}

// Error describes the problem in one line.
func (p *Problem) Error() string {
	var b strings.Builder
	if l := p.Line(); l != 0 {
		fmt.Fprintf(&b, "line %d: ", l)
	}
	if p.kind != "" || p.name != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section())
	}
	if p.key != "" {
		fmt.Fprintf(&b, "%s: ", p.key)
	}
	b.WriteString(p.reason.Error())
	if p.found != "" {
		fmt.Fprintf(&b, " %q", p.found)
	}
	if p.want != "" {
		fmt.Fprintf(&b, ", want %s", p.want)
	}
	return b.String()
}

// Invalid is the error of a configuration with problems.
type Invalid struct {
	problems []*Problem
	more     int
}

// Problems returns at most 50 of the problems found. Problems of parsed text are
// in the order of its lines, others in the order in which they were found.
func (e *Invalid) Problems() []*Problem { return e.problems }

// More returns the number of problems that Problems omits.
func (e *Invalid) More() int { return e.more }

// Error lists the problems, one per line.
func (e *Invalid) Error() string {
	var b strings.Builder
	b.WriteString("invalid configuration:")
	for _, p := range e.problems {
		b.WriteString("\n  ")
		b.WriteString(p.Error())
	}
	if e.more > 0 {
		fmt.Fprintf(&b, "\n  and %d more", e.more)
	}
	return b.String()
}

// Unwrap returns the problems for errors.Is and errors.As.
func (e *Invalid) Unwrap() []error {
	r := make([]error, len(e.problems))
	for i, p := range e.problems {
		r[i] = p
	}
	return r
}

// add appends a problem to the list, or only counts it if the list is full.
func (e *Invalid) add(p Problem) {
	if len(e.problems) == _maxProblems {
		e.more++
		return
	}
	e.problems = append(e.problems, &p)
}

// err returns e, or nil if there are no problems.
func (e *Invalid) err() error {
	if len(e.problems) == 0 {
		return nil
	}
	return e
}

// header returns a section's header without the brackets.
func header(kind, name string) string {
	if name == "" {
		return kind
	}
	return kind + ` "` + name + `"`
}
