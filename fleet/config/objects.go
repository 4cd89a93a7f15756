package config

import (
	"net/netip"
	"time"
)

// Domain is the failure domain whose loss a pool must tolerate without falling
// below its budget.
type Domain int

// Failure domains, from none to the largest.
const (
	DomainNone Domain = iota
	DomainRack
	DomainDataCentre
)

var _domains = map[string]Domain{
	"none":       DomainNone,
	"rack":       DomainRack,
	"dataCentre": DomainDataCentre,
}

// String returns the domain as it is written in the configuration.
func (d Domain) String() string {
	switch d {
	case DomainRack:
		return "rack"
	case DomainDataCentre:
		return "dataCentre"
	default:
		return "none"
	}
}

// Default values of the policy settings.
const (
	DefaultMaintenanceEvery = 4 * 7 * 24 * time.Hour
	DefaultLiveListLag      = 30 * time.Second
	DefaultStalenessBound   = 5 * time.Second
	DefaultKeyWindow        = 24 * time.Hour
	DefaultWeight           = 1
)

// Fleet holds the settings of the fleet section, which are the policy for the
// whole fleet.
type Fleet struct {
	maintenanceEvery time.Duration
	liveListLag      time.Duration
	stalenessBound   time.Duration
	keyWindow        time.Duration
	bufferWeight     int
	rollOutWeight    int
	moveWeight       int
}

// newFleet returns the default policy. It takes a name like the constructors of
// the other kinds, and ignores it.
func newFleet(string) Fleet {
	return Fleet{
		maintenanceEvery: DefaultMaintenanceEvery,
		liveListLag:      DefaultLiveListLag,
		stalenessBound:   DefaultStalenessBound,
		keyWindow:        DefaultKeyWindow,
		bufferWeight:     DefaultWeight,
		rollOutWeight:    DefaultWeight,
		moveWeight:       DefaultWeight,
	}
}

// Name returns "", since the only fleet section has no name.
func (f Fleet) Name() string { return "" }

// MaintenanceEvery returns the period within which each host receives maintenance
// once.
func (f Fleet) MaintenanceEvery() time.Duration { return f.maintenanceEvery }

// LiveListLag returns how far the platform's live list, its list of running hosts
// and entries, may lag behind the actual state. A host or an entry is considered
// lost only after it has been missing from the list for that long.
func (f Fleet) LiveListLag() time.Duration { return f.liveListLag }

// StalenessBound returns how long an entry continues to serve after it last
// confirmed that it had read the log up to its head. It is less than LiveListLag.
func (f Fleet) StalenessBound() time.Duration { return f.stalenessBound }

// KeyWindow returns how long an idempotency key is retained.
func (f Fleet) KeyWindow() time.Duration { return f.keyWindow }

// BufferWeight returns the weight of spare capacity in the cost of a plan.
func (f Fleet) BufferWeight() int { return f.bufferWeight }

// RollOutWeight returns the weight of the duration of changes and maintenance
// waves in the cost of a plan.
func (f Fleet) RollOutWeight() int { return f.rollOutWeight }

// MoveWeight returns the weight of moving hosts between pools in the cost of a
// plan.
func (f Fleet) MoveWeight() int { return f.moveWeight }

// DataCentre is a data centre, which contains hosts and entries.
type DataCentre struct {
	name   string
	region string
}

// Name returns the data centre's name.
func (d DataCentre) Name() string { return d.name }

// Region returns the region of the data centre.
func (d DataCentre) Region() string { return d.region }

// Host is a machine that runs an upstream.
type Host struct {
	name        string
	address     netip.AddrPort
	dataCentre  string
	rack        string
	batch       string
	home        string
	slots       int
	connections int
}

// Name returns the host's name.
func (h Host) Name() string { return h.name }

// Address returns the address on which the host's upstream listens.
func (h Host) Address() netip.AddrPort { return h.address }

// DataCentre returns the name of the host's data centre.
func (h Host) DataCentre() string { return h.dataCentre }

// Rack returns the name of the host's rack, unique within the data centre.
func (h Host) Rack() string { return h.rack }

// Batch returns the supplier's batch of the host's parts, or "" if unknown.
func (h Host) Batch() string { return h.batch }

// Home returns the name of the pool to which the host belongs until it is moved.
func (h Host) Home() string { return h.home }

// Slots returns how many requests the host's upstream runs concurrently.
func (h Host) Slots() int { return h.slots }

// Connections returns how many connections the host's upstream accepts.
func (h Host) Connections() int { return h.connections }

// Pool is a set of hosts with an availability budget.
type Pool struct {
	name         string
	minAvailable int
	tolerate     Domain
	spare        bool
}

// Name returns the pool's name.
func (p Pool) Name() string { return p.name }

// MinAvailable returns the budget: the number of hosts that must stay available
// during voluntary steps, such as maintenance and moves.
func (p Pool) MinAvailable() int { return p.minAvailable }

// Tolerate returns the failure domain whose loss the pool must tolerate without
// falling below its budget.
func (p Pool) Tolerate() Domain { return p.tolerate }

// Spare reports whether the pool's hosts are the reserve for the other pools.
func (p Pool) Spare() bool { return p.spare }

// Service is the target that callers name in a request.
type Service struct {
	name       string
	pool       string
	class      string
	idempotent bool
}

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// Pool returns the name of the pool that runs the service.
func (s Service) Pool() string { return s.pool }

// Class returns the name of the default class, which applies to requests that
// name no class.
func (s Service) Class() string { return s.class }

// Idempotent reports whether the service's requests may run more than once.
func (s Service) Idempotent() bool { return s.idempotent }

// Class is a class of requests with common time limits.
type Class struct {
	name        string
	urgent      bool
	startWithin time.Duration
	deadline    time.Duration
	maxRun      time.Duration
}

// Name returns the class's name.
func (c Class) Name() string { return c.name }

// Urgent reports whether requests of the class take precedence over requests of
// classes that aren't urgent.
func (c Class) Urgent() bool { return c.urgent }

// StartWithin returns the time within which a request should start, or 0 for no
// limit.
func (c Class) StartWithin() time.Duration { return c.startWithin }

// Deadline returns the default time limit for a request as a whole, including its
// wait for a slot. It applies to requests without a deadline of their own.
func (c Class) Deadline() time.Duration { return c.deadline }

// MaxRun returns the maximum time that a request may run on an upstream.
func (c Class) MaxRun() time.Duration { return c.maxRun }

// Team is a group of callers. Teams share the slots of pools by weight.
type Team struct {
	name   string
	weight int
	quota  int
}

// Name returns the team's name.
func (t Team) Name() string { return t.name }

// Weight returns the team's share relative to the other teams.
func (t Team) Weight() int { return t.weight }

// Quota returns the maximum number of slots that the team may hold in a pool, or
// 0 for no quota.
func (t Team) Quota() int { return t.quota }
