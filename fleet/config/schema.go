package config

import (
	"net/netip"
	"time"
)

// Section kinds, in the order in which they are printed.
const (
	KindFleet      = "fleet"
	KindDataCentre = "dataCentre"
	KindClass      = "class"
	KindTeam       = "team"
	KindPool       = "pool"
	KindService    = "service"
	KindHost       = "host"
)

// Keys of the fleet section.
const (
	KeyMaintenanceEvery = "maintenanceEvery"
	KeyLiveListLag      = "liveListLag"
	KeyStalenessBound   = "stalenessBound"
	KeyKeyWindow        = "keyWindow"
	KeyBufferWeight     = "bufferWeight"
	KeyRollOutWeight    = "rollOutWeight"
	KeyMoveWeight       = "moveWeight"
)

// Keys of the sections of data centres, classes and teams.
const (
	KeyRegion      = "region"
	KeyUrgent      = "urgent"
	KeyStartWithin = "startWithin"
	KeyDeadline    = "deadline"
	KeyMaxRun      = "maxRun"
	KeyWeight      = "weight"
	KeyQuota       = "quota"
)

// Keys of the sections of pools, services and hosts.
const (
	KeyMinAvailable = "minAvailable"
	KeyTolerate     = "tolerate"
	KeySpare        = "spare"
	KeyPool         = "pool"
	KeyClass        = "class"
	KeyIdempotent   = "idempotent"
	KeyAddress      = "address"
	KeyDataCentre   = "dataCentre"
	KeyRack         = "rack"
	KeyBatch        = "batch"
	KeyHome         = "home"
	KeySlots        = "slots"
	KeyConnections  = "connections"
)

var _fleetFields = []field[Fleet]{
	durationField(KeyMaintenanceEvery, func(f *Fleet) *time.Duration { return &f.maintenanceEvery }),
	durationField(KeyLiveListLag, func(f *Fleet) *time.Duration { return &f.liveListLag }),
	durationField(KeyStalenessBound, func(f *Fleet) *time.Duration { return &f.stalenessBound }),
	durationField(KeyKeyWindow, func(f *Fleet) *time.Duration { return &f.keyWindow }),
	countField(KeyBufferWeight, 0, func(f *Fleet) *int { return &f.bufferWeight }),
	countField(KeyRollOutWeight, 0, func(f *Fleet) *int { return &f.rollOutWeight }),
	countField(KeyMoveWeight, 0, func(f *Fleet) *int { return &f.moveWeight }),
}

var _dataCentreFields = []field[DataCentre]{
	nameField(KeyRegion, func(d *DataCentre) *string { return &d.region }).require(),
}

var _classFields = []field[Class]{
	flagField(KeyUrgent, func(c *Class) *bool { return &c.urgent }),
	durationField(KeyStartWithin, func(c *Class) *time.Duration { return &c.startWithin }),
	durationField(KeyDeadline, func(c *Class) *time.Duration { return &c.deadline }).require(),
	durationField(KeyMaxRun, func(c *Class) *time.Duration { return &c.maxRun }).require(),
}

var _teamFields = []field[Team]{
	countField(KeyWeight, 1, func(t *Team) *int { return &t.weight }).require(),
	countField(KeyQuota, 0, func(t *Team) *int { return &t.quota }),
}

var _poolFields = []field[Pool]{
	countField(KeyMinAvailable, 0, func(p *Pool) *int { return &p.minAvailable }),
	domainField(KeyTolerate, func(p *Pool) *Domain { return &p.tolerate }),
	flagField(KeySpare, func(p *Pool) *bool { return &p.spare }),
}

var _serviceFields = []field[Service]{
	nameField(KeyPool, func(s *Service) *string { return &s.pool }).require(),
	nameField(KeyClass, func(s *Service) *string { return &s.class }).require(),
	flagField(KeyIdempotent, func(s *Service) *bool { return &s.idempotent }),
}

var _hostFields = []field[Host]{
	addressField(KeyAddress, func(h *Host) *netip.AddrPort { return &h.address }).require(),
	nameField(KeyDataCentre, func(h *Host) *string { return &h.dataCentre }).require(),
	nameField(KeyRack, func(h *Host) *string { return &h.rack }).require(),
	nameField(KeyBatch, func(h *Host) *string { return &h.batch }),
	nameField(KeyHome, func(h *Host) *string { return &h.home }).require(),
	countField(KeySlots, 1, func(h *Host) *int { return &h.slots }).require(),
	countField(KeyConnections, 1, func(h *Host) *int { return &h.connections }).require(),
}

// _kinds lists the section kinds in the order in which they are printed.
var _kinds = []kind{
	newKind(KindFleet, _fleetFields, newFleet, func(d *data) *table[Fleet] { return &d.fleet }),
	newKind(KindDataCentre, _dataCentreFields, func(n string) DataCentre { return DataCentre{name: n} }, func(d *data) *table[DataCentre] { return &d.dataCentres }),
	newKind(KindClass, _classFields, func(n string) Class { return Class{name: n} }, func(d *data) *table[Class] { return &d.classes }),
	newKind(KindTeam, _teamFields, func(n string) Team { return Team{name: n} }, func(d *data) *table[Team] { return &d.teams }),
	newKind(KindPool, _poolFields, func(n string) Pool { return Pool{name: n} }, func(d *data) *table[Pool] { return &d.pools }),
	newKind(KindService, _serviceFields, func(n string) Service { return Service{name: n} }, func(d *data) *table[Service] { return &d.services }),
	newKind(KindHost, _hostFields, func(n string) Host { return Host{name: n} }, func(d *data) *table[Host] { return &d.hosts }),
}
