package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"fescuelanding/fleet"
	"fescuelanding/fleet/config"
	"fescuelanding/fleet/record"
)

// problemsResult is the result of "fescue check".
type problemsResult struct {
	Valid    bool          `json:"valid"`
	Problems []problemItem `json:"problems"`
}

// problemItem is one error in a configuration.
type problemItem struct {
	Line    int    `json:"line,omitempty"`
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Text    string `json:"text"`
	Want    string `json:"want,omitempty"`
}

// String states that the configuration is valid. It returns "" for an invalid one,
// since the command then returns an error that lists the problems.
func (p problemsResult) String() string {
	if p.Valid {
		return "The configuration is valid.\n"
	}
	return ""
}

func check(_ context.Context, r *run) error {
	_, err := parse(r.args[0])
	p := problemsResult{Valid: err == nil, Problems: []problemItem{}}
	var invalid *config.Invalid
	if errors.As(err, &invalid) {
		for _, q := range invalid.Problems() {
			i := problemItem{Line: q.Line(), Section: q.Section(), Key: q.Key(), Text: q.Error(), Want: q.Want()}
			p.Problems = append(p.Problems, i)
		}
	} else if err != nil {
		return err
	}
	return errors.Join(r.print(p), err)
}

func parse(file string) (config.Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return config.Config{}, fmt.Errorf("read configuration: %w", err)
	}
	c, err := config.Parse(text)
	if err != nil {
		return c, fmt.Errorf("%s: %w", file, err)
	}
	return c, nil
}

// diffResult lists the changes that publishing would make.
type diffResult struct {
	// InForce is the offset of the record that put the current configuration in force.
	InForce uint64          `json:"inForce"`
	Changes []sectionChange `json:"changes"`
}

// String describes the changes by section.
func (d diffResult) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "In force since offset %d.\n", d.InForce)
	for _, c := range d.Changes {
		b.WriteString(c.String())
	}
	if len(d.Changes) == 0 {
		b.WriteString("Nothing would change.\n")
	}
	return b.String()
}

func diff(ctx context.Context, r *run) error {
	to, err := parse(r.args[0])
	if err != nil {
		return err
	}
	ctx, cancel := r.withTimeout(ctx)
	defer cancel()
	h, err := r.load(ctx)
	if err != nil {
		return err
	}
	from := h.state.Config()
	d := diffResult{InForce: h.state.ConfigOffset(), Changes: sectionChanges(from, from.Diff(to))}
	return r.print(d)
}

// submitResult is the outcome of submitting a record.
type submitResult struct {
	Outcome string `json:"outcome"`
	Offset  uint64 `json:"offset,omitempty"`
	Detail  string `json:"detail,omitempty"`
	// Entries holds the status of each registered entry. Stragglers lists the entries
	// that hadn't applied the record when the wait ended.
	Entries    []entryStatus `json:"entries,omitempty"`
	Stragglers []string      `json:"stragglers,omitempty"`
}

const (
	_outcomeAccepted   = "accepted"
	_outcomeUnchanged  = "unchanged"
	_outcomeSuperseded = "superseded"
	_outcomeInvalid    = "invalid"
)

// String describes the outcomes accepted and unchanged. It returns "" for the others,
// since the command then returns an error that gives the reason.
func (s submitResult) String() string {
	switch s.Outcome {
	case _outcomeUnchanged:
		return "Nothing to change.\n"
	case _outcomeAccepted:
		text := fmt.Sprintf("Accepted at offset %d.\n", s.Offset)
		if n := len(s.Entries) - len(s.Stragglers); n > 0 {
			text += fmt.Sprintf("In force on %d of %d entries.\n", n, len(s.Entries))
		}
		return text
	default:
		return ""
	}
}

func publish(ctx context.Context, r *run) error {
	to, err := parse(r.args[0])
	if err != nil {
		return err
	}
	limited, cancel := r.withTimeout(ctx)
	defer cancel()
	h, err := r.load(limited)
	if err != nil {
		return err
	}
	// The basis is the offset of the configuration from which the change is computed.
	// The change is rejected if another configuration is in force when it is applied.
	basis := h.state.ConfigOffset()
	if b := r.flags.Uint64(_flagBasis); r.flags.IsSet(_flagBasis) && b != basis {
		detail := fmt.Sprintf("the configuration in force is of offset %d, not %d", basis, b)
		return errors.Join(r.print(submitResult{Outcome: _outcomeSuperseded, Detail: detail}),
			&supersededError{detail: detail})
	}
	change := h.state.Config().Diff(to)
	if len(change.GetSet())+len(change.GetRemoved()) == 0 {
		return r.print(submitResult{Outcome: _outcomeUnchanged, Offset: basis})
	}
	return r.submit(ctx, h, &record.Record{Body: &record.Record_ConfigChange{ConfigChange: change}})
}

// submit appends a record, waits until the entries have applied it or --wait has
// elapsed, and prints the outcome.
func (r *run) submit(ctx context.Context, h *history, m *record.Record) error {
	limited, cancel := r.withTimeout(ctx)
	defer cancel()
	offset, err := h.submit(limited, r.operator, r.now, m)
	s := submitResult{Outcome: _outcomeAccepted, Offset: offset}
	var superseded *supersededError
	var rejection *fleet.Rejection
	switch {
	case errors.As(err, &superseded):
		s.Outcome, s.Detail = _outcomeSuperseded, superseded.detail
	case errors.As(err, &rejection):
		s.Outcome, s.Detail = _outcomeInvalid, rejection.Error()
	case err != nil:
		return err
	default:
		err = r.waitForEntries(ctx, h, &s)
	}
	return errors.Join(r.print(s), err)
}

// waitForEntries waits until the entries have applied the record at s.Offset or
// --wait has elapsed. It sets s.Entries and s.Stragglers, and returns a
// *stragglerError if any entry hasn't applied the record.
func (r *run) waitForEntries(ctx context.Context, h *history, s *submitResult) error {
	wait := r.flags.Duration(_flagWait)
	if wait <= 0 {
		return nil
	}
	s.Entries, s.Stragglers = awaitEntries(ctx, h, s.Offset, wait)
	if len(s.Stragglers) > 0 {
		return &stragglerError{entries: s.Stragglers}
	}
	return nil
}
