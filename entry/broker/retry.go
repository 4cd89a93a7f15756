package broker

import (
	"slices"
	"time"
)

const (
	// _retryShare is the number of retries allowed per first attempt.
	_retryShare = 0.1
	// _retryBurst bounds the unused retries that accumulate.
	_retryBurst = 10.0
	// Once a request has failed on _requestFaultHosts hosts, its failures
	// count as the fault of the request and not of the hosts. Once it has
	// failed on _maxFailedHosts hosts, it is refused permanently.
	_requestFaultHosts = 2
	_maxFailedHosts    = 3
	_faultRetention    = 2 * time.Minute
	_maxFaults         = 10_000
)

// retries is the retry budget, a token bucket.
type retries struct {
	tokens float64
}

// allow reports whether the attempt is within the budget, and counts it.
func (t *retries) allow(r *request) bool {
	if !r.retry() {
		t.tokens = min(t.tokens+_retryShare, _retryBurst)
		return true
	}
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// faults records on which hosts a request failed recently.
type faults struct {
	byRequest map[uint64][]string
	order     []fault
}

type fault struct {
	request uint64
	at      time.Time
}

// add records a failure and returns the hosts on which the request has
// failed.
func (f *faults) add(now time.Time, request uint64, host string) []string {
	if f.byRequest == nil {
		f.byRequest = make(map[uint64][]string)
	}
	hs := f.byRequest[request]
	if slices.Contains(hs, host) {
		return hs
	}
	if hs == nil {
		f.order = append(f.order, fault{request: request, at: now})
	}
	hs = append(hs, host)
	f.byRequest[request] = hs
	if len(f.order) > _maxFaults {
		f.dropOldest()
	}
	return hs
}

func (f *faults) dropOldest() {
	delete(f.byRequest, f.order[0].request)
	f.order = f.order[1:]
}

func (f *faults) expire(now time.Time) {
	for len(f.order) > 0 && now.Sub(f.order[0].at) > _faultRetention {
		f.dropOldest()
	}
}

// failedEverywhere reports whether a request has failed on too many hosts to
// be retried.
func (f *faults) failedEverywhere(request uint64) bool {
	return len(f.byRequest[request]) >= _maxFailedHosts
}

// recordOutcome updates the run times and the host's health with the outcome
// of a hold. Failures of one request on several hosts count as the fault of
// the request.
func (b *Broker) recordOutcome(now time.Time, h *hold, res Result) {
	k := b.hosts.byName[h.Host]
	switch res.Outcome {
	case NotSent:
		return
	case Answered:
		if h.class != nil {
			h.class.runTimes.add(h.Service, res.Run)
			b.demand.addCompleted(now, h.class, res.Run)
		}
		if k != nil {
			k.health.recordSuccess()
		}
		return
	case Unreachable:
		if k != nil {
			b.hosts.recordFailure(now, k)
		}
		return
	case Lost, Failed:
	}
	hs := b.faults.add(now, h.Request, h.Host)
	if len(hs) < _requestFaultHosts {
		if k != nil {
			b.hosts.recordFailure(now, k)
		}
		return
	}
	if len(hs) == _requestFaultHosts {
		b.undoFailure(hs[0])
	}
}

// undoFailure reverses the failure that was counted against the first host.
func (b *Broker) undoFailure(host string) {
	if k := b.hosts.byName[host]; k != nil {
		k.health.undoFailure()
	}
}
