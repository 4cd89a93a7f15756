package fleet

import (
	"fmt"
	"slices"
	"time"

	"fescuelanding/fleet/record"
)

// Duty is whether a host takes work.
type Duty int

// The duties of a host.
const (
	// Serving means that the host takes new work, unless it is being moved.
	Serving Duty = iota
	// Draining means that it takes no new work and finishes what it has.
	Draining
	// Down means that it is out for maintenance or repair.
	Down
	// Failed means that it was lost involuntarily.
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

// Host is what the log says about a host. It is a copy and doesn't change.
type Host struct {
	name             string
	pool             string
	movingTo         string
	duty             Duty
	cause            record.Cause
	causeID          string
	step             uint64
	waiting          []string // Sorted; replaced, never changed in place.
	basis            uint64
	maintainedUnixMs int64
	maintainedOffset uint64
	repairedBatch    string
	intent           Intent
	hash             uint64
}

// Name returns the host's name.
func (h Host) Name() string { return h.name }

// Pool returns the only pool that the host is in.
func (h Host) Pool() string { return h.pool }

// MovingTo returns the pool that the host was released to, or "".
func (h Host) MovingTo() string { return h.movingTo }

// Duty returns whether the host takes work.
func (h Host) Duty() Duty { return h.duty }

// Available reports whether the host counts for its pool's budget: it serves
// and isn't released.
func (h Host) Available() bool { return h.duty == Serving && h.movingTo == "" }

// Cause returns why the host was taken out of duty.
func (h Host) Cause() record.Cause { return h.cause }

// CauseID returns the wave or recall of the cause, or "".
func (h Host) CauseID() string { return h.causeID }

// Step returns the offset of the drain, release or loss that entries are to
// confirm, or 0.
func (h Host) Step() uint64 { return h.step }

// Basis returns the offset of the last accepted record about the host.
func (h Host) Basis() uint64 { return h.basis }

// MaintainedAt returns when the host's last maintenance was done, or when the
// host was first declared, by the writer's clock; the zero time if neither is
// known.
func (h Host) MaintainedAt() time.Time {
	if h.maintainedUnixMs == 0 {
		return time.Time{}
	}
	return time.UnixMilli(h.maintainedUnixMs).UTC()
}

// MaintainedOffset returns the offset of the record that ended its last
// maintenance, or 0.
func (h Host) MaintainedOffset() uint64 { return h.maintainedOffset }

// RepairedBatch returns the batch whose recalled parts were replaced last.
func (h Host) RepairedBatch() string { return h.repairedBatch }

// Confirmed reports whether the step doesn't wait for an entry any more.
func (h Host) Confirmed(entry string) bool {
	_, found := slices.BinarySearch(h.waiting, entry)
	return !found
}

// withConfirmation returns the host with one entry less to wait for.
func (h Host) withConfirmation(entry string) Host {
	i, found := slices.BinarySearch(h.waiting, entry)
	if !found {
		return h
	}
	w := make([]string, 0, len(h.waiting)-1)
	h.waiting = append(append(w, h.waiting[:i]...), h.waiting[i+1:]...)
	return h
}

// Intent is what operators want of a host.
type Intent struct {
	basis  uint64
	drain  bool
	toPool string
}

// Basis returns the offset of the last accepted record about the intent.
func (i Intent) Basis() uint64 { return i.basis }

// Drain reports whether the host is to be kept out of duty.
func (i Intent) Drain() bool { return i.drain }

// ToPool returns the pool that the host is to be moved to, or "".
func (i Intent) ToPool() string { return i.toPool }
