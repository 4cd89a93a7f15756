package node

import (
	"context"

	"fescuelanding/platform"
)

// _maxQueuedAppends bounds those that wait while an append is under way.
const _maxQueuedAppends = 1024

// recorder appends to a topic what the planner of hosts has to leave to others. One
// append is under way at a time, with all that came up during the one before: a slow store takes
// a tenth of a second for each, and orders wait for theirs.
type recorder struct {
	// Append adds records, all or none.
	Append func(ctx context.Context, topic string, l []platform.Record) error
	topic  string
	queue  chan appendRequest
}

// appendRequest is records of which somebody has to know that they last.
type appendRequest struct {
	records []platform.Record
	done    func(error)
}

func newRecorder(topic string, f func(context.Context, string, []platform.Record) error) *recorder {
	return &recorder{Append: f, topic: topic, queue: make(chan appendRequest, _maxQueuedAppends)}
}

// add has records appended; done is called with the outcome, unless ctx ends first.
func (r *recorder) add(ctx context.Context, l []platform.Record, done func(error)) {
	select {
	case r.queue <- appendRequest{l, done}:
	case <-ctx.Done():
	}
}

// run appends until ctx ends.
func (r *recorder) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case x := <-r.queue:
			r.append(ctx, r.collect(x))
		}
	}
}

// collect takes in what else waits.
func (r *recorder) collect(x appendRequest) []appendRequest {
	l := []appendRequest{x}
	for {
		select {
		case x := <-r.queue:
			l = append(l, x)
		default:
			return l
		}
	}
}

func (r *recorder) append(ctx context.Context, l []appendRequest) {
	var all []platform.Record
	for _, x := range l {
		all = append(all, x.records...)
	}
	err := r.Append(ctx, r.topic, all)
	for _, x := range l {
		x.done(err)
	}
}
