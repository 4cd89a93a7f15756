package main

import (
	"errors"
	"fmt"
	"strings"

	"fescuelanding/fleet"
	"fescuelanding/fleet/config"
	"fescuelanding/fleet/platform"
)

// code is an exit code of the program.
type code int

const (
	_done        code = 0
	_invalid     code = 1
	_superseded  code = 2
	_unavailable code = 3
	_stragglers  code = 4
	_unknown     code = 5
	_usage       code = 64
)

// supersededError means that another operator changed the object first.
type supersededError struct {
	detail string
}

// Error implements error.
func (e *supersededError) Error() string { return "superseded: " + e.detail }

// stragglerError lists the entries that haven't applied a change yet.
type stragglerError struct {
	entries []string
}

// Error implements error.
func (e *stragglerError) Error() string {
	return "accepted, but not yet in force on " + strings.Join(e.entries, ", ")
}

// usageError means that the command line is wrong.
type usageError struct {
	detail string
}

// Error implements error.
func (e *usageError) Error() string { return e.detail }

func usagef(format string, args ...any) error {
	return &usageError{detail: fmt.Sprintf(format, args...)}
}

// codeOf returns the exit code for an error.
func codeOf(err error) code {
	var (
		superseded *supersededError
		stragglers *stragglerError
		rejection  *fleet.Rejection
		invalid    *config.Invalid
	)
	switch {
	case err == nil:
		return _done
	case errors.As(err, &superseded):
		return _superseded
	case errors.As(err, &stragglers):
		return _stragglers
	case errors.As(err, &rejection), errors.As(err, &invalid), errors.Is(err, platform.ErrRejected),
		errors.Is(err, errNotConfigured):
		return _invalid
	case errors.Is(err, platform.ErrUnknownOutcome), errors.Is(err, errOutcomeUnread):
		return _unknown
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, errLogUnreadable):
		return _unavailable
	default:
		// The remaining errors are mostly those of the command line and of reading files.
		return _usage
	}
}
