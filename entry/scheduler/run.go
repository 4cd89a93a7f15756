package scheduler

import "time"

// runState is the state of a run.
type runState uint8

const (
	// runOrdered: the start hasn't been answered.
	runOrdered runState = iota
	// runUnconfirmed: the start failed without an answer and may still be carried
	// out.
	runUnconfirmed
	// runRunning: the upstream has the run.
	runRunning
	// runStopping: a stop has been requested.
	runStopping
)

// _runStates is the number of run states.
const _runStates = int(runStopping) + 1

// String returns the name of the state, for the log.
func (v runState) String() string {
	return [_runStates]string{"ordered", "unconfirmed", "running", "stopping"}[v]
}

// setState changes the state of a run.
func (r *run) setState(v runState) {
	r.host.touch()
	r.host.count(r.state, -1)
	r.state = v
	r.host.count(v, 1)
}

// run is one start of a task.
type run struct {
	task   *task
	host   *host
	number int64
	// checkpoint is the one that the run resumes from.
	checkpoint string
	state      runState
	location   location
	// ordered is when the start was sent, and started when the upstream confirmed
	// it.
	ordered time.Time
	started time.Time
	// adoptedAt is when a run that this owner didn't start was found. It is reset
	// once the run has been listed for longer than a stop takes, because a former
	// owner may have stopped it.
	adoptedAt time.Time
	// deadlineMs is the upstream's clock from which it rejects all starts that were sent for the run, in any
	// incarnation. repeated is set once the start was sent again, because it had no answer.
	deadlineMs int64
	repeated   bool
	// stopped is when a stop was confirmed; zero before.
	stopped time.Time
	// stopDue is when a stop is to be sent, or was sent last if stopSent is set.
	stopSent bool
	stopDue  time.Time
	// stopTried is set once a stop may have been sent. A keepable run goes on if its stop
	// wasn't: it was stopped only to move the task.
	stopTried bool
	keepable  bool
	// percent is the reported progress; -1 before the first report.
	percent      int
	progressedAt time.Time
	baseline     baseline
	// trial is how long the run has to last until anything else starts on its upstream.
	trial time.Duration
	// reclaimed is set if the run was placed on an upstream that is being vacated.
	reclaimed bool
	// held is set while the start isn't sent, because the journal doesn't have it yet. heldBatch
	// is the batch that has it.
	held      bool
	heldBatch int64
	// unticketed is set while the start is held because its ticket has lapsed meanwhile.
	unticketed bool
	// unproven is set while the start is held because the ownership isn't proven any more.
	unproven bool
	// inherited is set for a run that a former owner recorded, until it is listed.
	inherited bool
	// crashCounted is set once a crash was counted against the run. The run may still be kept, if
	// its start may reach the next incarnation.
	crashCounted bool
	// startClockMs is the upstream's clock at the answer to the start, or when the run was first
	// listed, and survived how long the upstream is known to have lived on since.
	startClockMs int64
	survived     time.Duration
	// gauge is the reported tail latency, in milliseconds.
	gauge int64
	// pace is the speed limit in percent, or _paceUnknown.
	pace int
}
