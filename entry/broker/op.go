package broker

import (
	"fmt"
	"time"

	"fescuelanding/entry/keys"
)

// Op is an action that the caller of the broker must carry out: one of
// [Grant], [Refuse], [Journal] and [Repeat].
type Op interface {
	op()
}

// Grant assigns a slot to an entry. Once an entry has reported its holds to a
// broker, it must drop grants of older terms. It must answer any other grant
// with Done. Clocks differ and grants may be delayed, so the message to the
// entry carries a duration instead of Until. The entry measures this duration
// from the time at which it sent the ask.
type Grant struct {
	Request uint64
	Entry   Entry
	Slot    uint64
	Host    string
	Term    uint64
	// Until is when the run must have ended. The slot counts as taken until
	// then.
	Until time.Time
}

// Refuse ends an ask without a run of this attempt.
type Refuse struct {
	Request uint64
	Entry   Entry
	Reason  Reason
	// RetryAfter is how long to wait before a retry; zero means that a retry
	// is of no use.
	RetryAfter time.Duration
	// Permanent means that the request can never run in its present form.
	Permanent bool
}

// Journal requests that a key be appended to the keys stream and read back.
// The slot of the request stays reserved until [Broker.Journaled] is called.
type Journal struct {
	Request uint64
	Key     keys.Key
	Term    uint64
}

// Repeat ends an ask whose key was started before. It carries the outcome of
// that run, and the answer if it is still stored.
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

// Reason is why an ask was refused.
type Reason int

const (
	// ReasonNone is the zero value. It never appears in a Refuse.
	ReasonNone Reason = iota
	// UnknownClass means that the configuration has no such class.
	UnknownClass
	// UnknownTeam means that the configuration has no such team.
	UnknownTeam
	// NoHost means that the pool has no host that serves.
	NoHost
	// Overload means that the expected wait exceeds the time left to start.
	Overload
	// QueueFull means that the queue has reached its bound.
	QueueFull
	// Displaced means that the queue was full and a team with less waiting
	// work for its weight took the place.
	Displaced
	// Expired means that the request could no longer start in time.
	Expired
	// RetryBudget means that the retry budget is used up.
	RetryBudget
	// TriedAll means that earlier attempts used every serving host.
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
	Displaced:       "queue is full, and a team with less waiting work took the place",
	Expired:         "no slot came free in time",
	RetryBudget:     "retry budget is used up",
	TriedAll:        "every serving host was tried",
	FailsEverywhere: "request failed on several hosts",
	KeysUnavailable: "idempotency key could not be journaled",
}

// String returns the text of the reason.
func (r Reason) String() string {
	if s, ok := _reasonTexts[r]; ok {
		return s
	}
	return fmt.Sprintf("reason %d", int(r))
}
