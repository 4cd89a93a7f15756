package operator

import (
	"time"

	"fescuelanding/fleet/config"
)

// PolicyOption sets part of the fleet's policy.
type PolicyOption func(section)

// MaintenanceEvery sets the period within which each host receives maintenance
// once.
func MaintenanceEvery(d time.Duration) PolicyOption {
	return func(s section) { s.duration(config.KeyMaintenanceEvery, d) }
}

// LiveListLag sets how far the platform's live list, its list of running hosts and
// entries, may lag behind the actual state. A host or an entry is considered lost
// only after it has been missing from the list for that long.
func LiveListLag(d time.Duration) PolicyOption {
	return func(s section) { s.duration(config.KeyLiveListLag, d) }
}

// StalenessBound sets how long an entry continues to serve after it last confirmed
// that it had read the log up to its head. It must be less than LiveListLag.
func StalenessBound(d time.Duration) PolicyOption {
	return func(s section) { s.duration(config.KeyStalenessBound, d) }
}

// KeyWindow sets how long an idempotency key is retained.
func KeyWindow(d time.Duration) PolicyOption {
	return func(s section) { s.duration(config.KeyKeyWindow, d) }
}

// Weights holds the relative weights of the costs of a plan.
type Weights struct {
	// Buffer is the weight of spare capacity.
	Buffer int
	// RollOut is the weight of the duration of changes and maintenance waves.
	RollOut int
	// Moves is the weight of moving hosts between pools.
	Moves int
}

// Weigh sets the weights of the costs of a plan.
func Weigh(w Weights) PolicyOption {
	return func(s section) {
		s.count(config.KeyBufferWeight, w.Buffer)
		s.count(config.KeyRollOutWeight, w.RollOut)
		s.count(config.KeyMoveWeight, w.Moves)
	}
}

// ClassOption sets part of a class.
type ClassOption func(section)

// Urgent gives requests of the class precedence over requests of classes that
// aren't urgent, and sets the time within which they should start.
func Urgent(startWithin time.Duration) ClassOption {
	return func(s section) {
		s.on(config.KeyUrgent)
		s.duration(config.KeyStartWithin, startWithin)
	}
}

// Deadline sets the time limit for a request as a whole, including its wait for a
// slot. It applies to requests without a deadline of their own.
func Deadline(d time.Duration) ClassOption {
	return func(s section) { s.duration(config.KeyDeadline, d) }
}

// MaxRun sets the maximum time that a request may run on an upstream.
func MaxRun(d time.Duration) ClassOption {
	return func(s section) { s.duration(config.KeyMaxRun, d) }
}

// TeamOption sets part of a team.
type TeamOption func(section)

// Quota sets the maximum number of slots that the team may hold in a pool.
func Quota(slots int) TeamOption {
	return func(s section) { s.count(config.KeyQuota, slots) }
}

// PoolOption sets part of a pool.
type PoolOption func(section)

// MinAvailable sets the budget: the number of hosts that must stay available
// during voluntary steps, such as maintenance and moves.
func MinAvailable(hosts int) PoolOption {
	return func(s section) { s.count(config.KeyMinAvailable, hosts) }
}

// Tolerate sets the failure domain whose loss the pool must tolerate without
// falling below its budget.
func Tolerate(d config.Domain) PoolOption {
	return func(s section) { s.set(config.KeyTolerate, d.String()) }
}

// Spare makes the pool's hosts the reserve for the other pools.
func Spare() PoolOption {
	return func(s section) { s.on(config.KeySpare) }
}

// ServiceOption sets part of a service.
type ServiceOption func(section)

// Idempotent declares that the service's requests may run more than once.
func Idempotent() ServiceOption {
	return func(s section) { s.on(config.KeyIdempotent) }
}

// HostOption sets part of a host.
type HostOption func(section)

// Batch sets the supplier's batch of the host's parts.
func Batch(name string) HostOption {
	return func(s section) { s.set(config.KeyBatch, name) }
}

// Slots sets how many requests the host's upstream runs concurrently.
func Slots(n int) HostOption {
	return func(s section) { s.count(config.KeySlots, n) }
}

// Connections sets how many connections the host's upstream accepts.
func Connections(n int) HostOption {
	return func(s section) { s.count(config.KeyConnections, n) }
}
