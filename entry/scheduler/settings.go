package scheduler

import (
	"cmp"
	"time"
)

// Settings configures a Scheduler.
type Settings struct {
	// Pool is the name of the pool.
	Pool string
	// Token is the owner's fencing token. It is higher than that of any earlier
	// owner of the pool.
	Token int64
	// MaxLease is the longest lease that upstreams grant; zero means no limit.
	MaxLease time.Duration
	// StatusRetention is how long the state of an ended job is kept.
	StatusRetention time.Duration
	// StopTimeout is the longest time that an upstream takes to stop a run.
	StopTimeout time.Duration
	// RemoteFactor is how many times longer a task takes on another rack than
	// that of its data.
	RemoteFactor float64
	// RecordBytes and CallBytes are the store's limits for a record and for an append, in bytes; zero
	// selects a default.
	RecordBytes int
	CallBytes   int
	// AcceptLate accepts jobs that will be late, but within _maxLateness times their
	// objective, behind all that can be on time. Without it they are accepted only if they can
	// run at once.
	AcceptLate bool
	// TrackHomes has jobs accepted only on routes whose home is this pool. Without it, no route may ever
	// feed another pool.
	TrackHomes bool
}

// recordBytes returns the limit for a record, which is never above that for an append.
func (v Settings) recordBytes() int {
	return min(cmp.Or(max(0, v.RecordBytes), _defaultRecordBytes), v.callBytes())
}

// MaxJobBytes returns the size limit of a job, given the store's limits for a record and for an append,
// all in bytes. A limit of zero selects a default.
func MaxJobBytes(record, call int) int {
	return Settings{RecordBytes: record, CallBytes: call}.recordBytes() - _maxStateBytes
}

func (v Settings) callBytes() int { return cmp.Or(max(0, v.CallBytes), _defaultCallBytes) }

const (
	// _lease is how long a task keeps running without renewal. It covers the
	// takeover by another entry, and bounds how long a partitioned upstream keeps
	// a task.
	_lease = 4500 * time.Millisecond
	// _pollWait is the longest time that a poll waits for a run to end. Two polls
	// fit into a lease.
	_pollWait = 1500 * time.Millisecond
	// _slowestClockRate is the rate of an upstream's clock in the worst case,
	// relative to this entry's.
	_slowestClockRate = 0.98
	// _leaseLapseMargin covers the delay with which an upstream stops tasks whose
	// lease has lapsed.
	_leaseLapseMargin = 200 * time.Millisecond
	// _storeTimeout is how long an owner keeps starting tasks and renewing leases
	// without confirmation from the store. A later owner waits for an unreachable
	// upstream this long and for the last lease to lapse (_formerOwnerTimeout).
	_storeTimeout = 6 * time.Second
	// _formerOwnerTimeout is the time after which an unreachable upstream can no
	// longer run anything for a former owner. It includes 5 % of the lease for
	// slow clocks.
	_formerOwnerTimeout = _storeTimeout + _lease + _lease/20 + _leaseLapseMargin
	// _orderLife is how old an order or a poll may be when it is sent. Later, tasks may have
	// ended or become unavailable, and the decision is made anew.
	_orderLife = 300 * time.Millisecond
	// _orderTimeout is how long an order may be without an answer. Answers take milliseconds,
	// and a lost packet is retransmitted within a quarter of a second. _pollTimeout is the
	// same for a poll, beyond the time that it waits for a run to end.
	_orderTimeout = 500 * time.Millisecond
	_pollTimeout  = 600 * time.Millisecond
	// _pollRetryDelay is the pause after a failed poll. It grows linearly with
	// each failure in a row, up to _maxPollRetryDelay.
	_pollRetryDelay    = 150 * time.Millisecond
	_maxPollRetryDelay = time.Second
	// _stopMargin covers the delivery of the last stop that a former owner sent
	// to an upstream.
	_stopMargin = 100 * time.Millisecond
	// _stopRetryDelay is the pause after a failed stop.
	_stopRetryDelay = 200 * time.Millisecond
	// _idleAckDelay is how long the ends listed by an idle upstream stay
	// unacknowledged. Nothing waits for their acknowledgement.
	_idleAckDelay = 400 * time.Millisecond
	// _acceptDelay, _endDelay and _deletionDelay are how long a journal batch is held
	// back to collect more records. The delay is shorter for an accept because a caller
	// waits for it; an end has already freed its capacity, and only a later owner
	// benefits from a deletion.
	_acceptDelay   = 3 * time.Millisecond
	_endDelay      = 15 * time.Millisecond
	_deletionDelay = time.Second
	// _vacateLease is how long an upstream stays drained after the planner's last
	// request to vacate it.
	_vacateLease = 5 * time.Second
	// _defaultRecordBytes and _defaultCallBytes apply if the settings have no limits of the store.
	_defaultRecordBytes = 256 << 10
	_defaultCallBytes   = 2 << 20
	// _maxJobBytes limits the size of the job records in a batch.
	_maxJobBytes = 512 << 10
)
