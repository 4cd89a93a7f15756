package fleet

import "fmt"

// Reason says why a record was rejected.
type Reason int

// The reasons of a rejection.
const (
	_ Reason = iota
	// ReasonMalformed means that a field of the record is missing or invalid.
	ReasonMalformed
	// ReasonDuplicate means that a record with this id was applied before; its
	// first outcome stands.
	ReasonDuplicate
	// ReasonStaleBasis means that the object changed after the writer had read it.
	ReasonStaleBasis
	// ReasonStaleTerm means that the writer is no longer the planner.
	ReasonStaleTerm
	// ReasonStaleStep means that no step in a confirmation waits for the entry.
	ReasonStaleStep
	// ReasonUnknownHost means that the configuration has no such host.
	ReasonUnknownHost
	// ReasonUnknownPool means that the configuration has no such pool.
	ReasonUnknownPool
	// ReasonUnknownEntry means that no such process of an entry is registered.
	ReasonUnknownEntry
	// ReasonUnknownRecall means that no such recall is open.
	ReasonUnknownRecall
	// ReasonUnknownWave means that no such wave is open.
	ReasonUnknownWave
	// ReasonBudget means that the pool would have too few hosts available.
	ReasonBudget
	// ReasonUnconfirmed means that an entry has not yet confirmed the step.
	ReasonUnconfirmed
	// ReasonWrongState means that the object's state doesn't allow the change.
	ReasonWrongState
	// ReasonSecondPool means that the move conflicts with the pool that the host is in
	// or is being moved to.
	ReasonSecondPool
	// ReasonInvalidConfig means that the change makes the configuration invalid.
	ReasonInvalidConfig
	// ReasonHostInDuty means that the change removes a host that is serving, draining
	// or being moved.
	ReasonHostInDuty
	// ReasonPoolInUse means that the change removes a pool that has hosts or to which
	// a host is being moved.
	ReasonPoolInUse
	// ReasonSuspect means that the writer may not report the entry as suspected or
	// lost, or that too many entries would be suspected.
	ReasonSuspect
	// ReasonEntryTaken means that another process of the entry is registered at
	// another address and may still be running.
	ReasonEntryTaken
	// ReasonTooMany means that the limit of open recalls or waves is reached.
	ReasonTooMany
)

var _reasonNames = map[Reason]string{
	ReasonMalformed:     "malformed",
	ReasonDuplicate:     "duplicate",
	ReasonStaleBasis:    "staleBasis",
	ReasonStaleTerm:     "staleTerm",
	ReasonStaleStep:     "staleStep",
	ReasonUnknownHost:   "unknownHost",
	ReasonUnknownPool:   "unknownPool",
	ReasonUnknownEntry:  "unknownEntry",
	ReasonUnknownRecall: "unknownRecall",
	ReasonUnknownWave:   "unknownWave",
	ReasonBudget:        "budget",
	ReasonUnconfirmed:   "unconfirmed",
	ReasonWrongState:    "wrongState",
	ReasonSecondPool:    "secondPool",
	ReasonInvalidConfig: "invalidConfig",
	ReasonHostInDuty:    "hostInDuty",
	ReasonPoolInUse:     "poolInUse",
	ReasonSuspect:       "suspect",
	ReasonEntryTaken:    "entryTaken",
	ReasonTooMany:       "tooMany",
}

// String returns the reason's name in camel case.
func (r Reason) String() string {
	if n, ok := _reasonNames[r]; ok {
		return n
	}
	return fmt.Sprintf("reason(%d)", int(r))
}

// Rejection is the error for a record that a guard rejected and that changed no
// object. It is the same on every entry.
type Rejection struct {
	reason Reason
	detail string
	err    error
}

// reject returns a rejection with a formatted detail.
func reject(r Reason, format string, args ...any) *Rejection {
	return &Rejection{reason: r, detail: fmt.Sprintf(format, args...)}
}

// Reason returns why the record was rejected.
func (r *Rejection) Reason() Reason { return r.reason }

// Detail returns a human-readable description of the conflict.
func (r *Rejection) Detail() string { return r.detail }

// Error returns the reason and the detail.
func (r *Rejection) Error() string { return "rejected: " + r.reason.String() + ": " + r.detail }

// Unwrap returns the underlying error, such as a *config.Invalid.
func (r *Rejection) Unwrap() error { return r.err }

// OffsetError is the error for a record whose offset was applied before. The record
// changes nothing.
type OffsetError struct {
	offset uint64
	last   uint64
}

// Offset returns the offset of the record.
func (e *OffsetError) Offset() uint64 { return e.offset }

// Last returns the offset of the last record that was applied.
func (e *OffsetError) Last() uint64 { return e.last }

// Error returns a message with both offsets.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("offset %d is not after %d", e.offset, e.last)
}

// DigestMismatch is the error for a checkpoint whose digest differs from this
// state's at the same offset. The state of one of the two entries is wrong, and an
// operator has to find out which.
type DigestMismatch struct {
	offset uint64
	own    uint64
	other  uint64
}

// Offset returns the offset at which the states differ.
func (m *DigestMismatch) Offset() uint64 { return m.offset }

// Own returns the digest of this state at that offset.
func (m *DigestMismatch) Own() uint64 { return m.own }

// Other returns the checkpoint's digest.
func (m *DigestMismatch) Other() uint64 { return m.other }

// Error returns a message with the offset and both digests.
func (m *DigestMismatch) Error() string {
	return fmt.Sprintf("digest at offset %d is %016x, the checkpoint has %016x", m.offset, m.own, m.other)
}
