package broker

import (
	"time"

	"fescuelanding/entry/keys"
)

// Entry names one process of an entry. A restarted entry is another one: it
// knows nothing about what its former process may still have running.
type Entry struct {
	Name        string
	Incarnation uint64
}

// Ask asks for a slot for one attempt of a request. Asking again for a request
// that is queued or granted changes nothing and repeats the grant.
type Ask struct {
	// Request identifies the request; its attempts share it.
	Request uint64
	// Entry is the process that asks and that will hold the slot.
	Entry Entry
	// Service, Class and Team are names of the configuration.
	Service string
	Class   string
	Team    string
	// Key is the idempotency key, or zero.
	Key keys.Key
	// Idempotent means that a second run does no harm.
	Idempotent bool
	// Deadline is when the caller stops waiting; zero takes the class's.
	Deadline time.Time
	// Attempt counts from 1; zero means 1.
	Attempt int
	// Exclude names the hosts that earlier attempts went to.
	Exclude []string
}

// Outcome is how a grant ended.
type Outcome int

const (
	// Lost means that the request was sent and its end isn't known: it may
	// still be running, so the slot stays taken until the hold expires.
	Lost Outcome = iota
	// NotSent means that nothing was written upstream, for no fault of the host.
	NotSent
	// Unreachable means that nothing was written upstream because no
	// connection to the host could be had.
	Unreachable
	// Answered means that the upstream's whole answer came.
	Answered
	// Failed means that the upstream ended the run with a failure.
	Failed
)

// Result is how a grant ended.
type Result struct {
	Outcome Outcome
	// Run is how long the attempt took upstream.
	Run time.Duration
	// Answer is kept for repeats of a keyed request.
	Answer []byte
	// Leaving means that the upstream asked for no further requests.
	Leaving bool
}

// JournalResult is what became of a key that the broker wanted journaled.
type JournalResult int

const (
	// JournalFailed means that the log didn't take the key, or that it isn't
	// known whether it did, or that the batch was void.
	JournalFailed JournalResult = iota
	// JournalStarted means that this broker's batch was read back and started
	// the key.
	JournalStarted
	// JournalDuplicate means that an earlier batch had started the key.
	JournalDuplicate
)

// Hold is a slot that an entry holds, as it reports it to a new broker.
type Hold struct {
	Slot    uint64
	Request uint64
	Entry   Entry
	Host    string
	Service string
	Class   string
	Team    string
	Key     keys.Key
	// Term is the term of the broker that granted it.
	Term uint64
	// Until is when the run has ended at the latest.
	Until time.Time
	// Lost means that nobody waits for the run's end any more.
	Lost bool
}

// Host is a host of the pool.
type Host struct {
	Name       string
	Rack       string
	DataCentre string
	Slots      int
	// Duty says whether the host takes new work.
	State HostState
}

// Duty says whether a host takes new work.
type HostState int

const (
	// Stopped hosts take no new work.
	Stopped HostState = iota
	// Serving hosts take new work.
	Serving
)

// Class is a class of requests.
type Class struct {
	Name string
	// Urgency orders the class before or behind others.
	Urgency Urgency
	// StartWithin bounds the wait for a slot; zero leaves it to the deadline.
	StartWithin time.Duration
	// Deadline holds for requests that bring none.
	Deadline time.Duration
	// MaxRun bounds the run of an attempt; zero takes the default of an hour.
	MaxRun time.Duration
}

// Urgency orders classes.
type Urgency int

const (
	// Relaxed work never holds the slots that urgent work needs.
	Relaxed Urgency = iota
	// Urgent work goes first.
	Urgent
)

// Team is a team with its share of the pool.
type Team struct {
	Name string
	// Weight is the team's share among those that wait; zero means 1.
	Weight int
	// Quota bounds the slots that the team holds in this pool; zero is no bound.
	Quota int
}

// Limits is what the configuration says about a pool's requests.
type Limits struct {
	// Classes that may ask. The longest MaxRun among them bounds how long a
	// takeover waits for an entry that doesn't report.
	Classes []Class
	// Teams that may ask. None at all means that anybody may, as one team.
	Teams []Team
	// Services of the pool. A broker that hasn't seen a burst yet expects one
	// unless none of them is in an urgent class; none at all means unknown.
	Services []Service
	// MinAvailable is the number of hosts that ejection leaves serving.
	MinAvailable int
}

// Service is a service of the pool with the class its requests are in unless
// they say otherwise.
type Service struct {
	Name  string
	Class string
}

// Takeover says that this process is the pool's broker from now on.
type Takeover struct {
	// Term is the offset at which the pool's owner last changed.
	Term uint64
	// Owner is this process.
	Owner Entry
	// Expected are the processes of entries that must report their holds before
	// slots are free: those that are registered, and those that were lost or
	// replaced so lately that their runs may go on.
	Expected []Entry
	// Staleness is how long a former broker may go on granting after this
	// takeover without having heard of it.
	Staleness time.Duration
}
