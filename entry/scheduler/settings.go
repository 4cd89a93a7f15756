package scheduler

import "time"

// Settings of a scheduler.
type Settings struct {
	Pool string
	// Token is higher than that of any earlier owner of the pool.
	Token int64
	// HoldMax is the longest lease that upstreams grant; zero for no limit.
	MaxLease time.Duration
	// Status is how long the state of an ended job is known.
	StatusRetention time.Duration
	// StopTimeout is how long a stop takes at most.
	StopTimeout time.Duration
	// RemoteFactor is how many times longer a task takes off its rack.
	RemoteFactor float64
}

const (
	// _lease is how long a task outlives its owner. It covers the takeover by
	// another entry, and bounds how long a cut upstream keeps a task.
	_lease = 4500 * time.Millisecond
	// _lookWait is the longest wait for an end; two looks fit into a lease.
	_lookWait = 1500 * time.Millisecond
	// _slowClock is the rate of the slowest clock of an upstream.
	_slowClock = 0.98
	// _lapseMargin covers the upstream's own delay in ending lapsed tasks.
	_lapseMargin = 200 * time.Millisecond
	// _storeSilence is how long an owner goes on without the store. A later
	// owner waits as long for upstreams that it can't reach.
	_storeSilence = 6 * time.Second
	// _unheard is when an upstream that a former owner used, and nobody can
	// reach, surely runs nothing any more.
	_unheard = _storeSilence + _lease + _lease/20 + _lapseMargin
	// _retryLook is the pause after a look that failed, longer with each, up to
	// _maxRetryLook.
	_retryLook    = 150 * time.Millisecond
	_maxRetryLook = time.Second
	// _stopMargin covers the way of a former owner's last order to an upstream.
	_stopMargin = 100 * time.Millisecond
	// _retryStop is the pause after a stop that failed.
	_retryStop = 200 * time.Millisecond
	// _ackLater is how long ends that nothing waits for stay unacknowledged.
	_ackLater = 400 * time.Millisecond
	// _acceptDelay and _endDelay are how long a batch of the journal waits for
	// more records: an accept is waited for, an end frees room elsewhere.
	_acceptDelay = 3 * time.Millisecond
	_endDelay    = 15 * time.Millisecond
	// _journalSilence is when accepts are refused, as an append is unanswered.
	_journalSilence = 400 * time.Millisecond
	// _vacateLease ends a vacation that the planner doesn't renew.
	_vacateLease = 5 * time.Second
	// _maxBatch is below what one append may carry, in bytes.
	_maxBatch = 512 << 10
)
