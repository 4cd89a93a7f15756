package operator

import (
	"time"

	"fescuelanding/fleet/config"
)

// PolicyOption is a setting of the fleet's policy.
type PolicyOption func(section)

// MaintenanceEvery sets the time within which each host is maintained once.
func MaintenanceEvery(d time.Duration) PolicyOption {
	return func(s section) { s.duration(config.KeyMaintenanceEvery, d) }
}

// LiveListLag sets how far the platform's live list may lag.
func LiveListLag(d time.Duration) PolicyOption {
	return func(s section) { s.duration(config.KeyLiveListLag, d) }
}

// StalenessBound sets how long an entry serves without proof of the log's head.
func StalenessBound(d time.Duration) PolicyOption {
	return func(s section) { s.duration(config.KeyStalenessBound, d) }
}

// KeyWindow sets how long an idempotency key is remembered.
func KeyWindow(d time.Duration) PolicyOption {
	return func(s section) { s.duration(config.KeyKeyWindow, d) }
}

// Weights says how much each cost of a plan counts against the others.
type Weights struct {
	// Buffer is for spare capacity held back.
	Buffer int
	// RollOut is for the time that changes and maintenance waves take.
	RollOut int
	// Moves is for hosts that change pools.
	Moves int
}

// Weigh sets the weights of the planning.
func Weigh(w Weights) PolicyOption {
	return func(s section) {
		s.count(config.KeyBufferWeight, w.Buffer)
		s.count(config.KeyRollOutWeight, w.RollOut)
		s.count(config.KeyMoveWeight, w.Moves)
	}
}

// ClassOption is a setting of a class.
type ClassOption func(section)

// Urgent makes the class go before others and start within a time.
func Urgent(startWithin time.Duration) ClassOption {
	return func(s section) {
		s.on(config.KeyUrgent)
		s.duration(config.KeyStartWithin, startWithin)
	}
}

// Deadline sets the time for a request that brings no deadline of its own.
func Deadline(d time.Duration) ClassOption {
	return func(s section) { s.duration(config.KeyDeadline, d) }
}

// MaxRun sets the longest that a request may run on an upstream.
func MaxRun(d time.Duration) ClassOption {
	return func(s section) { s.duration(config.KeyMaxRun, d) }
}

// TeamOption is a setting of a team.
type TeamOption func(section)

// Quota sets the most slots of a pool that the team may hold.
func Quota(slots int) TeamOption {
	return func(s section) { s.count(config.KeyQuota, slots) }
}

// PoolOption is a setting of a pool.
type PoolOption func(section)

// MinAvailable sets the budget: how many hosts voluntary steps must leave
// available.
func MinAvailable(hosts int) PoolOption {
	return func(s section) { s.count(config.KeyMinAvailable, hosts) }
}

// Tolerate sets the failure domain whose loss the budget is to outlast.
func Tolerate(d config.Domain) PoolOption {
	return func(s section) { s.set(config.KeyTolerate, d.String()) }
}

// Spare makes the pool's hosts the reserve of the other pools.
func Spare() PoolOption {
	return func(s section) { s.on(config.KeySpare) }
}

// ServiceOption is a setting of a service.
type ServiceOption func(section)

// Idempotent says that the service's requests may run more than once.
func Idempotent() ServiceOption {
	return func(s section) { s.on(config.KeyIdempotent) }
}

// HostOption is a setting of a host.
type HostOption func(section)

// Batch names the supplier's batch of the host's parts.
func Batch(name string) HostOption {
	return func(s section) { s.set(config.KeyBatch, name) }
}

// Slots sets how many requests the upstream runs at once.
func Slots(n int) HostOption {
	return func(s section) { s.count(config.KeySlots, n) }
}

// Connections sets how many connections the upstream accepts.
func Connections(n int) HostOption {
	return func(s section) { s.count(config.KeyConnections, n) }
}
