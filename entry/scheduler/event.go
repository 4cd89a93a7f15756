package scheduler

import (
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/fleet/permit"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// Event is an input of the scheduler: a request, the answer to an Op, or a change
// outside.
type Event interface{ event() }

// Ref identifies a request, so that its Reply reaches the caller. Zero means that
// no reply is wanted.
type Ref uint64

// Configured carries the queues that feed the pool, those that feed other pools, and all workspaces. They
// replace the former ones.
type Configured struct {
	Version     int64
	Queues      []platform.Queue
	OtherQueues []platform.Queue
	Workspaces  []platform.Workspace
	// Pools are all pools that have owners.
	Pools []string
}

// Loaded carries the state that former owners appended to the journal.
type Loaded struct {
	Jobs     []*work.Job
	Progress map[string]*work.Progress
	// Hosts are the upstreams that former owners used.
	Hosts []platform.Upstream
	// Learned is nil if no former owner appended it.
	Learned *work.Learned
	// Homes are the records of routes, as they were read after the former owners were fenced off.
	Homes map[string]*work.Home
}

// Listed carries all upstreams of the pool in the platform's list.
type Listed struct{ Upstreams []platform.Upstream }

// Submitted is a caller's request to run a job.
type Submitted struct {
	Ref Ref
	Job *work.Job
	// AnswerBy is when the request ends without an answer; zero for no limit.
	AnswerBy time.Time
	// Version is that of the configuration by which the pool was selected.
	Version int64
}

// StateRequested is a caller's request for the state of a job.
type StateRequested struct {
	Ref Ref
	ID  string
	// Workspace is the caller's. A job of another workspace doesn't exist for the caller.
	Workspace string
}

// PendingRequested is a caller's request for the number of accepted jobs of a
// queue that haven't begun.
type PendingRequested struct {
	Ref   Ref
	Queue string
}

// CancelRequested is a caller's request to cancel a job.
type CancelRequested struct {
	Ref Ref
	ID  string
	// Workspace is the caller's, as in StateRequested.
	Workspace string
	// InAdvance has the cancellation recorded if there is no such job, so that the job never runs
	// if it is submitted later.
	InAdvance bool
}

// LoadRequested is the planner's request for the pool's load. It also carries the
// planner's current plan.
type LoadRequested struct {
	Ref Ref
	// Token is the planner's fencing token. Requests with a lower token than one
	// seen before are rejected.
	Token int64
	// Sequence increases with each request of a planner. Reordered requests are
	// rejected.
	Sequence int64
	// Ahead is how long it takes until a host that is ordered now serves the pool.
	Ahead time.Duration
	// Arrivals is the capacity that will join the pool.
	Arrivals []*link.Arrival
	// Vacate lists the upstreams to drain. All others may be used.
	Vacate []string
	// Evict lists those of Vacate on which also tasks that end by themselves are stopped.
	Evict []string
	// Reclaimable lists those of Vacate whose hosts the planner doesn't order before this owner
	// reports them vacant.
	Reclaimable []string
	// Due lists the upstreams whose hosts will be taken down for a wave.
	Due []string
	// Gone lists the upstream incarnations that have ended.
	Gone []*link.Gone
	// Shares is what the pool may have running of each workspace with a limit. They are for
	// the owner with the token SharesOwner and answer its report SharesReport. A SharesOwner
	// of zero means that the request says nothing about shares.
	Shares                    []*link.Share
	SharesOwner, SharesReport int64
}

// Polled is the answer to a Poll.
type Polled struct {
	Host string
	// Concurrent is copied from the Poll.
	Concurrent bool
	// Wait is how long the Poll was to wait for a run to end.
	Wait time.Duration
	// Sent is when the Poll was sent. The answer shows nothing about runs that
	// were started or stopped later.
	Sent   time.Time
	Result platform.UpstreamStatus
	// Err wraps context.DeadlineExceeded if there was no answer in time, and
	// platform.ErrExpired if the Poll's permit expired before it was sent.
	Err error
}

// Ordered is the answer to a Start, a Stop or a Pace.
type Ordered struct {
	Op Op
	// ClockMs is the upstream's clock in the answer, in milliseconds; zero if
	// there was none.
	ClockMs int64
	// Err wraps context.DeadlineExceeded if there was no answer in time,
	// platform.ErrNotSent if the order wasn't sent, and platform.ErrExpired besides if that
	// was because its permit had expired.
	Err error
}

// Appended is the answer to an Append.
type Appended struct {
	Batch int64
	// Took is how long the store took for the attempt that it answered.
	Took time.Duration
	Err  error
}

// Advised is the answer to an Advise.
type Advised struct {
	// Step and Hosts are copied from the Advise.
	Step    string
	Tickets platform.Tickets
	Hosts   []string
	Err     error
}

// OwnershipConfirmed reports that the group, in some generation, assigned the pool to this entry
// at some time.
type OwnershipConfirmed struct {
	At         time.Time
	Generation int64
}

// ReleaseRequested is the request of another pool's owner to release routes that feed its pool from a version of
// the configuration on. The reply lists the jobs that this pool has of them.
type ReleaseRequested struct {
	Ref     Ref
	Routes  []string
	Queues  []string
	Version int64
	// After is the ID after which the list begins.
	After string
}

// HomesFound is the answer to a FindHomes: the records of its routes.
type HomesFound struct{ Homes map[string]*work.Home }

// PoolReleased is the answer to a RequestRelease.
type PoolReleased struct {
	Pool   string
	Answer *link.Answer
}

// Suspended reports that the process was suspended for some time that the steady clock
// doesn't count. It is sent before any other event after that.
type Suspended struct{ For time.Duration }

// Woken reports only that time has passed. It is sent at the time that Next
// returns.
type Woken struct{}

func (Configured) event()         {}
func (Loaded) event()             {}
func (Listed) event()             {}
func (Submitted) event()          {}
func (StateRequested) event()     {}
func (PendingRequested) event()   {}
func (CancelRequested) event()    {}
func (LoadRequested) event()      {}
func (Polled) event()             {}
func (Ordered) event()            {}
func (Appended) event()           {}
func (Advised) event()            {}
func (OwnershipConfirmed) event() {}
func (ReleaseRequested) event()   {}
func (HomesFound) event()         {}
func (PoolReleased) event()       {}
func (Suspended) event()          {}
func (Woken) event()              {}

// Op is an action that the scheduler's owner has to carry out.
type Op interface{ op() }

// The permit of an op to an upstream limits how late it may be sent. It reflects what the
// decision relied on: the ownership of the pool, and the state of upstream and tasks.

// Start starts a run on an upstream. Host is the upstream's ID, as in the other
// ops and events.
type Start struct {
	Host string
	// At is when it was decided on.
	At     time.Time
	Target platform.Target
	Order  platform.Start
	Permit permit.Permit
	// Timeout is how long the answer may take, here and in the other ops.
	Timeout time.Duration
}

// Stop stops a run.
type Stop struct {
	Host string
	// At is when it was decided on.
	At      time.Time
	Target  platform.Target
	Task    string
	Run     int64
	Token   int64
	Permit  permit.Permit
	Timeout time.Duration
}

// Pace sets the speed limit of a run, in percent of its full speed.
type Pace struct {
	Host    string
	Target  platform.Target
	Task    string
	Run     int64
	Token   int64
	Percent int
	Permit  permit.Permit
	Timeout time.Duration
}

// Poll renews the leases of an upstream's runs and lists its running and ended
// runs.
type Poll struct {
	Host string
	// Concurrent is set if an earlier poll of the upstream is still waiting for a
	// run to end.
	Concurrent bool
	Target     platform.Target
	Hold       platform.Hold
	Permit     permit.Permit
	// Timeout includes the time that the Hold waits.
	Timeout time.Duration
}

// Append adds records to the pool's journal. Batches are sent one at a time, each
// once the outcome of the previous one is known.
type Append struct {
	Batch   int64
	Records []platform.Record
}

// Advise requests the queue policy's tickets for running a step on some
// upstreams.
type Advise struct {
	Step  string
	Hosts []string
	// Takes is how long the policy takes for its answer by the queue's configuration.
	Takes time.Duration
}

// FindHomes reads the records of the routes of some queues, and writes those that a version of the
// configuration changes (UpdateHomes). It is repeated until it succeeds.
type FindHomes struct {
	Version int64
	Queues  []platform.Queue
}

// RequestRelease asks the owner of another pool to release routes, as a ReleaseRequested.
type RequestRelease struct {
	Pool    string
	Routes  []string
	Queues  []string
	Version int64
	After   string
}

// Reply answers the request of a Ref.
type Reply struct {
	Ref    Ref
	Answer *link.Answer
}

// Note is a log line about a decision or a change of state.
type Note struct {
	// What is the message, a short sentence.
	What string
	// Job is the ID of the job that the line is about, or empty.
	Job string
	// Pairs are alternating keys and values: the inputs of the decision, their
	// age or version, and the outcome.
	Pairs []any
}

// Count adds one to the jobs of a queue and workspace that were decided on in a way.
type Count struct {
	Queue string
	// Workspace is empty if it isn't configured.
	Workspace string
	// What is "accepted", "acceptedLate", "acceptedSurplus" or "refused", or how an accepted
	// job ended: "onTime", "late", "tooLate", "cancelled" or "failed".
	What string
}

// CountGivenUp counts runs that were given up although their ends weren't read.
type CountGivenUp struct {
	// Why is one of a few fixed texts.
	Why  string
	Runs int
}

// CountCrash counts an upstream that crashed, and the runs that were lost with it.
type CountCrash struct{ Runs int }

// CountStop counts a stop that is sent, for the first time or again.
type CountStop struct {
	// Why is one of a few fixed texts.
	Why string
}

func (Start) op()          {}
func (Stop) op()           {}
func (Pace) op()           {}
func (Poll) op()           {}
func (Append) op()         {}
func (Advise) op()         {}
func (FindHomes) op()      {}
func (RequestRelease) op() {}
func (Reply) op()          {}
func (Note) op()           {}
func (Count) op()          {}
func (CountCrash) op()     {}
func (CountGivenUp) op()   {}
func (CountStop) op()      {}
