package slots

import (
	"context"
	"fmt"
	"slices"
	"strings"
)

// Status is what the dispatcher knows of a pool that it owns.
type Status struct {
	Pool string `json:"pool"`
	// Term is the offset at which this entry became the broker.
	Term uint64 `json:"term"`
	// Waiting is the number of requests without an answer yet.
	Waiting int `json:"waiting"`
	// Held is the number of slots handed out in this term.
	Held int `json:"held"`
	// Missing is the number of entries that have not reported their holds.
	UnreportedEntries int `json:"missing"`
}

// Status returns the status of the pools that this entry owns, by name.
func (d *Dispatcher) Status(ctx context.Context) ([]Status, error) {
	c := make(chan []Status, 1)
	if err := d.duty.Post(inspect{reply: c}); err != nil {
		return nil, fmt.Errorf("ask for status: %w", err)
	}
	select {
	case l := <-c:
		return l, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for status: %w", ctx.Err())
	}
}

// status runs on the duty.
func (d *Dispatcher) status() []Status {
	l := make([]Status, 0, len(d.pools))
	for _, p := range d.pools {
		l = append(l, Status{
			Pool: p.name, Term: p.term, Waiting: len(p.waiting), Held: len(p.granted), UnreportedEntries: p.broker.UnreportedEntries(),
		})
	}
	slices.SortFunc(l, func(a, b Status) int { return strings.Compare(a.Pool, b.Pool) })
	return l
}
