package member

import (
	"slices"
	"time"
)

const (
	// TTL is how long a silent member keeps its partitions: a takeover begins this
	// long after an entry died, and a pause of half of it is harmless.
	TTL = 1100 * time.Millisecond
	// JoinInterval is between joins; two may be lost within TTL.
	JoinInterval = 300 * time.Millisecond
	// RetryInterval is after a join that failed.
	RetryInterval = JoinInterval / 3
	// RejoinDelay is how long an entry that was nudged waits for the change to be in
	// the store.
	RejoinDelay = 10 * time.Millisecond
	// MaxConfirmationAge is how old the store's word may be for what a member does only while no
	// other can hold the same: below TTL.
	MaxConfirmationAge = time.Second
)

// Handover tells who has to join when partitions change hands. The store deals one on
// once its former holder joins with the new generation, and its next holder learns of
// it by joining after that. The zero value has never joined.
type Handover struct {
	joined bool
	held   []int
	giving bool
}

// Joined takes in what the store dealt. With again set this member joins at once, as
// the store has to hear that it gave something up; with nudge set the others do.
func (h *Handover) Joined(partitions []int) (again, nudge bool) {
	released := slices.ContainsFunc(h.held, func(k int) bool { return !slices.Contains(partitions, k) })
	nudge = !released && (h.giving || !h.joined)
	h.joined, h.held, h.giving = true, partitions, released
	return released, nudge
}
