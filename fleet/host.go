package fleet

import (
	"fmt"
	"slices"
	"time"

	"fescuelanding/fleet/record"
)

// Duty is the operating state of a host: serving, or why it takes no new work.
type Duty int

// The duties of a host.
const (
	// Serving means that the host takes new work, unless it is being moved.
	Serving Duty = iota
	// Draining means that the host takes no new work and finishes its current work.
	Draining
	// Down means that the host was drained and is out for maintenance or repair.
	Down
	// Failed means that the host was lost involuntarily.
	Failed
)

var _dutyNames = [...]string{Serving: "serving", Draining: "draining", Down: "down", Failed: "failed"}

// String returns the duty's name.
func (d Duty) String() string {
	if d < 0 || int(d) >= len(_dutyNames) {
		return fmt.Sprintf("duty(%d)", int(d))
	}
	return _dutyNames[d]
}

// Host is the state of a host according to the log. It is an immutable copy.
type Host struct {
	name             string
	pool             string
	movingTo         string
	duty             Duty
	cause            record.Cause
	causeID          string
	step             uint64
	waiting          []string // Sorted; copies share it, so it is replaced and never changed in place.
	basis            uint64
	maintainedUnixMs int64
	maintainedOffset uint64
	repairedBatch    string
	intent           Intent
	hash             uint64
}

// Name returns the host's name.
func (h Host) Name() string { return h.name }

// Pool returns the pool that the host is in.
func (h Host) Pool() string { return h.pool }

// MovingTo returns the pool that the host was released to and has not been assigned
// to yet, or "".
func (h Host) MovingTo() string { return h.movingTo }

// Duty returns the host's duty.
func (h Host) Duty() Duty { return h.duty }

// Available reports whether the host counts towards its pool's budget: it serves
// and isn't being moved.
func (h Host) Available() bool { return h.duty == Serving && h.movingTo == "" }

// Cause returns why the host was drained. It is unspecified after the host has
// returned to duty.
func (h Host) Cause() record.Cause { return h.cause }

// CauseID returns the name of the wave or recall for which the host was drained, or
// "".
func (h Host) CauseID() string { return h.causeID }

// Step returns the offset of the drain, release or loss that the entries confirm,
// or 0 if there is none.
func (h Host) Step() uint64 { return h.step }

// Basis returns the offset of the host's last accepted step, or of the record that
// added the host to the configuration.
func (h Host) Basis() uint64 { return h.basis }

// MaintainedAt returns when the host's last maintenance ended, or when the host was
// first configured, by the clock of the record's writer. It is the zero time if
// neither is known.
func (h Host) MaintainedAt() time.Time {
	if h.maintainedUnixMs == 0 {
		return time.Time{}
	}
	return time.UnixMilli(h.maintainedUnixMs).UTC()
}

// MaintainedOffset returns the offset of the record that ended its last
// maintenance, or 0.
func (h Host) MaintainedOffset() uint64 { return h.maintainedOffset }

// RepairedBatch returns the batch whose recalled parts were last replaced.
func (h Host) RepairedBatch() string { return h.repairedBatch }

// Confirmed reports whether an entry has confirmed the host's step or need not
// confirm it.
func (h Host) Confirmed(entry string) bool {
	_, found := slices.BinarySearch(h.waiting, entry)
	return !found
}

// withConfirmation returns the host without an entry in its waiting list.
func (h Host) withConfirmation(entry string) Host {
	i, found := slices.BinarySearch(h.waiting, entry)
	if !found {
		return h
	}
	w := make([]string, 0, len(h.waiting)-1)
	h.waiting = append(append(w, h.waiting[:i]...), h.waiting[i+1:]...)
	return h
}

// Intent is the state of a host that operators want.
type Intent struct {
	basis  uint64
	drain  bool
	toPool string
}

// Basis returns the offset of the last accepted record about the intent.
func (i Intent) Basis() uint64 { return i.basis }

// Drain reports whether the operators want the host out of duty.
func (i Intent) Drain() bool { return i.drain }

// ToPool returns the pool that the operators want the host in, or "".
func (i Intent) ToPool() string { return i.toPool }
