package config

import (
	"net/netip"
	"time"
)

// Domain is a failure domain whose loss a pool's budget is to outlast.
type Domain int

// Failure domains, from none to the widest.
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

// String returns the domain as the text has it.
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

// Policy defaults, in force where the fleet section is absent.
const (
	DefaultMaintenanceEvery = 4 * 7 * 24 * time.Hour
	DefaultLiveListLag      = 30 * time.Second
	DefaultStalenessBound   = 5 * time.Second
	DefaultKeyWindow        = 24 * time.Hour
	DefaultWeight           = 1
)

// Fleet is the policy for the whole fleet.
type Fleet struct {
	maintenanceEvery time.Duration
	liveListLag      time.Duration
	stalenessBound   time.Duration
	keyWindow        time.Duration
	bufferWeight     int
	rollOutWeight    int
	moveWeight       int
}

// newFleet returns the default policy.
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

// Name returns "": there is one fleet section and it has no name.
func (f Fleet) Name() string { return "" }

// MaintenanceEvery returns the time within which each host is maintained once.
func (f Fleet) MaintenanceEvery() time.Duration { return f.maintenanceEvery }

// LiveListLag returns how far the platform's live list may lag.
func (f Fleet) LiveListLag() time.Duration { return f.liveListLag }

// StalenessBound returns how long an entry serves without proof of the log's
// head.
func (f Fleet) StalenessBound() time.Duration { return f.stalenessBound }

// KeyWindow returns how long an idempotency key is remembered.
func (f Fleet) KeyWindow() time.Duration { return f.keyWindow }

// BufferWeight returns the weight of spare capacity held back.
func (f Fleet) BufferWeight() int { return f.bufferWeight }

// RollOutWeight returns the weight of the time that changes take.
func (f Fleet) RollOutWeight() int { return f.rollOutWeight }

// MoveWeight returns the weight of hosts that change pools.
func (f Fleet) MoveWeight() int { return f.moveWeight }

// DataCentre is a place of hosts and entries.
type DataCentre struct {
	name   string
	region string
}

// Name returns the data centre's name.
func (d DataCentre) Name() string { return d.name }

// Region returns the region it lies in.
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

// Address returns where its upstream listens.
func (h Host) Address() netip.AddrPort { return h.address }

// DataCentre returns the name of its data centre.
func (h Host) DataCentre() string { return h.dataCentre }

// Rack returns its rack, a name within its data centre.
func (h Host) Rack() string { return h.rack }

// Batch returns the supplier's batch of its parts, or "".
func (h Host) Batch() string { return h.batch }

// Home returns the pool that the host belongs to until it is moved.
func (h Host) Home() string { return h.home }

// Slots returns how many requests its upstream runs at once.
func (h Host) Slots() int { return h.slots }

// Connections returns how many connections its upstream accepts.
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

// MinAvailable returns the budget: how many hosts voluntary steps must leave
// available.
func (p Pool) MinAvailable() int { return p.minAvailable }

// Tolerate returns the failure domain whose loss the budget is to outlast.
func (p Pool) Tolerate() Domain { return p.tolerate }

// Spare reports whether the pool's hosts are the reserve of the others.
func (p Pool) Spare() bool { return p.spare }

// Service is what callers name in a request.
type Service struct {
	name       string
	pool       string
	class      string
	idempotent bool
}

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// Pool returns the pool that runs it.
func (s Service) Pool() string { return s.pool }

// Class returns the class of its requests that name none.
func (s Service) Class() string { return s.class }

// Idempotent reports whether its requests may run more than once.
func (s Service) Idempotent() bool { return s.idempotent }

// Class is a kind of work with its time limits.
type Class struct {
	name        string
	urgent      bool
	startWithin time.Duration
	deadline    time.Duration
	maxRun      time.Duration
}

// Name returns the class's name.
func (c Class) Name() string { return c.name }

// Urgent reports whether the work goes before work that isn't urgent.
func (c Class) Urgent() bool { return c.urgent }

// StartWithin returns how soon a request is to start, or 0 for no such limit.
func (c Class) StartWithin() time.Duration { return c.startWithin }

// Deadline returns the time for a request that brings no deadline of its own.
func (c Class) Deadline() time.Duration { return c.deadline }

// MaxRun returns the longest that a request may run on an upstream.
func (c Class) MaxRun() time.Duration { return c.maxRun }

// Team is a group of callers that shares slots with the others.
type Team struct {
	name   string
	weight int
	quota  int
}

// Name returns the team's name.
func (t Team) Name() string { return t.name }

// Weight returns its share in relation to the other teams.
func (t Team) Weight() int { return t.weight }

// Quota returns the most slots of a pool it may hold, or 0 for no quota.
func (t Team) Quota() int { return t.quota }
