package broker

import (
	"time"

	"fescuelanding/entry/keys"
)

// Entry identifies one process of an entry. A restarted entry has another
// incarnation and doesn't know which runs its previous process left behind.
type Entry struct {
	Name        string
	Incarnation uint64
}

// Ask requests a slot for one attempt of a request. Repeating the ask for a
// request that is queued or granted changes nothing; if it is granted, the
// broker emits the grant again.
type Ask struct {
	// Request identifies the request; all its attempts share it.
	Request uint64
	// Entry is the process that asks and that will hold the slot.
	Entry Entry
	// Service, Class and Team are names from the configuration.
	Service string
	Class   string
	Team    string
	// Key is the idempotency key, or zero.
	Key keys.Key
	// Idempotent means that the request may safely run more than once.
	Idempotent bool
	// Deadline is when the caller stops waiting; the zero time stands for the
	// deadline of the class.
	Deadline time.Time
	// Attempt counts from 1; zero means 1.
	Attempt int
	// Exclude lists the hosts that earlier attempts used.
	Exclude []string
}

// Outcome is how a grant ended.
type Outcome int

const (
	// Lost means that the request was sent and its end isn't known. It may
	// still be running, so the slot stays taken until the hold expires.
	Lost Outcome = iota
	// NotSent means that nothing was sent upstream, for a reason other than a
	// fault of the host.
	NotSent
	// Unreachable means that nothing was sent upstream because no connection
	// to the host could be opened.
	Unreachable
	// Answered means that the upstream's complete answer arrived.
	Answered
	// Failed means that the upstream ended the run with a failure.
	Failed
)

// Result describes the end of a grant.
type Result struct {
	Outcome Outcome
	// Run is how long the attempt took upstream.
	Run time.Duration
	// Answer is stored for repeats of a keyed request.
	Answer []byte
	// Leaving means that the upstream asked for no further requests.
	Leaving bool
}

// JournalResult is the result of a [Journal] op.
type JournalResult int

const (
	// JournalFailed means that the log rejected the key, that the append's
	// result isn't known, or that the batch was void.
	JournalFailed JournalResult = iota
	// JournalStarted means that this broker's batch was read back and started
	// the key.
	JournalStarted
	// JournalDuplicate means that an earlier batch had started the key.
	JournalDuplicate
)

// Hold is a slot that an entry holds, as the entry reports it to a new
// broker.
type Hold struct {
	Slot    uint64
	Request uint64
	Entry   Entry
	Host    string
	Service string
	Class   string
	Team    string
	Key     keys.Key
	// Term is the term of the broker that granted the slot.
	Term uint64
	// Until is when the run must have ended.
	Until time.Time
	// Lost means that the run's end will not be reported.
	Lost bool
}

// Host is a host of the pool.
type Host struct {
	Name       string
	Rack       string
	DataCentre string
	Slots      int
	// State says whether the host accepts new requests.
	State HostState
}

// HostState says whether a host accepts new requests.
type HostState int

const (
	// Stopped hosts accept no new requests.
	Stopped HostState = iota
	// Serving hosts accept new requests.
	Serving
)

// Class is a class of requests.
type Class struct {
	Name string
	// Urgency is the priority of the class.
	Urgency Urgency
	// StartWithin bounds the wait for a slot; zero means that only the
	// deadline bounds it.
	StartWithin time.Duration
	// Deadline applies to requests without a deadline of their own.
	Deadline time.Duration
	// MaxRun bounds the run time of an attempt; zero stands for one hour.
	MaxRun time.Duration
}

// Urgency is the priority of a class.
type Urgency int

const (
	// Relaxed requests never hold the slots that urgent requests need.
	Relaxed Urgency = iota
	// Urgent requests are granted before relaxed ones.
	Urgent
)

// Team is a team that shares the pool with others.
type Team struct {
	Name string
	// Weight is the team's share relative to the other waiting teams; zero
	// means 1.
	Weight int
	// Quota bounds the slots that the team holds in this pool; zero means no
	// bound.
	Quota int
}

// Limits is the configuration of the requests of a pool.
type Limits struct {
	// Classes lists the accepted classes. The longest MaxRun among them
	// bounds how long a takeover waits for an entry that doesn't report.
	Classes []Class
	// Teams lists the accepted teams. If it is empty, requests of any team
	// are accepted and count as one team.
	Teams []Team
	// Services lists the services of the pool. A new broker has observed no
	// burst of urgent requests. It reserves slots for one if any service is
	// in an urgent class, or if the list is empty, because the services are
	// then unknown.
	Services []Service
	// MinAvailable is the number of hosts that must keep serving despite
	// ejections.
	MinAvailable int
}

// Service is a service of the pool with the default class of its requests.
type Service struct {
	Name  string
	Class string
}

// Takeover makes this process the broker of the pool.
type Takeover struct {
	// Term is the offset at which the pool's owner last changed.
	Term uint64
	// Owner is this process.
	Owner Entry
	// Expected lists the processes of entries that must report their holds
	// before slots count as free: the registered ones, and those that were
	// lost or replaced so recently that their requests may still run.
	Expected []Entry
	// Staleness is how long a former broker that hasn't learned of this
	// takeover may continue to grant slots.
	Staleness time.Duration
}
