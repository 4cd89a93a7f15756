package journal

import (
	"context"
	"slices"
	"time"

	"fescuelanding/platform"
)

// _maxAttempts limits the attempts at one append that are without an answer, each of which
// takes a connection.
const _maxAttempts = 4

// repeater makes attempts at one append.
type repeater struct {
	journal *Journal
	records []platform.Record
	answers chan answer
	// open ends the attempts without an answer, the oldest first.
	open []openAttempt
	last int
}

// openAttempt is an attempt without an answer.
type openAttempt struct {
	number int
	cancel context.CancelFunc
}

// answer is the result of an attempt.
type answer struct {
	number int
	took   time.Duration
	err    error
}

// attempt sends the append. It cuts off the oldest attempt if there are _maxAttempts, whose answer
// won't come.
func (r *repeater) attempt(ctx context.Context) {
	if len(r.open) == _maxAttempts {
		r.open[0].cancel()
		r.open = r.open[1:]
	}
	c, cancel := context.WithCancel(ctx)
	r.last++
	n, s := r.last, r.journal.sequence.Send()
	r.open = append(r.open, openAttempt{n, cancel})
	go func() {
		sent := time.Now()
		err := r.journal.send(c, s, r.records)
		select {
		case r.answers <- answer{n, time.Since(sent), err}:
		case <-ctx.Done():
		}
	}()
}

// next returns the next answer. It returns false when the append has to be repeated without one,
// or ctx has ended.
func (r *repeater) next(ctx context.Context) (answer, bool) {
	t := time.NewTimer(r.journal.pace.After(time.Now(), r.last) + r.transfer())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return answer{}, false
		case <-t.C:
			return answer{}, false
		case a := <-r.answers:
			if i := slices.IndexFunc(r.open, func(o openAttempt) bool { return o.number == a.number }); i >= 0 {
				r.open[i].cancel()
				r.open = slices.Delete(r.open, i, i+1)
				return a, true
			}
			// The attempt was cut off, and stays without an answer.
		}
	}
}

// transfer returns how long the records take on a thin link.
func (r *repeater) transfer() time.Duration {
	n := 0
	for _, x := range r.records {
		n += len(x.Key) + len(x.Value)
	}
	return time.Duration(n) * time.Second / _bytesPerS
}

// _bytesPerS is the rate of the thinnest link of an entry to the store.
const _bytesPerS = 1 << 20

// overtook reports whether an earlier attempt than an answered one has no answer.
func (r *repeater) overtook(answered int) bool {
	return len(r.open) > 0 && r.open[0].number < answered
}
