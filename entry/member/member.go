package member

import (
	"slices"
	"time"
)

const (
	// TTL is how long the store keeps the partitions of a member that doesn't join
	// again. A takeover begins this long after an entry fails. An entry that pauses
	// for half of it loses nothing.
	TTL = 1100 * time.Millisecond
	// JoinInterval is the time between two joins, with which a member keeps its
	// partitions. Two joins may be lost within TTL.
	JoinInterval = 300 * time.Millisecond
	// RetryInterval is the pause after a join that failed.
	RetryInterval = JoinInterval / 3
	// RejoinDelay is how long an entry that is notified of a change waits before it
	// joins, so that the change has reached the store.
	RejoinDelay = 10 * time.Millisecond
	// MaxConfirmationAge is the age of the store's last confirmation beyond which a
	// member must not act as the holder of a partition. It is below TTL, so that no
	// other member can hold the partition yet.
	MaxConfirmationAge = time.Second
)

// Handover determines which members must join when partitions change hands. The
// store reassigns a partition once its former holder has joined with the new
// generation, and the next holder learns of it from its first join after that. The
// zero value is a member that has never joined.
type Handover struct {
	joined    bool
	held      []int
	releasing bool
}

// Joined processes the partitions that a join returned. If again is set, this member
// must join at once, as the store must learn that it released a partition. If notify
// is set, the other members must join at once.
func (h *Handover) Joined(partitions []int) (again, notify bool) {
	released := slices.ContainsFunc(h.held, func(k int) bool { return !slices.Contains(partitions, k) })
	notify = !released && (h.releasing || !h.joined)
	h.joined, h.held, h.releasing = true, partitions, released
	return released, notify
}
