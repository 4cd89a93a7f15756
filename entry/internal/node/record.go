package node

import (
	"context"

	"fescuelanding/platform"
)

// _maxQueuedAppends is the capacity of a recorder's queue.
const _maxQueuedAppends = 1024

// recorder appends records of the host planner to a topic, for later planning entries
// or the operator. One append is in progress at a time; requests that arrive meanwhile
// are combined into the next one. A slow store takes a tenth of a second per append,
// and orders wait until their records are stored.
type recorder struct {
	// Append appends records to topic atomically.
	Append func(ctx context.Context, topic string, l []platform.Record) error
	topic  string
	queue  chan appendRequest
}

// appendRequest is a request to append records; done is called with the outcome.
type appendRequest struct {
	records []platform.Record
	done    func(error)
}

func newRecorder(topic string, f func(context.Context, string, []platform.Record) error) *recorder {
	return &recorder{Append: f, topic: topic, queue: make(chan appendRequest, _maxQueuedAppends)}
}

// add queues records. done is called with the outcome of their append, unless ctx ends
// first.
func (r *recorder) add(ctx context.Context, l []platform.Record, done func(error)) {
	select {
	case r.queue <- appendRequest{l, done}:
	case <-ctx.Done():
	}
}

// run appends queued records until ctx ends.
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

// collect returns x and all requests that are queued now.
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
