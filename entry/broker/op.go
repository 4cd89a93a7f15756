package broker

import (
	"fmt"
	"time"

	"fescuelanding/entry/keys"
)

// Op is something the caller of the broker has to do: one of [Grant],
// [Refuse], [Journal] and [Repeat].
type Op interface {
	op()
}

// Grant hands a slot to an entry. An entry must drop a grant whose term is
// older than one it has reported to, and answer every other with Done. As
// clocks differ and grants may be late, the wire carries the time from the ask
// until Until, and the entry counts it from when it sent the ask.
type Grant struct {
	Request uint64
	Entry   Entry
	Slot    uint64
	Host    string
	Term    uint64
	// Until is when the run must have ended; the slot counts as taken so long.
	Until time.Time
}

// Refuse ends an ask: this attempt doesn't run.
type Refuse struct {
	Request uint64
	Entry   Entry
	Reason  Reason
	// RetryAfter is when coming back helps; zero where it doesn't.
	RetryAfter time.Duration
	// Never means that the request can't ever run as it is.
	Permanent bool
}

// Journal asks for a key to be written to the keys stream and read back. The
// request's slot is reserved until [Broker.Journaled] is called.
type Journal struct {
	Request uint64
	Key     keys.Key
	Term    uint64
}

// Repeat ends an ask whose key was started before: the outcome of that run,
// and its answer where it is still known.
type Repeat struct {
	Request uint64
	Entry   Entry
	Outcome keys.Outcome
	Answer  []byte
}

func (Grant) op()   {}
func (Refuse) op()  {}
func (Journal) op() {}
func (Repeat) op()  {}

// Reason says why an ask was refused.
type Reason int

const (
	// ReasonNone is the zero value and never given.
	ReasonNone Reason = iota
	// UnknownClass means that the configuration has no such class.
	UnknownClass
	// UnknownTeam means that the configuration has no such team.
	UnknownTeam
	// NoHost means that the pool has no host, or none that serves.
	NoHost
	// Overload means that the expected wait is longer than the time left.
	Overload
	// QueueFull means that the queue has reached its bound.
	QueueFull
	// Displaced means that a team below its share needed the place.
	Displaced
	// Expired means that the request waited until it was too late to start.
	Expired
	// RetryBudget means that there were too many retries lately.
	RetryBudget
	// TriedAll means that every host that serves was tried.
	TriedAll
	// FailsEverywhere means that the request failed on several hosts.
	FailsEverywhere
	// KeysUnavailable means that the key couldn't be journaled.
	KeysUnavailable
)

var _reasonTexts = map[Reason]string{
	UnknownClass:    "unknown class",
	UnknownTeam:     "unknown team",
	NoHost:          "no host serves in the pool",
	Overload:        "expected wait is longer than the time left",
	QueueFull:       "queue is full",
	Displaced:       "a team below its share took the place in the queue",
	Expired:         "no slot came free in time",
	RetryBudget:     "too many retries lately",
	TriedAll:        "every serving host was tried",
	FailsEverywhere: "request failed on several hosts",
	KeysUnavailable: "idempotency key could not be journaled",
}

// String returns the reason in a few words.
func (r Reason) String() string {
	if s, ok := _reasonTexts[r]; ok {
		return s
	}
	return fmt.Sprintf("reason %d", int(r))
}
