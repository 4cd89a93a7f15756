package serve

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/caller"
	"fescuelanding/entry/upstream"
)

// send makes an attempt and waits for it until the caller disconnects or the
// deadline passes. The attempt itself continues until the upstream has finished
// or the hold expires.
func (r *request) send(ctx context.Context, pool, witness string, h broker.Hold) (end caller.End, retry bool) {
	c := make(chan outcome, 1)
	f := r.forwarder
	left := r.Deadline().Sub(f.now())
	host, _ := f.Table.View().Config().Host(h.Host)
	a := upstream.NewAttempt(r.attemptID(), host.Address().String(), r.Method(), r.Target(), r.Header(), r.Body(), left)
	f.running.Go(func() {
		run, cancel := context.WithDeadline(context.WithoutCancel(ctx), h.Until)
		start := f.now()
		o := r.classify(f.Sender.Send(run, a))
		o.finish = func() {
			cancel()
			o.result.Run = f.now().Sub(start)
			observe("fescue_run_seconds", r, o.result.Run)
			r.release(pool, witness, h, o.result)
		}
		c <- o
	})
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case o := <-c:
		return r.deliver(o)
	case <-t.C:
	case <-ctx.Done():
	}
	f.running.Go(func() { (<-c).drain() })
	return caller.Unknown{Status: http.StatusGatewayTimeout, Reason: "deadlineExceeded"}, false
}

// outcome is the classified result of an attempt.
type outcome struct {
	end    caller.End
	retry  bool
	result broker.Result
	// rest is the part of a streamed answer that has not been read, or nil.
	rest io.ReadCloser
	// finish returns the slot. It must be called once.
	finish func()
}

// drain returns the slot after it has read and discarded the rest of the answer,
// so that the upstream can finish.
func (o outcome) drain() {
	if o.rest != nil {
		_, _ = io.Copy(io.Discard, o.rest)
		_ = o.rest.Close()
	}
	o.finish()
}

// deliver returns the end of an attempt and whether another attempt is safe.
// The slot of a streamed answer is returned at the end of the stream.
func (r *request) deliver(o outcome) (caller.End, bool) {
	if o.rest == nil {
		o.finish()
		return o.end, o.retry
	}
	if a, ok := o.end.(caller.Answered); ok && !o.retry {
		a.Rest = &streamed{outcome: o}
		return a, false
	}
	r.forwarder.running.Go(o.drain)
	return o.end, o.retry
}

// streamed is the rest of an answer while the caller reads it.
type streamed struct {
	outcome outcome
	once    sync.Once
}

// Read implements io.Reader.
func (s *streamed) Read(b []byte) (int, error) { return s.outcome.rest.Read(b) }

// Close implements io.Closer. It reads the answer to its end if the caller has
// disconnected, so that the upstream can finish.
func (s *streamed) Close() error {
	s.once.Do(s.outcome.drain)
	return nil
}

// classify converts the result of an attempt to the end for the caller and the
// result for the broker, and determines whether another attempt is safe.
func (r *request) classify(v upstream.Result) outcome {
	switch v := v.(type) {
	case upstream.Answer:
		return r.classifyAnswer(v)
	case upstream.NotSent:
		return outcome{
			end: r.orLastEnd(caller.NotRun{Reason: "upstreamUnreachable", RetryAfter: _defaultRetryAfter}), retry: true,
			result: broker.Result{Outcome: broker.Unreachable},
		}
	case upstream.Declined:
		return outcome{
			end: r.orLastEnd(caller.NotRun{Reason: "upstreamDeclined", RetryAfter: _defaultRetryAfter}), retry: true,
			result: broker.Result{Outcome: broker.NotSent, Leaving: v.Leaving()},
		}
	default:
		return outcome{
			end: caller.Unknown{Reason: "upstreamLost"}, retry: r.Idempotent(),
			result: broker.Result{Outcome: broker.Lost},
		}
	}
}

func (r *request) classifyAnswer(v upstream.Answer) outcome {
	o := outcome{
		end:    caller.Answered{Status: v.Status(), Header: v.Header(), Body: v.Body()},
		result: broker.Result{Outcome: broker.Answered, Leaving: v.Leaving()},
		rest:   v.Rest(),
	}
	if v.Status() >= http.StatusInternalServerError {
		o.result.Outcome = broker.Failed
		o.retry = r.Idempotent()
	}
	if !r.key.IsZero() && v.Rest() == nil {
		o.result.Answer = storeAnswer(v)
	}
	return o
}
