package node

import (
	"context"
	"errors"

	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

// waves moves and maintains hosts while this entry is dealt that duty.
type waves struct {
	node *Node
}

func (w *waves) declare(platform.Record) {}

func (w *waves) run(ctx context.Context) { <-ctx.Done() }

// lost tells whether a call that failed may have been carried out.
func lost(err error) link.Outcome {
	if errors.Is(err, link.ErrNotSent) {
		return link.Outcome_OUTCOME_NOT_OWNER
	}
	return link.Outcome_OUTCOME_UNKNOWN
}
