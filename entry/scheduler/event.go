package scheduler

import (
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// Event is something that the scheduler learns.
type Event interface{ event() }

// Ref names a question, so that its Reply finds who asked.
type Ref uint64

// Configured says which queues feed the pool.
type Configured struct{ Queues []platform.Queue }

// Loaded brings what former owners appended.
type Loaded struct {
	Jobs     []*work.Job
	Progress map[string]*work.Progress
	// Hosts are upstreams that a former owner gave work to.
	Hosts []platform.Upstream
	// Learned is nil where no former owner appended it.
	Learned *work.Learned
}

// Listed is the pool's part of the platform's list of upstreams.
type Listed struct{ Upstreams []platform.Upstream }

// Submitted is a job that a caller hands in.
type Submitted struct {
	Ref Ref
	Job *work.Job
}

// Asked is a caller's question after a job.
type StateRequested struct {
	Ref Ref
	ID  string
}

// Counted is a caller's question after a queue.
type PendingRequested struct {
	Ref   Ref
	Queue string
}

// Cancelled is a caller's wish that a job ends.
type CancelRequested struct {
	Ref Ref
	ID  string
}

// Measured is the planner's question after the load, with what it plans.
type LoadRequested struct {
	Ref Ref
	// Token of the planner; what an earlier one plans is void.
	Token int64
	// Sequence rises with each question of a planner; one that was overtaken is
	// void.
	Sequence int64
	// Arrivals are room that will join.
	Arrivals []*link.Arrival
	// Vacate are upstreams on which nothing is to be left running; all others
	// may be used.
	Vacate []string
	// Due are upstreams whose hosts will be taken down for a wave.
	Due []string
	// Gone are upstreams whose lives have ended.
	Gone []*link.Gone
}

// Looked is the answer to a Look.
type Polled struct {
	Host string
	// Peek is that of the Look.
	Concurrent bool
	Sent       time.Time
	Result     platform.Look
	Err        error
}

// Ordered is the answer to a Start or a Stop.
type Ordered struct {
	Op      Op
	ClockMs int64
	Err     error
}

// Appended is the answer to an Append.
type Appended struct {
	Batch int64
	Err   error
}

// Advised is the answer to an Advise.
type Advised struct {
	Step    string
	Tickets platform.Tickets
	Hosts   []string
	Err     error
}

// StoreSeen says when the store last confirmed that the pool is owned.
type OwnershipConfirmed struct{ At time.Time }

// Woken says only that time has passed.
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
func (Woken) event()              {}

// Op is something that the scheduler wants done.
type Op interface{ op() }

// Start orders a run. Host, Task and Run name it in the answer.
type Start struct {
	Host   string
	Target platform.Target
	Order  platform.Start
}

// Stop ends a run.
type Stop struct {
	Host   string
	Target platform.Target
	Task   string
	Run    int64
	Token  int64
}

// Pace sets the share at which a run may work.
type Pace struct {
	Host    string
	Target  platform.Target
	Task    string
	Run     int64
	Token   int64
	Percent int
}

// Look extends leases and looks at an upstream.
type Poll struct {
	Host string
	// Peek is set for a look beside one that still waits for an end.
	Concurrent bool
	Target     platform.Target
	Hold       platform.Hold
}

// Append adds records to the pool's journal. Batches are appended in order,
// each until its outcome is known.
type Append struct {
	Batch   int64
	Records []platform.Record
}

// Advise asks which upstreams may run a step.
type Advise struct {
	Step  string
	Hosts []string
}

// Reply answers a question.
type Reply struct {
	Ref    Ref
	Answer *link.Answer
}

// Note is a decision or change of belief worth a line in the log.
type Note struct {
	// What happened, in a few words.
	What string
	// Job is the request that it touches; empty where there is none.
	Job string
	// Pairs of name and value: the inputs, their age or version, the outcome.
	Pairs []any
}

func (Start) op()  {}
func (Stop) op()   {}
func (Pace) op()   {}
func (Poll) op()   {}
func (Append) op() {}
func (Advise) op() {}
func (Reply) op()  {}
func (Note) op()   {}
