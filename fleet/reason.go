package fleet

import "fmt"

// Reason says why a record was rejected.
type Reason int

// The reasons of a rejection.
const (
	_ Reason = iota
	// ReasonMalformed means that the record lacks what its kind needs.
	ReasonMalformed
	// ReasonDuplicate means that a record with this id was applied before; its
	// first outcome stands.
	ReasonDuplicate
	// ReasonStaleBasis means that the object changed after the writer looked.
	ReasonStaleBasis
	// ReasonStaleTerm means that the writer doesn't plan any more.
	ReasonStaleTerm
	// ReasonStaleStep means that no step named by a confirmation waits for it.
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
	// ReasonUnconfirmed means that an entry has not confirmed the step yet.
	ReasonUnconfirmed
	// ReasonWrongState means that the object is in no state for such a step.
	ReasonWrongState
	// ReasonSecondPool means that the host would get a second pool.
	ReasonSecondPool
	// ReasonInvalidConfig means that the configuration would be invalid.
	ReasonInvalidConfig
	// ReasonHostInDuty means that a host would be removed while it is in duty or
	// between pools.
	ReasonHostInDuty
	// ReasonPoolInUse means that a pool would be removed while it has hosts.
	ReasonPoolInUse
	// ReasonSuspect means that the accuser may not accuse, or that too many
	// entries would be suspected.
	ReasonSuspect
	// ReasonEntryTaken means that another process of the entry, with another
	// address, is registered and may still run.
	ReasonEntryTaken
	// ReasonTooMany means that too many objects of this kind are open.
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

// Rejection is the error of a record that changed nothing. It is the same on
// every entry.
type Rejection struct {
	reason Reason
	detail string
	err    error
}

// reject returns a rejection with a detail for people.
func reject(r Reason, format string, args ...any) *Rejection {
	return &Rejection{reason: r, detail: fmt.Sprintf(format, args...)}
}

// Reason returns why the record was rejected.
func (r *Rejection) Reason() Reason { return r.reason }

// Detail returns what was wrong, for people.
func (r *Rejection) Detail() string { return r.detail }

// Error returns the reason and the detail.
func (r *Rejection) Error() string { return "rejected: " + r.reason.String() + ": " + r.detail }

// Unwrap returns the underlying error, such as a *config.Invalid.
func (r *Rejection) Unwrap() error { return r.err }

// OffsetError is the error of a record that was applied already. It changes
// nothing.
type OffsetError struct {
	offset uint64
	last   uint64
}

// Offset returns the offset of the record.
func (e *OffsetError) Offset() uint64 { return e.offset }

// Last returns the offset of the last record that was applied.
func (e *OffsetError) Last() uint64 { return e.last }

// Error names both offsets.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("offset %d is not after %d", e.offset, e.last)
}

// DigestMismatch is the error of a checkpoint that differs from this state at
// the same offset: one of the two entries is wrong, and people have to look.
type DigestMismatch struct {
	offset uint64
	own    uint64
	other  uint64
}

// Offset returns the offset at which the states differ.
func (m *DigestMismatch) Offset() uint64 { return m.offset }

// Own returns the digest of this state at that offset.
func (m *DigestMismatch) Own() uint64 { return m.own }

// Other returns the digest that the checkpoint carries.
func (m *DigestMismatch) Other() uint64 { return m.other }

// Error names the offset and both digests.
func (m *DigestMismatch) Error() string {
	return fmt.Sprintf("digest at offset %d is %016x, the checkpoint has %016x", m.offset, m.own, m.other)
}
